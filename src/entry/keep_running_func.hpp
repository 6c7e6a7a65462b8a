/** @file Starts tasks and restarts failed ones. */
#pragma once

// Boost 1.74's awaitable.hpp uses <utility> without including it.
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>

namespace daisylead::entry
{

/** Runs a task that never ends by itself. An exception is logged and the task
 *  is restarted after a short delay, so that an unexpected message can neither
 *  end the process nor stop this task.
 *  @param name of the task in the log */
void keep_running(boost::asio::any_io_executor const& executor,
                  char const* name,
                  std::function<boost::asio::awaitable<void>()> task);

/** Runs a task once. An exception is logged and ends only this task.
 *  @param name of the task in the log */
void run_once(boost::asio::any_io_executor const& executor, char const* name,
              std::function<boost::asio::awaitable<void>()> task);

} // namespace daisylead::entry
