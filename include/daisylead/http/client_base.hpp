/** @file HTTP client. */
#pragma once

#include <daisylead/http/message_type.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace daisylead::http
{

/** Identifies a transfer of one client. */
using transfer_id = std::uint64_t;

/** A request to an upstream, to the platform or to an instance. */
struct client_request
{
    using milliseconds = std::chrono::milliseconds;

    std::string m_method = "GET"; ///< for example "POST"
    std::string m_url;            ///< "http://IP:port/path?query"
    header_list m_headers;        ///< sent as they are
    shared_body m_body;           ///< may be null
    /** Uses a new connection and closes it afterwards. Needed for requests that
     *  must not run twice: libcurl resends a request when a reused connection
     *  dies before the first response byte. */
    bool m_fresh_connection = false;
    milliseconds m_connect_timeout{1000}; ///< until the connection stands
    milliseconds m_idle_timeout{0};       ///< without a received byte; 0: none
    milliseconds m_total_timeout{0};      ///< of the whole transfer; 0: none
};

enum class transfer_status
{
    complete,       ///< the whole response came
    connect_failed, ///< no connection; nothing was sent
    timed_out,      ///< a time-out of the request
    broken,         ///< the connection ended early or the response is invalid
    cancelled       ///< cancel() was called
};

/** The end of a transfer. */
struct transfer_result
{
    transfer_status m_status = transfer_status::complete; ///< how it ended
    int m_http_status = 0; ///< 0 if no response header came
    /** Whether a byte of the request can have reached the other side. */
    bool m_may_have_sent = false;
    std::string m_message; ///< text of the error, without addresses of callers
};

/** Hooks of one transfer; they run on the client's thread. */
struct transfer_hooks
{
    /** Header fields of the response. */
    std::function<void(int status, header_list const&)> m_on_headers;
    /** Body bytes; false pauses the transfer, and the same bytes come again
     *  after resume(). */
    std::function<bool(std::string_view)> m_on_data;
    /** The transfer ended; called exactly once. */
    std::function<void(transfer_result const&)> m_on_end;
};

/** Runs transfers on a thread of its own, by libcurl. */
class client
{
public:
    client();
    ~client();
    client(client const&) = delete;
    client& operator=(client const&) = delete;

    /** Starts a transfer; may be called from any thread. */
    transfer_id start(client_request request, transfer_hooks hooks);

    /** Aborts a transfer and closes its connection; m_on_end reports
     *  cancelled. No effect on a transfer that has ended. */
    void cancel(transfer_id transfer);

    /** Continues a transfer that was paused by its data hook. */
    void resume(transfer_id transfer);

    /** Ends the thread; transfers that are open report cancelled. */
    void stop();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

/** A whole response. */
struct client_response
{
    transfer_result m_result; ///< how the transfer ended
    header_list m_headers;    ///< header fields of the response
    std::string m_body;       ///< the whole body
};

/** Starts a transfer whose response is collected whole.
 *  @param max_body a larger body ends the transfer as broken, bytes
 *  @param on_end runs on the client's thread */
transfer_id start_whole(client& client, client_request request,
                        std::size_t max_body,
                        std::function<void(client_response)> on_end);

/** Runs a transfer and waits for its end.
 *  @pre not called on the client's thread */
client_response fetch(client& client, client_request request);

} // namespace daisylead::http
