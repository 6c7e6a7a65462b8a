/** @file Connection of a caller. */
#pragma once

#include "http_connection.hpp"

#include <functional>
#include <memory>
#include <string>

namespace daisylead::entry
{

/** An answer to a caller, from this instance or from an upstream. */
struct caller_answer
{
    int m_status = 0;      ///< HTTP status
    std::string m_reason;  ///< reason phrase; empty: the standard one
    http::fields m_fields; ///< header fields without framing
    std::string m_body;    ///< whole body
};

/** Server side of a connection of a caller. */
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

    /** @return whether the caller closed the connection. */
    bool is_gone() const
    {
        return m_gone;
    }

    /** Writes a complete answer.
     *  @param close announces that the connection ends with this answer
     *  @param head answer to a HEAD request: no body is sent
     *  @return whether it was written */
    awaitable<bool> write(caller_answer answer, bool close, bool head);

    /** Writes the header of a chunked answer. */
    awaitable<bool> begin_stream(int status, http::fields const& fields,
                                 bool close);

    /** Writes one chunk. */
    awaitable<bool> write_stream(std::string const& bytes);

    /** Writes the last chunk. */
    awaitable<bool> end_stream();

    /** Closes the connection without completing the answer. */
    void abort();

    /** Closes the sending side, then reads and drops input for a short time:
     *  closing with unread input would reset the connection and could lose
     *  the answer. */
    awaitable<void> linger_and_close();

private:
    friend class caller_watch;

    void watch(std::function<void()> on_gone);
    void stop_watching();
    awaitable<void> wait_for_close(std::uint64_t watch_id);

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer{max_unparsed_size};
    std::function<void()> m_on_gone;
    std::uint64_t m_watch_id = 0; ///< id of the current watch; starts at 1
    bool m_watching = false;
    bool m_gone = false;
};

/** Calls a hook if the caller closes the connection within the lifetime of this
 *  object. The connection may live longer than what the hook refers to. */
class caller_watch
{
public:
    caller_watch(std::shared_ptr<caller_connection> caller,
                 std::function<void()> on_gone);
    ~caller_watch();
    caller_watch(caller_watch const&) = delete;
    caller_watch& operator=(caller_watch const&) = delete;

private:
    std::shared_ptr<caller_connection> m_caller;
};

} // namespace daisylead::entry
