/** @file Small HTTP calls on kept connections. */
#pragma once

// Boost 1.74's awaitable.hpp needs it.
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daisylead::entry
{

/** One call. */
struct http_call
{
    std::string m_address;        ///< "IP:port"
    std::string m_method = "GET"; ///< HTTP method
    std::string m_target;         ///< path and query
    std::string m_body;           ///< JSON; empty: none
    std::vector<std::pair<std::string, std::string>> m_headers; ///< further
    std::chrono::milliseconds m_timeout{}; ///< for the whole call
    bool m_fresh = false; ///< on a new connection that is not kept
};

/** Answer to a call. */
struct http_answer
{
    int m_status = 0;   ///< HTTP status
    std::string m_body; ///< whole body
};

/** Makes calls to the platform's store and to engines. */
class http_caller
{
public:
    /** @param executor of the thread that makes the calls */
    explicit http_caller(boost::asio::any_io_executor executor);
    ~http_caller();
    http_caller(http_caller const&) = delete;
    http_caller& operator=(http_caller const&) = delete;

    /** @return the answer, or nothing if none came whole and in time. A call
     *          that got no answer may have been carried out. */
    boost::asio::awaitable<std::optional<http_answer>> call(http_call request);

    /** @return calls made since the start. */
    std::uint64_t calls() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisylead::entry
