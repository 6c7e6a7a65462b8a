/** @file Reads configuration and service discovery from the store. */
#include "store_follower.hpp"

#include "keep_running_func.hpp"
#include "pause_func.hpp"

#include <daisylead/telemetry/log_func.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylead::entry
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;
using telemetry::severity;

/** Further age of a proof before the next instance by rank reads the store
 *  itself. Two intervals of news must fit into the first step. */
constexpr duration rank_step = 250ms;

/** Age of a proof at which every instance reads the store itself; a change has
 *  to be in force within two seconds. */
constexpr duration most_age = 1100ms;

/** Age of a proof at which an instance with a live relay reads the store
 * itself: the relays cannot reach it. Time for several attempts must be left
 * until the keys' validity ends. */
constexpr duration dependent_age = 2400ms;

/** Longest and shortest pause before the age of a proof is looked at again. */
constexpr std::chrono::milliseconds longest_look = 400ms;
constexpr std::chrono::milliseconds shortest_look = 10ms;

/** Pause after a failed read. */
constexpr std::chrono::milliseconds failed_pause = 250ms;

/** The same at an instance with a live relay, which tries as well. */
constexpr std::chrono::milliseconds dependent_failed_pause = 1000ms;

/** Age of an answer of the KV cache store after which it is asked again, by the
 *  first instance by rank. */
constexpr duration kv_watch_interval = 300ms;

/** The same for each further rank: a store that is gone must not be asked by
 *  all at once. */
constexpr duration kv_rank_step = 300ms;

/** Step in which the age of its last answer is looked at. */
constexpr std::chrono::milliseconds kv_look_step = 150ms;

/** Pause after the KV cache store gave no answer. */
constexpr std::chrono::milliseconds kv_lost_pause = 400ms;

/** How long instances whose use is not known are charged with their share of
 *  the limits after the start. */
constexpr duration start_phase = 5s;

/** Steps that the pause before the next look for a first configuration grows
 *  with the rank of the instance at most. */
constexpr std::size_t most_absent_steps = 8;

/** Reads of the rows of the members after the start, while other processes of
 *  the fleet start. */
constexpr int start_reads = 3;

/** Interval of these reads. */
constexpr std::chrono::milliseconds start_interval = 1500ms;

/** Interval in which the rows are read again by a small fleet, whose instances
 *  all talk to each other. */
constexpr std::chrono::milliseconds members_interval = 20s;

/** Step in which a lack of peers is looked for. */
constexpr std::chrono::milliseconds lonely_step = 2s;

} // namespace

store_follower::store_follower(asio::any_io_executor const& executor,
                               fleet_state& state, fleet_exchange& exchange)
    : m_executor(executor), m_state(state), m_exchange(exchange)
{
}

void store_follower::start()
{
    keep_running(m_executor, "rules", [this] { return rules_loop(); });
    keep_running(m_executor, "upstreams", [this] { return upstreams_loop(); });
    keep_running(m_executor, "members", [this] { return members_loop(); });
    keep_running(m_executor, "kv_store", [this] { return kv_store_loop(); });
}

duration store_follower::read_age(time_point now) const
{
    serving::fleet_roster const& roster = m_state.m_roster;
    if (roster.has_live_relay(now))
    {
        return dependent_age;
    }
    return serving::store_read_delay(roster.rank(now),
                                     m_state.m_settings.m_read_interval,
                                     rank_step, most_age);
}

std::chrono::milliseconds
store_follower::failed_read_pause(time_point now) const
{
    return m_state.m_roster.has_live_relay(now) ? dependent_failed_pause
                                                : failed_pause;
}

std::chrono::milliseconds store_follower::absent_pause() const
{
    time_point const now = boot_time();
    duration const wait =
        m_state.m_roster.has_live_relay(now)
            ? dependent_age
            : failed_pause *
                  (1 + static_cast<int>(std::min(m_state.m_roster.rank(now),
                                                 most_absent_steps)));
    return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
}

std::chrono::milliseconds store_follower::look_pause(duration rest)
{
    return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(rest),
                      shortest_look, longest_look);
}

void store_follower::note_store(bool answered, bool& lost,
                                std::string const& what)
{
    m_state.m_metrics.count(
        "daisylead_store_reads_total",
        {{"what", what}, {"answered", answered ? "yes" : "no"}});
    if (answered == lost)
    {
        lost = !answered;
        telemetry::log(lost ? severity::warning : severity::info,
                       lost ? "store_lost" : "store_regained",
                       {{"what", what}});
    }
}

awaitable<void> store_follower::rules_loop()
{
    bool lost = false;
    for (;;)
    {
        time_point const now = boot_time();
        auto const age = m_state.m_rules_freshness.age(now);
        duration const due = read_age(now);
        if (age && *age < due)
        {
            co_await pause(m_executor, look_pause(due - *age));
            continue;
        }
        std::optional<document_read> read =
            co_await m_state.m_calls.m_read_rules();
        note_store(read.has_value(), lost, "rules");
        if (!read)
        {
            co_await pause(m_executor, failed_read_pause(boot_time()));
            continue;
        }
        bool const changed =
            read->m_document.m_revision > m_state.m_rules_freshness.revision();
        m_state.take_rules(std::move(read->m_document), read->m_read_at,
                           "store");
        if (changed)
        {
            m_exchange.hurry();
        }
        // Before the first configuration is written, it may take a while.
        co_await pause(m_executor,
                       m_state.m_catalog ? shortest_look : absent_pause());
    }
}

awaitable<void> store_follower::upstreams_loop()
{
    bool lost = false;
    for (;;)
    {
        time_point const now = boot_time();
        duration const due = read_age(now);
        if (m_state.m_upstreams_read_at &&
            now - *m_state.m_upstreams_read_at < due)
        {
            co_await pause(
                m_executor,
                look_pause(due - (now - *m_state.m_upstreams_read_at)));
            continue;
        }
        std::optional<document_read> read =
            co_await m_state.m_calls.m_read_upstreams();
        note_store(read.has_value(), lost, "upstreams");
        if (!read)
        {
            co_await pause(m_executor, failed_read_pause(boot_time()));
            continue;
        }
        std::uint64_t const before = m_state.m_upstreams.digest();
        m_state.take_upstreams(read->m_document, read->m_read_at);
        if (m_state.m_upstreams.digest() != before)
        {
            m_exchange.hurry();
        }
        co_await pause(m_executor, shortest_look);
    }
}

awaitable<void> store_follower::kv_store_loop()
{
    std::uint64_t since = 0;
    for (;;)
    {
        time_point const now = boot_time();
        bool const has_store =
            m_state.m_catalog && !m_state.m_catalog->kv_store().empty();
        bool const told =
            m_state.m_kv_store_seen &&
            now - *m_state.m_kv_store_seen <
                kv_watch_interval +
                    kv_rank_step * static_cast<int>(m_state.m_roster.rank(now));
        if (!has_store || told)
        {
            co_await pause(m_executor, kv_look_step);
            continue;
        }
        std::string const address = m_state.m_catalog->kv_store();
        std::optional<kv_store_state> const state =
            co_await m_state.m_calls.m_watch_kv_store(address, since);
        if (state)
        {
            since = state->m_next;
            // The answer shows that it lives at the end of the call.
            m_state.note_kv_store(state->m_epoch, boot_time());
        }
        else
        {
            m_state.note_kv_store_silent();
            co_await pause(m_executor, kv_lost_pause);
        }
    }
}

awaitable<void> store_follower::members_loop()
{
    bool written = false;
    int reads = 0;
    time_point next_read = boot_time();
    for (;;)
    {
        if (!written)
        {
            written =
                co_await m_state.m_calls.m_write_member(m_exchange.self());
        }
        time_point const now = boot_time();
        bool const lonely = m_state.m_roster.live_peers(now) == 0;
        bool const due = reads < start_reads || lonely ||
                         (m_state.m_roster.is_mesh() && now >= next_read);
        if (due)
        {
            std::optional<std::vector<serving::member>> const members =
                co_await m_state.m_calls.m_read_members();
            if (members)
            {
                ++reads;
                next_read = boot_time() + members_interval;
                for (serving::member const& member : *members)
                {
                    m_state.note_member(member, false);
                }
                telemetry::log(severity::info, "members_read",
                               {{"rows", members->size()},
                                {"known", m_state.m_roster.peers().size()}});
                m_state.m_quotas.expect_instances(
                    m_state.m_roster.peers().size() + 1,
                    m_exchange.started_at() + start_phase);
            }
        }
        co_await pause(m_executor, reads < start_reads || !written
                                       ? start_interval
                                       : lonely_step);
    }
}

} // namespace daisylead::entry
