/** @file Bound on what a process holds of the answers of upstreams. */
#include "answer_memory.hpp"

#include "pause_func.hpp"

#include <daisylead/entry/boot_time_func.hpp>
#include <daisylead/telemetry/log_func.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylead::entry
{

namespace
{

using namespace std::chrono_literals;

/** Interval of checks whether there is room again. */
constexpr std::chrono::milliseconds room_check_interval = 10ms;

/** Time without progress after which an answer may have to leave. */
constexpr duration stalled_after = 200ms;

/** Time for which an answer waits for room. */
constexpr duration max_room_wait = 2s;

serving::byte_budget_options budget_options(std::size_t bytes)
{
    serving::byte_budget_options options;
    options.m_limit = bytes;
    options.m_stalled_after = stalled_after;
    return options;
}

} // namespace

answer_limiter::answer_limiter(boost::asio::any_io_executor executor,
                               telemetry::metrics& metrics, std::size_t bytes)
    : m_executor(std::move(executor)), m_metrics(metrics),
      m_budget(budget_options(bytes))
{
}

void answer_limiter::evict_stalled(time_point now)
{
    if (now < m_next_eviction)
    {
        return;
    }
    auto const holder = m_budget.stalled(now);
    if (!holder)
    {
        return;
    }
    // What it frees may be enough for the others.
    m_next_eviction = now + stalled_after;
    answer_memory& evicted = *m_holders.at(*holder);
    // Its bytes are free when its request has gone on; until then it must not
    // be chosen again.
    m_budget.note_complete(*holder);
    evicted.m_evicted = true;
    m_metrics.count("daisylead_answers_evicted_total", {});
    telemetry::log(telemetry::severity::warning, "answer_evicted",
                   {{"held_by_all", m_budget.used()}});
    evicted.m_abort();
}

answer_memory::answer_memory(std::shared_ptr<answer_limiter> limiter,
                             time_point until, std::function<void()> abort)
    : m_limiter(std::move(limiter)), m_until(until), m_abort(std::move(abort)),
      m_holder(m_limiter->m_budget.open(boot_time()))
{
    m_limiter->m_holders[m_holder] = this;
}

answer_memory::~answer_memory()
{
    m_limiter->m_budget.close(m_holder);
    m_limiter->m_holders.erase(m_holder);
}

boost::asio::awaitable<bool> answer_memory::reserve(std::size_t bytes)
{
    time_point const until = std::min(m_until, boot_time() + max_room_wait);
    for (;;)
    {
        time_point const now = boot_time();
        if (m_evicted)
        {
            co_return false;
        }
        if (m_limiter->m_budget.resize(m_holder, bytes, now))
        {
            m_bytes = bytes;
            co_return true;
        }
        if (!m_limiter->m_budget.fits(bytes) || now >= until)
        {
            telemetry::log(telemetry::severity::warning, "answer_without_room",
                           {{"bytes", bytes},
                            {"held_by_all", m_limiter->m_budget.used()}});
            co_return false;
        }
        m_limiter->evict_stalled(now);
        co_await pause(m_limiter->m_executor, room_check_interval);
    }
}

void answer_memory::note_complete()
{
    m_limiter->m_budget.note_complete(m_holder);
}

} // namespace daisylead::entry
