/** @file A caller's connection and the answers on it. */
#pragma once

#include "http_connection.hpp"

#include <functional>
#include <memory>
#include <string>

namespace daisylead::entry
{

/** An answer of this instance, or of an upstream. */
struct caller_answer
{
    int m_status = 0;      ///< HTTP status
    std::string m_reason;  ///< reason phrase; empty: the usual
    http::fields m_fields; ///< without framing
    std::string m_body;    ///< whole body
};

/** One caller's connection. */
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    explicit caller_connection(asio::ip::tcp::socket socket);

    beast::tcp_stream& stream()
    {
        return m_stream;
    }

    beast::flat_buffer& buffer()
    {
        return m_buffer;
    }

    /** Watches for the caller's close until stop_watching(). */
    void watch(std::function<void()> on_gone);
    void stop_watching();

    /** @return whether the caller closed the connection. */
    bool is_gone() const
    {
        return m_gone;
    }

    /** Writes a whole answer.
     *  @param close tells the caller that the connection ends with it
     *  @return whether it was written */
    awaitable<bool> write(caller_answer answer, bool close, bool head);

    /** Writes the header of a stream. */
    awaitable<bool> begin_stream(int status, http::fields const& fields,
                                 bool close);

    /** Writes bytes of a stream. */
    awaitable<bool> write_stream(std::string const& bytes);

    /** Ends a stream. */
    awaitable<bool> end_stream();

    /** Closes the connection in the middle of an answer. */
    void abort();

    /** Ends the connection after the last answer; reads what is on its way, so
     *  that the close does not reset the connection. */
    awaitable<void> linger_and_close();

private:
    awaitable<void> wait_for_close(std::uint64_t watch_id);

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::function<void()> m_on_gone;
    std::uint64_t m_watch_id =
        0; ///< number of the watch; 0 of none is never used
    bool m_watching = false;
    bool m_gone = false;
};

} // namespace daisylead::entry
