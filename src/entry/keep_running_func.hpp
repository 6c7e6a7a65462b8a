/** @file Tasks of an entry instance that must not end. */
#pragma once

// Boost 1.74's awaitable needs it and does not include it.
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>

namespace daisylead::entry
{

/** Runs a task that goes on for ever. An exception is logged, and the task
 *  begins anew after a short pause: one message that no check foresaw must not
 *  end the process, or leave it without this task.
 *  @param name fixed word for the log */
void keep_running(boost::asio::any_io_executor const& executor,
                  char const* name,
                  std::function<boost::asio::awaitable<void>()> task);

/** Runs a task once. An exception is logged and ends this task alone.
 *  @param name fixed word for the log */
void run_once(boost::asio::any_io_executor const& executor, char const* name,
              std::function<boost::asio::awaitable<void>()> task);

} // namespace daisylead::entry
