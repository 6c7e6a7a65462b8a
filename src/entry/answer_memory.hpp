/** @file Bound on what a process holds of the answers of upstreams. */
#pragma once

// Boost 1.74's awaitable.hpp uses <utility> without including it.
#include <utility>

#include <daisylead/serving/byte_budget_base.hpp>
#include <daisylead/telemetry/metrics_base.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>

namespace daisylead::entry
{

class answer_memory;

/** Bytes of all answers that an instance holds: bodies that are read whole
 *  before they are passed on, and events that are not complete yet. While
 *  nothing is left, answers are read no further, and the largest one that has
 *  made no progress has to leave. */
class answer_limiter
{
public:
    /** @param bytes of all answers together */
    answer_limiter(boost::asio::any_io_executor executor,
                   telemetry::metrics& metrics, std::size_t bytes);
    answer_limiter(answer_limiter const&) = delete;
    answer_limiter& operator=(answer_limiter const&) = delete;

    /** @return bytes that are held. */
    std::size_t used() const
    {
        return m_budget.used();
    }

private:
    friend class answer_memory;

    void evict_stalled(time_point now);

    boost::asio::any_io_executor m_executor;
    telemetry::metrics& m_metrics;
    serving::byte_budget m_budget;
    std::map<serving::byte_holder, answer_memory*> m_holders;
    time_point m_next_eviction;
};

/** What is held of the answers to one attempt of a request. */
class answer_memory
{
public:
    /** @param limiter may be needed longer than by its owner
     *  @param until room is waited for
     *  @param abort ends the reading of the answer */
    answer_memory(std::shared_ptr<answer_limiter> limiter, time_point until,
                  std::function<void()> abort);
    ~answer_memory();
    answer_memory(answer_memory const&) = delete;
    answer_memory& operator=(answer_memory const&) = delete;

    /** Holds so many bytes from now on. Pauses until there is room.
     *  @return false if there was none in time */
    boost::asio::awaitable<bool> reserve(std::size_t bytes);

    /** Records that the answer was read; it is not made to leave any more. */
    void note_complete();

    /** @return bytes that are held. */
    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    friend class answer_limiter;

    std::shared_ptr<answer_limiter> m_limiter;
    time_point m_until;
    std::function<void()> m_abort;
    serving::byte_holder m_holder;
    std::size_t m_bytes = 0;
    bool m_evicted = false;
};

} // namespace daisylead::entry
