/** @file Splits a byte stream into complete server-sent events. */
#include <daisylead/serving/event_splitter_base.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace daisylead::serving
{

namespace
{

/** @return position after the first blank line from @p from, or npos. */
std::size_t end_of_event(std::string const& text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string::npos;
         at = text.find('\n', at + 1))
    {
        std::size_t next = at + 1;
        if (next < text.size() && text[next] == '\r')
        {
            ++next;
        }
        if (next < text.size() && text[next] == '\n')
        {
            return next + 1;
        }
    }
    return std::string::npos;
}

/** @return value of the last "id" field of an event, or empty. */
std::string id_of(std::string_view event)
{
    std::string id;
    while (!event.empty())
    {
        std::size_t const end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size()
                                                          : end + 1);
        if (line.ends_with('\r'))
        {
            line.remove_suffix(1);
        }
        if (line.starts_with("id:"))
        {
            line.remove_prefix(3);
            if (line.starts_with(' '))
            {
                line.remove_prefix(1);
            }
            id = line;
        }
    }
    return id;
}

/** Maximum size of the id of an event, bytes; ids are numbers or short
 *  names. */
constexpr std::size_t max_id_size = 1024;

/** @return whether a header field can hold the id. */
bool is_valid_id(std::string_view id)
{
    return id.size() <= max_id_size &&
           std::none_of(id.begin(), id.end(),
                        [](unsigned char c) { return c < 0x20 || c == 0x7f; });
}

/** @return whether an id may follow another one; ids that are not numbers only
 *          have to differ. */
bool is_after(std::string const& id, std::string const& previous)
{
    auto const number_of =
        [](std::string const& text) -> std::optional<std::uint64_t>
    {
        std::uint64_t number = 0;
        char const* const end = text.data() + text.size();
        auto const parsed = std::from_chars(text.data(), end, number);
        return parsed.ec == std::errc() && parsed.ptr == end
                   ? std::optional(number)
                   : std::nullopt;
    };
    auto const number = number_of(id);
    auto const previous_number = number_of(previous);
    return number && previous_number ? *number > *previous_number
                                     : id != previous;
}

} // namespace

std::string event_splitter::take(std::string_view bytes)
{
    m_partial.append(bytes);
    m_out_of_order = false;
    m_invalid_event = false;
    std::size_t done = 0;
    for (std::size_t end = end_of_event(m_partial, 0); end != std::string::npos;
         end = end_of_event(m_partial, done))
    {
        std::string id =
            id_of(std::string_view(m_partial).substr(done, end - done));
        if (!is_valid_id(id))
        {
            std::string valid = m_partial.substr(0, done);
            m_partial.clear();
            m_cut_event = true;
            m_invalid_event = true;
            return valid;
        }
        if (!id.empty())
        {
            if (!m_resumes_after.empty() && !is_after(id, m_resumes_after))
            {
                m_out_of_order = true;
                m_partial.clear();
                return {};
            }
            m_resumes_after.clear();
            m_last_id = std::move(id);
        }
        m_cut_event = false;
        done = end;
    }
    std::string whole = m_partial.substr(0, done);
    m_partial.erase(0, done);
    return whole;
}

} // namespace daisylead::serving
