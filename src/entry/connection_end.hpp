/** @file How the other side ended a connection. */
#pragma once

// Boost 1.74's awaitable.hpp uses <utility> without including it.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace daisylead::entry
{

/** What the writes of a connection have shown. The kernel reports a reset once:
 *  if a write takes the error, a read that follows sees a plain end. */
class write_progress
{
public:
    /** A write begins. */
    void begin()
    {
        m_pending = true;
    }

    /** The write ended. */
    void end(boost::system::error_code const& failure)
    {
        m_pending = false;
        if (!m_failure)
        {
            m_failure = failure;
        }
    }

    bool is_pending() const
    {
        return m_pending;
    }

    /** @return the error of the first write that failed. */
    boost::system::error_code const& failure() const
    {
        return m_failure;
    }

    /** @return whether an error shows that the connection broke before the
     *          other side had ended its sending. */
    bool shows_break() const;

private:
    bool m_pending = false;
    boost::system::error_code m_failure;
};

/** Waits for a write that is about to fail, if that decides.
 *  @param writes to the same socket
 *  @return whether the other side ended its sending in order, so that all that
 *          it sent has been read
 *  @pre a read has reported the end of the connection */
boost::asio::awaitable<bool>
ended_in_order(boost::asio::ip::tcp::socket& socket,
               write_progress const& writes);

} // namespace daisylead::entry
