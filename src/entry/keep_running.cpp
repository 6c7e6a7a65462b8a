/** @file Starts tasks and restarts failed ones. */
#include "keep_running_func.hpp"

#include <daisylead/telemetry/log_func.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <exception>
#include <memory>

namespace daisylead::entry
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

/** Delay before a failed task is restarted, so that a permanent error cannot
 *  use up the processor. */
constexpr std::chrono::milliseconds restart_delay = 100ms;

using shared_task = std::shared_ptr<std::function<asio::awaitable<void>()>>;

void log_failure(char const* name, std::exception_ptr const& failure)
{
    try
    {
        std::rethrow_exception(failure);
    }
    catch (std::exception const& error)
    {
        telemetry::log(telemetry::severity::error, "task_failed",
                       {{"task", name}, {"error", error.what()}});
    }
}

/** Starts the task and restarts it after each failure. */
void start(asio::any_io_executor const& executor, char const* name,
           shared_task const& task)
{
    // The completion handler keeps the task alive while its coroutine runs.
    asio::co_spawn(executor, (*task)(),
                   [executor, name, task](std::exception_ptr const& failure)
                   {
                       if (!failure)
                       {
                           return;
                       }
                       log_failure(name, failure);
                       auto const timer = std::make_shared<asio::steady_timer>(
                           executor, restart_delay);
                       timer->async_wait(
                           [executor, name, task,
                            timer](boost::system::error_code const& stopped)
                           {
                               if (!stopped)
                               {
                                   start(executor, name, task);
                               }
                           });
                   });
}

} // namespace

void keep_running(asio::any_io_executor const& executor, char const* name,
                  std::function<asio::awaitable<void>()> task)
{
    start(executor, name,
          std::make_shared<std::function<asio::awaitable<void>()>>(
              std::move(task)));
}

void run_once(asio::any_io_executor const& executor, char const* name,
              std::function<asio::awaitable<void>()> task)
{
    auto const shared =
        std::make_shared<std::function<asio::awaitable<void>()>>(
            std::move(task));
    asio::co_spawn(executor, (*shared)(),
                   [name, shared](std::exception_ptr const& failure)
                   {
                       if (failure)
                       {
                           log_failure(name, failure);
                       }
                   });
}

} // namespace daisylead::entry
