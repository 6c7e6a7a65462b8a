/** @file Splits a byte stream into complete server-sent events. */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace daisylead::serving
{

/** Buffers an incomplete event at the end of the stream, so that an interrupted
 *  stream can be resumed after its last complete event. Lines end with a line
 *  feed, a carriage return or both, an event with a blank line. */
class event_splitter
{
public:
    /** Appends received bytes.
     *  @return bytes of the events that are complete now and valid */
    std::string take(std::string_view bytes);

    /** @return whether an event had an id that no header field can hold, so
     *          that the stream could not be resumed after it; take() outputs
     *          only what came before. */
    bool has_invalid_event() const
    {
        return m_invalid_event;
    }

    /** The stream goes on with the bytes of another upstream. Discards the
     *  buffered incomplete event. */
    void drop_partial()
    {
        m_cut_event = m_cut_event || is_inside_event();
        clear_partial();
        m_resumes_after = m_last_id;
        m_invalid_event = false;
    }

    /** @return whether an event that was cut has not come again, so that the
     *          stream cannot be complete. */
    bool lacks_event() const
    {
        return m_cut_event;
    }

    /** @return whether the bytes of another upstream began with an event that
     *          is not after the last one; take() outputs nothing more. */
    bool is_out_of_order() const
    {
        return m_out_of_order;
    }

    /** @return whether a stream that ends here has been cut: an event without
     *          its blank line, or an unfinished line. */
    bool is_inside_event() const;

    /** @return whether an event was complete; comments are none. */
    bool has_event() const
    {
        return m_has_event;
    }

    /** @return the buffered bytes after the last complete event; whole comment
     *          lines and blank lines if the stream is not inside an event. */
    std::string const& partial() const
    {
        return m_partial;
    }

    /** @return id of the last complete event that has one, or empty. */
    std::string const& last_id() const
    {
        return m_last_id;
    }

private:
    void take_line(std::string_view line);
    /** @return whether the event is valid and in order. */
    bool end_event();
    void clear_partial();

    std::string m_partial;
    std::size_t m_scanned = 0;    ///< bytes of m_partial that were looked at
    std::size_t m_line_start = 0; ///< start of the current line in m_partial
    std::string m_event_id;       ///< id of the incomplete event; empty: none
    bool m_has_field = false;     ///< m_partial has a whole line of an event
    bool m_has_comment = false;   ///< m_partial has a whole comment line
    /** The last event was output with a carriage return at its end, whose line
     *  feed may follow. */
    bool m_line_feed_due = false;
    std::string m_last_id;
    std::string m_resumes_after; ///< id before the next event; empty: any
    bool m_cut_event = false;
    bool m_has_event = false;
    bool m_out_of_order = false;
    bool m_invalid_event = false;
};

} // namespace daisylead::serving
