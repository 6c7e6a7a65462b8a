/** @file HTTP client for short calls over pooled connections. */
#pragma once

// Boost 1.74's awaitable.hpp uses <utility> without including it.
#include <utility>

#include <daisylead/base/unit_type.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <vector>

namespace daisylead::entry
{

/** How far a call came. */
struct call_progress
{
    std::size_t m_bytes = 0; ///< of the body of the answer
    duration m_elapsed{};    ///< since the call began
    std::string m_failure;   ///< empty: the answer is complete
};

/** One HTTP request. */
struct http_call
{
    std::string m_address;        ///< "IP:port"
    std::string m_method = "GET"; ///< HTTP method
    std::string m_target;         ///< path and query
    std::string m_body;           ///< JSON body; empty: none
    std::vector<std::pair<std::string, std::string>> m_headers; ///< more fields
    std::chrono::milliseconds m_timeout{}; ///< of the whole call
    /** Longest time without a byte of the body of the answer; m_timeout then
     *  ends with the head of the answer. 0: m_timeout is for the whole call. */
    std::chrono::milliseconds m_silence{};
    bool m_fresh = false; ///< use a new connection and close it afterwards
    /** Called at the end of the call; may be empty. */
    std::function<void(call_progress const&)> m_on_end;
};

/** Answer to a call. */
struct http_answer
{
    int m_status = 0;   ///< HTTP status
    std::string m_body; ///< whole body
    boost::beast::http::fields m_fields;
};

/** Makes HTTP calls to the platform's store and to engines. */
class http_caller
{
public:
    /** @param executor of the thread that makes the calls */
    explicit http_caller(boost::asio::any_io_executor executor);
    ~http_caller();
    http_caller(http_caller const&) = delete;
    http_caller& operator=(http_caller const&) = delete;

    /** @return the answer, or nothing if no complete answer came in time. A
     *  call without an answer may still have been executed. */
    boost::asio::awaitable<std::optional<http_answer>> call(http_call request);

    /** @return number of calls since the start. */
    std::uint64_t calls() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisylead::entry
