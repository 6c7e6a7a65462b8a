/** @file Splits a byte stream into complete server-sent events. */
#pragma once

#include <string>
#include <string_view>

namespace daisylead::serving
{

/** Buffers an incomplete event at the end of the stream, so that an interrupted
 *  stream can be resumed after its last complete event. */
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
        m_cut_event = m_cut_event || has_partial();
        m_partial.clear();
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

    /** @return whether an incomplete event is buffered. */
    bool has_partial() const
    {
        return !m_partial.empty();
    }

    /** @return the buffered incomplete event. */
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
    std::string m_partial;
    std::string m_last_id;
    std::string m_resumes_after; ///< id before the next event; empty: any
    bool m_cut_event = false;
    bool m_out_of_order = false;
    bool m_invalid_event = false;
};

} // namespace daisylead::serving
