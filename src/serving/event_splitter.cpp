/** @file Splits a byte stream into complete server-sent events. */
#include <daisylead/serving/event_splitter_base.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace daisylead::serving
{

namespace
{

/** @return the id that a line sets, or nothing if it sets none. */
std::optional<std::string> id_in_line(std::string_view line)
{
    if (!line.starts_with("id:"))
    {
        return std::nullopt;
    }
    line.remove_prefix(3);
    if (line.starts_with(' '))
    {
        line.remove_prefix(1);
    }
    return std::string(line);
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
    if (m_line_feed_due && !m_partial.empty())
    {
        m_line_feed_due = false;
        if (m_partial.front() == '\n')
        {
            m_line_start = m_scanned = done = 1;
        }
    }
    while (m_scanned < m_partial.size())
    {
        char const c = m_partial[m_scanned++];
        if (c != '\n' && c != '\r')
        {
            continue;
        }
        std::string_view const line = std::string_view(m_partial).substr(
            m_line_start, m_scanned - 1 - m_line_start);
        if (c == '\r' && m_scanned < m_partial.size() &&
            m_partial[m_scanned] == '\n')
        {
            ++m_scanned;
        }
        else if (c == '\r' && m_scanned == m_partial.size() && !line.empty())
        {
            // Its line feed may follow, which would look like a blank line.
            --m_scanned;
            break;
        }
        m_line_start = m_scanned;
        if (!line.empty())
        {
            take_line(line);
            continue;
        }
        if (!m_has_field && !m_has_comment)
        {
            // A blank line by itself is not worth a write to the caller.
            continue;
        }
        if (!end_event())
        {
            std::string valid =
                m_out_of_order ? std::string() : m_partial.substr(0, done);
            clear_partial();
            return valid;
        }
        done = m_scanned;
        m_line_feed_due = c == '\r' && m_partial[m_scanned - 1] == '\r' &&
                          m_scanned == m_partial.size();
    }
    std::string whole = m_partial.substr(0, done);
    m_partial.erase(0, done);
    m_scanned -= done;
    m_line_start -= done;
    return whole;
}

void event_splitter::take_line(std::string_view line)
{
    if (line.starts_with(':'))
    {
        m_has_comment = true;
        return;
    }
    m_has_field = true;
    if (auto id = id_in_line(line))
    {
        m_event_id = std::move(*id);
    }
}

bool event_splitter::end_event()
{
    m_has_comment = false;
    if (!m_has_field)
    {
        return true;
    }
    std::string id = std::exchange(m_event_id, {});
    m_has_field = false;
    if (!is_valid_id(id))
    {
        m_cut_event = true;
        m_invalid_event = true;
        return false;
    }
    if (!id.empty())
    {
        if (!m_resumes_after.empty() && !is_after(id, m_resumes_after))
        {
            m_out_of_order = true;
            return false;
        }
        m_resumes_after.clear();
        m_last_id = std::move(id);
    }
    m_cut_event = false;
    m_has_event = true;
    return true;
}

bool event_splitter::is_inside_event() const
{
    auto const rest = std::string_view(m_partial).substr(m_line_start);
    // A carriage return by itself ends a line too.
    bool const is_comment = rest.starts_with(':') && rest.ends_with('\r');
    return m_has_field || (!rest.empty() && !is_comment);
}

void event_splitter::clear_partial()
{
    m_partial.clear();
    m_event_id.clear();
    m_has_field = false;
    m_has_comment = false;
    m_line_feed_due = false;
    m_scanned = 0;
    m_line_start = 0;
}

} // namespace daisylead::serving
