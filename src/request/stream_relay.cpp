/** @file Validation and forwarding of one streamed answer. */
#include <daisylead/request/stream_relay_base.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace daisylead::request
{

namespace
{

using nlohmann::json;

constexpr std::string_view end_marker = "[DONE]";
/** Bounds the memory that an upstream can occupy with an incomplete event. */
constexpr std::size_t max_event_bytes = 256U << 10U; ///< bytes

json const* first_choice(json const& chunk)
{
    auto const choices = chunk.find("choices");
    if (choices == chunk.end() || !choices->is_array() || choices->empty() ||
        !choices->front().is_object())
    {
        return nullptr;
    }
    return &choices->front();
}

json const* find_text(json const& chunk)
{
    json const* const choice = first_choice(chunk);
    if (choice == nullptr)
    {
        return nullptr;
    }
    auto const text = choice->find("text");
    if (text != choice->end() && text->is_string())
    {
        return &*text;
    }
    auto const delta = choice->find("delta");
    if (delta == choice->end() || !delta->is_object())
    {
        return nullptr;
    }
    auto const content = delta->find("content");
    bool const found = content != delta->end() && content->is_string();
    return found ? &*content : nullptr;
}

bool has_value(json const& object, char const* key)
{
    auto const found = object.find(key);
    return found != object.end() && !found->is_null();
}

bool has_finish(json const& chunk)
{
    json const* const choice = first_choice(chunk);
    return choice != nullptr && has_value(*choice, "finish_reason");
}

/** @return the positive integer in field @p key, @p absent if there is no such
 *  field, or nothing if the field is invalid. */
std::optional<std::int64_t> read_count(json const& chunk, char const* key,
                                       std::int64_t absent)
{
    auto const found = chunk.find(key);
    if (found == chunk.end())
    {
        return absent;
    }
    if (!found->is_number_integer() || found->get<std::int64_t>() < 1)
    {
        return std::nullopt;
    }
    return found->get<std::int64_t>();
}

} // namespace

stream_relay::stream_relay(std::string answer_id)
    : m_answer_id(std::move(answer_id))
{
}

void stream_relay::begin_attempt()
{
    m_partial_line.clear();
    m_data.clear();
    m_event_type.clear();
    m_has_data = false;
    m_fault.clear();
}

std::vector<std::string> stream_relay::feed(std::string_view bytes)
{
    events output;
    while (!m_done && m_fault.empty())
    {
        std::size_t const end = bytes.find('\n');
        std::string_view const piece = bytes.substr(0, end);
        if (m_partial_line.size() + m_data.size() + piece.size() >
            max_event_bytes)
        {
            m_fault = "an event is too large";
            break;
        }
        if (end == std::string_view::npos)
        {
            m_partial_line += piece;
            break;
        }
        bytes.remove_prefix(end + 1);
        if (m_partial_line.empty())
        {
            // A line that arrives in one piece needs no copy.
            parse_line(piece, output);
            continue;
        }
        m_partial_line += piece;
        parse_line(m_partial_line, output);
        m_partial_line.clear();
    }
    return output;
}

void stream_relay::parse_line(std::string_view line, events& output)
{
    if (line.ends_with('\r'))
    {
        line.remove_suffix(1);
    }
    if (line.empty())
    {
        on_event_end(output);
        return;
    }
    std::size_t const colon = line.find(':');
    std::string_view const field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos
                                 ? std::string_view()
                                 : line.substr(colon + 1);
    if (value.starts_with(' '))
    {
        value.remove_prefix(1);
    }
    if (field == "event")
    {
        m_event_type = value;
    }
    else if (field == "data")
    {
        if (std::exchange(m_has_data, true))
        {
            m_data += '\n';
        }
        m_data += value;
    }
    // Comments (empty field name) and other fields are not forwarded.
}

void stream_relay::on_event_end(events& output)
{
    if (m_event_type == "error")
    {
        m_fault = "the upstream sent an error event";
    }
    else if (m_data == end_marker)
    {
        m_done = true;
        output.emplace_back("data: [DONE]\n\n");
    }
    else if (!m_data.empty())
    {
        on_chunk(output);
    }
    m_event_type.clear();
    m_data.clear();
    m_has_data = false;
}

void stream_relay::on_chunk(events& output)
{
    json chunk = json::parse(m_data, nullptr, false);
    if (!chunk.is_object())
    {
        m_fault = "an event is not a JSON object";
        return;
    }
    if (has_value(chunk, "error"))
    {
        m_fault = "the upstream sent an error";
        return;
    }
    bool const is_new = chunk.contains("position") ? check_position(chunk)
                                                   : is_first_of_kind(chunk);
    if (is_new)
    {
        forward(chunk, output);
    }
}

bool stream_relay::check_position(json const& chunk)
{
    auto const position = read_count(chunk, "position", 1);
    auto const count = read_count(chunk, "count", 1);
    if (!position || !count || *count > *position)
    {
        m_fault = "a chunk has an invalid position";
        return false;
    }
    if (*position <= m_position)
    {
        return false;
    }
    if (*position - *count != m_position)
    {
        m_fault = *position - *count > m_position
                      ? "a chunk is missing"
                      : "a chunk repeats a part of the answer";
        return false;
    }
    m_position = *position;
    return true;
}

bool stream_relay::is_first_of_kind(json const& chunk)
{
    json const* const text = find_text(chunk);
    if (text != nullptr && !text->get_ref<std::string const&>().empty())
    {
        m_fault = "a chunk with text has no position";
        return false;
    }
    if (has_value(chunk, "usage"))
    {
        return !m_has_usage;
    }
    if (has_finish(chunk))
    {
        return !m_has_finish;
    }
    return m_position == 0 && !std::exchange(m_has_opening, true);
}

void stream_relay::forward(json& chunk, events& output)
{
    if (json const* const text = find_text(chunk))
    {
        m_text += text->get_ref<std::string const&>();
    }
    m_has_usage = m_has_usage || has_value(chunk, "usage");
    m_has_finish = m_has_finish || has_finish(chunk);
    chunk.erase("position");
    chunk.erase("count");
    chunk["id"] = m_answer_id;
    output.push_back("data: " + chunk.dump() + "\n\n");
}

} // namespace daisylead::request
