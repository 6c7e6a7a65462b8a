/** @file Asynchronous sleep in a coroutine. */
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace daisylead::entry
{

/** Suspends the coroutine for the given time. */
inline boost::asio::awaitable<void>
pause(boost::asio::any_io_executor const& executor,
      std::chrono::milliseconds time)
{
    boost::asio::steady_timer timer(executor, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

} // namespace daisylead::entry
