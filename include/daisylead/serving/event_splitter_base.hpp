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
     *  @return bytes of the events that are complete now */
    std::string take(std::string_view bytes);

    /** Discards the buffered incomplete event. */
    void drop_partial()
    {
        m_partial.clear();
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
};

} // namespace daisylead::serving
