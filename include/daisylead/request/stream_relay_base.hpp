/** @file Forwards one streamed answer over all its attempts. */
#pragma once

#include <daisylead/base/unit_type.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daisylead::request
{

/** Validates a stream of server-sent events chunk by chunk and rewrites it for
 *  the caller: positions must be consecutive, chunks repeated after a resume
 *  are dropped, and the answer keeps one id. Runs on a traffic thread.
 *
 *  A chunk with "position" p and "count" c (default 1) carries the tokens p-c+1
 *  to p. Chunks without a position carry no text. Of each kind (before the
 *  first token, end of the text, usage) only the first one is forwarded. */
class stream_relay
{
public:
    /** @param answer_id id that is written into each chunk for the caller */
    explicit stream_relay(std::string answer_id);

    /** Processes bytes of the current attempt.
     *  @return events to send to the caller, in order */
    std::vector<std::string> feed(std::string_view bytes);

    /** Begins the next attempt and discards an incomplete event. */
    void begin_attempt();

    /** @return whether the end marker was received. */
    bool is_done() const
    {
        return m_done;
    }

    /** @return whether this attempt had a gap, an error event or an invalid
     *  event. The attempt must then be cancelled. */
    bool is_broken() const
    {
        return !m_fault.empty();
    }

    /** @return the fault of this attempt; empty if there is none. */
    std::string const& fault() const
    {
        return m_fault;
    }

    /** @return tokens received so far, over all attempts. */
    token_count position() const
    {
        return token_count(m_position);
    }

    /** @return text generated so far, for a resume on another engine. */
    std::string const& text() const
    {
        return m_text;
    }

private:
    using events = std::vector<std::string>;

    void parse_line(std::string_view line, events& output);
    void on_event_end(events& output);
    void on_chunk(events& output);
    bool check_position(nlohmann::json const& chunk);
    bool is_first_of_kind(nlohmann::json const& chunk);
    void forward(nlohmann::json& chunk, events& output);

    std::string m_answer_id;
    std::string m_partial_line;  ///< bytes of an incomplete line
    std::string m_data;          ///< joined data lines of an incomplete event
    std::string m_event_type;    ///< type of an incomplete event
    bool m_has_data = false;     ///< the incomplete event has a data line
    std::string m_text;          ///< generated text
    std::int64_t m_position = 0; ///< position of the last forwarded chunk
    /** A chunk without text was forwarded before the first token. */
    bool m_has_opening = false;
    bool m_has_finish = false; ///< a finish reason was forwarded
    bool m_has_usage = false;  ///< usage was forwarded
    bool m_done = false;
    std::string m_fault;
};

} // namespace daisylead::request
