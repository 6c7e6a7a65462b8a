/** @file Bounds on the connections of callers and on what they hold. */
#include "caller_limiter.hpp"

#include "pause_func.hpp"

#include <daisylead/entry/boot_time_func.hpp>
#include <daisylead/telemetry/log_func.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <map>
#include <set>

#include <sys/resource.h>
#include <unistd.h>

namespace daisylead::entry
{

namespace
{

using namespace std::chrono_literals;
using telemetry::severity;

/** Part of the descriptors that callers may use; the rest is for upstreams,
 *  peers, the store and checks. */
constexpr double caller_descriptors = 2.0 / 3;

/** Bounds that no setting undercuts: some requests can always be read. */
constexpr std::size_t min_bytes = 16 << 20;
constexpr std::size_t min_connections = 16;

/** Part of the memory for the buffers and frames of connections, and what one
 *  of them takes. */
constexpr std::size_t connection_memory_divisor = 8;
constexpr std::size_t connection_size = 16384;

/** Held for each request besides its body: header and parsed fields. */
constexpr std::size_t request_overhead = 8192;

/** Held for the buffer of a connection while a large body is read. */
constexpr std::size_t large_body_overhead = max_unparsed_size;
constexpr std::size_t large_body = 65536 - request_overhead;

/** Part of the budget that each connection finds for a request without a body:
 *  request_overhead for as many connections as bounds_for() permits. */
constexpr double bodiless_share = 0.25;

/** Time after which the body of a request may have to leave although it makes
 *  progress, so that callers that send slowly do not shut out the others. */
constexpr duration slow_after = 2s;

/** Interval of checks whether there is room again. */
constexpr std::chrono::milliseconds room_check_interval = 20ms;

/** Time for which a request that holds nothing yet waits for room. */
constexpr duration max_room_wait = 15s;

/** The same for one that holds a part of its body, so that several of them do
 *  not wait for each other. */
constexpr duration max_partial_wait = 2s;

/** Min. time between two log lines about callers that were closed. */
constexpr duration log_interval = 1s;

std::size_t system_memory()
{
    auto memory =
        static_cast<std::size_t>(std::max(0L, sysconf(_SC_PHYS_PAGES))) *
        static_cast<std::size_t>(std::max(0L, sysconf(_SC_PAGESIZE)));
    // "max" where there is no limit.
    std::ifstream stream("/sys/fs/cgroup/memory.max");
    std::size_t limit = 0;
    if (stream >> limit)
    {
        memory = std::min(memory, limit);
    }
    return memory;
}

std::size_t system_descriptors()
{
    rlimit limit{};
    return getrlimit(RLIMIT_NOFILE, &limit) == 0
               ? static_cast<std::size_t>(limit.rlim_cur)
               : 0;
}

serving::byte_budget_options budget_options(std::size_t bytes)
{
    serving::byte_budget_options options;
    options.m_limit = bytes;
    options.m_bodiless_share = bodiless_share;
    options.m_bodiless_size = request_overhead;
    options.m_slow_after = slow_after;
    return options;
}

} // namespace

caller_bounds bounds_for(config::entry_settings const& settings)
{
    std::size_t const memory =
        settings.m_memory_mb > 0
            ? static_cast<std::size_t>(settings.m_memory_mb) << 20
            : system_memory();
    std::size_t descriptors = system_descriptors();
    if (settings.m_descriptors > 0)
    {
        auto const stated = static_cast<std::size_t>(settings.m_descriptors);
        descriptors = descriptors == 0 ? stated : std::min(descriptors, stated);
    }
    std::size_t const connections =
        std::min(static_cast<std::size_t>(static_cast<double>(descriptors) *
                                          caller_descriptors),
                 memory / connection_memory_divisor / connection_size);
    return {std::max(min_bytes, memory / 100 *
                                    static_cast<std::size_t>(
                                        settings.m_caller_memory_percent)),
            std::max(min_connections, connections)};
}

class caller_limiter::impl
{
public:
    impl(asio::any_io_executor executor, telemetry::metrics& metrics,
         caller_bounds bounds)
        : m_executor(std::move(executor)), m_metrics(&metrics),
          m_bounds(bounds), m_budget(budget_options(bounds.m_bytes))
    {
    }

    /** Called when the metrics end, while connections may still be open. */
    void detach()
    {
        m_metrics = nullptr;
    }

    void add(caller_slot& slot)
    {
        m_slots.insert(&slot);
    }

    void remove(caller_slot& slot)
    {
        m_slots.erase(&slot);
    }

    /** @return whether there is room for another connection, after one was
     *          closed if need be. */
    bool make_room()
    {
        if (m_slots.size() < m_bounds.m_connections)
        {
            return true;
        }
        caller_slot* const oldest = oldest_slot();
        if (oldest == nullptr)
        {
            note_closed("connections_refused");
            return false;
        }
        // Its place is free at once, though its coroutine ends later.
        m_slots.erase(oldest);
        close(*oldest, "connections");
        return true;
    }

    /** @return the connection without a request in progress, and without bytes
     *          to be read, that has made no progress for longest. */
    caller_slot* oldest_slot() const
    {
        caller_slot* oldest = nullptr;
        for (caller_slot* const slot : m_slots)
        {
            bool const is_first = oldest == nullptr ||
                                  slot->m_phase < oldest->m_phase ||
                                  (slot->m_phase == oldest->m_phase &&
                                   slot->m_since < oldest->m_since);
            if (slot->m_phase != caller_slot::phase::handling && is_first &&
                !slot->has_input())
            {
                oldest = slot;
            }
        }
        return oldest;
    }

    /** Makes the largest request without progress leave. The bytes of one that
     *  left are free a moment later, so that others wait for them first. */
    void evict_stalled(time_point now)
    {
        if (now < m_next_eviction)
        {
            return;
        }
        m_next_eviction = now + room_check_interval;
        auto const holder = m_budget.stalled(now);
        auto const found = holder ? m_holders.find(*holder) : m_holders.end();
        if (found == m_holders.end())
        {
            return;
        }
        auto const slot = found->second.lock();
        if (slot && slot->has_input())
        {
            // It waits for this instance, for example after a freeze.
            m_budget.note_progress(*holder, now);
            return;
        }
        // Its bytes are free when its coroutine has ended; until then it must
        // not be chosen again.
        m_budget.note_complete(*holder);
        if (slot)
        {
            close(*slot, "memory");
        }
    }

    asio::any_io_executor m_executor;
    telemetry::metrics* m_metrics;
    caller_bounds m_bounds;
    serving::byte_budget m_budget;
    std::map<serving::byte_holder, std::weak_ptr<caller_slot>> m_holders;

private:
    void close(caller_slot& slot, char const* reason)
    {
        if (auto const caller = slot.m_caller.lock())
        {
            caller->abort();
        }
        note_closed(reason);
    }

    void note_closed(char const* reason)
    {
        if (m_metrics != nullptr)
        {
            m_metrics->count("daisylead_callers_closed_total",
                             {{"reason", reason}});
        }
        time_point const now = boot_time();
        ++m_closed;
        if (now - m_logged_at >= log_interval)
        {
            telemetry::log(severity::warning, "callers_closed",
                           {{"reason", reason},
                            {"closed", m_closed},
                            {"connections", m_slots.size()},
                            {"bytes", m_budget.used()}});
            m_closed = 0;
            m_logged_at = now;
        }
    }

    std::set<caller_slot*> m_slots;
    time_point m_next_eviction;
    std::size_t m_closed = 0; ///< since the last log line
    time_point m_logged_at;
};

caller_limiter::caller_limiter(asio::any_io_executor executor,
                               telemetry::metrics& metrics,
                               caller_bounds bounds)
    : m_impl(std::make_shared<impl>(std::move(executor), metrics, bounds))
{
}

caller_limiter::~caller_limiter()
{
    m_impl->detach();
}

std::shared_ptr<caller_slot>
caller_limiter::admit(std::shared_ptr<caller_connection> const& caller)
{
    return m_impl->make_room() ? std::make_shared<caller_slot>(m_impl, caller)
                               : nullptr;
}

std::unique_ptr<request_memory>
caller_limiter::open(std::shared_ptr<caller_slot> const& slot)
{
    return std::make_unique<request_memory>(m_impl, slot);
}

caller_slot::caller_slot(std::shared_ptr<caller_limiter::impl> limiter,
                         std::shared_ptr<caller_connection> const& caller)
    : m_limiter(std::move(limiter)), m_caller(caller), m_since(boot_time())
{
    m_limiter->add(*this);
}

caller_slot::~caller_slot()
{
    m_limiter->remove(*this);
}

void caller_slot::set_phase(phase next)
{
    m_phase = next;
    m_since = boot_time();
}

bool caller_slot::is_open() const
{
    auto const caller = m_caller.lock();
    return caller && caller->stream().socket().is_open();
}

bool caller_slot::has_input() const
{
    auto const caller = m_caller.lock();
    beast::error_code ignored;
    return caller && caller->stream().socket().available(ignored) > 0;
}

request_memory::request_memory(std::shared_ptr<caller_limiter::impl> limiter,
                               std::shared_ptr<caller_slot> slot)
    : m_limiter(std::move(limiter)), m_slot(std::move(slot)),
      m_holder(m_limiter->m_budget.open(boot_time()))
{
    m_limiter->m_holders[m_holder] = m_slot;
}

request_memory::~request_memory()
{
    m_limiter->m_budget.close(m_holder);
    m_limiter->m_holders.erase(m_holder);
}

awaitable<bool> request_memory::reserve(std::size_t body_size)
{
    std::size_t const bytes =
        body_size + request_overhead +
        (body_size > large_body ? large_body_overhead : std::size_t{0});
    time_point const began = boot_time();
    duration const longest = m_holds_body ? max_partial_wait : max_room_wait;
    for (;;)
    {
        time_point const now = boot_time();
        if (m_limiter->m_budget.resize(m_holder, bytes, now))
        {
            m_holds_body = m_holds_body || body_size > 0;
            co_return true;
        }
        if (!m_limiter->m_budget.fits(bytes) || now - began >= longest ||
            !m_slot->is_open())
        {
            co_return false;
        }
        // It waits for this instance, not for its caller.
        note_progress();
        m_limiter->evict_stalled(now);
        co_await pause(m_limiter->m_executor, room_check_interval);
    }
}

void request_memory::note_progress()
{
    m_limiter->m_budget.note_progress(m_holder, boot_time());
    m_slot->set_phase(caller_slot::phase::reading);
}

void request_memory::note_complete()
{
    m_limiter->m_budget.note_complete(m_holder);
    m_slot->set_phase(caller_slot::phase::handling);
}

} // namespace daisylead::entry
