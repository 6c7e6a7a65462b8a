/** @file Waiting inside a coroutine. */
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace daisylead::entry
{

/** Waits for the time given. */
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
