/** @file Cuts a stream of server-sent events into whole events. */
#pragma once

#include <string>
#include <string_view>

namespace daisylead::serving
{

/** Keeps the unfinished end of a stream back, so that a stream that breaks can
 *  go on after its last whole event. */
class event_splitter
{
public:
    /** Takes bytes of the stream.
     *  @return the bytes of all events that are whole now */
    std::string take(std::string_view bytes);

    /** Drops an unfinished event. */
    void drop_partial()
    {
        m_partial.clear();
    }

    /** @return whether an unfinished event is kept back. */
    bool has_partial() const
    {
        return !m_partial.empty();
    }

    /** @return the unfinished event. */
    std::string const& partial() const
    {
        return m_partial;
    }

    /** @return id of the last whole event; empty before the first. */
    std::string const& last_id() const
    {
        return m_last_id;
    }

private:
    std::string m_partial;
    std::string m_last_id;
};

} // namespace daisylead::serving
