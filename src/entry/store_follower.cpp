/** @file Reads configuration and service discovery from the store. */
#include "store_follower.hpp"

#include "pause_func.hpp"

#include <daisylead/telemetry/log_func.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

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

/** Step in which the age of the proofs is looked at. */
constexpr std::chrono::milliseconds look_step = 50ms;

/** Pause after a failed read. */
constexpr std::chrono::milliseconds failed_pause = 250ms;

/** Age of an answer of the KV cache store after which it is asked again, by the
 *  first instance by rank. */
constexpr duration kv_watch_interval = 300ms;

/** The same for each further rank: a store that is gone must not be asked by
 *  all at once. */
constexpr duration kv_rank_step = 300ms;

/** Pause after the KV cache store gave no answer. */
constexpr std::chrono::milliseconds kv_lost_pause = 400ms;

/** Interval in which the rows of the members are read again. */
constexpr std::chrono::milliseconds members_interval = 20s;

/** The same while no peer is known. */
constexpr std::chrono::milliseconds lonely_interval = 1s;

} // namespace

store_follower::store_follower(asio::any_io_executor const& executor,
                               fleet_state& state, fleet_exchange& exchange)
    : m_executor(executor), m_state(state), m_exchange(exchange)
{
}

void store_follower::start()
{
    asio::co_spawn(m_executor, rules_loop(), asio::detached);
    asio::co_spawn(m_executor, upstreams_loop(), asio::detached);
    asio::co_spawn(m_executor, members_loop(), asio::detached);
    asio::co_spawn(m_executor, kv_store_loop(), asio::detached);
}

duration store_follower::read_age(time_point now) const
{
    return serving::read_after(m_state.rank(now),
                               m_state.m_settings.m_read_interval, rank_step,
                               most_age);
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
        if (age && *age < read_age(now))
        {
            co_await pause(m_executor, look_step);
            continue;
        }
        std::optional<document_read> read =
            co_await m_state.m_calls.m_read_rules();
        note_store(read.has_value(), lost, "rules");
        if (!read)
        {
            co_await pause(m_executor, failed_pause);
            continue;
        }
        bool const changed =
            read->m_document.m_revision > m_state.m_rules_freshness.revision();
        m_state.take_rules(std::move(read->m_document), read->m_read_at,
                           "store");
        if (changed)
        {
            m_exchange.send_to_all();
        }
        co_await pause(m_executor, look_step);
    }
}

awaitable<void> store_follower::upstreams_loop()
{
    bool lost = false;
    for (;;)
    {
        time_point const now = boot_time();
        if (m_state.m_upstreams_read_at &&
            now - *m_state.m_upstreams_read_at < read_age(now))
        {
            co_await pause(m_executor, look_step);
            continue;
        }
        std::optional<document_read> read =
            co_await m_state.m_calls.m_read_upstreams();
        note_store(read.has_value(), lost, "upstreams");
        if (!read)
        {
            co_await pause(m_executor, failed_pause);
            continue;
        }
        std::uint64_t const before = m_state.m_upstreams.m_digest;
        m_state.take_upstreams(std::move(read->m_document), read->m_read_at,
                               "store");
        if (m_state.m_upstreams.m_digest != before)
        {
            m_exchange.send_to_all();
        }
        co_await pause(m_executor, look_step);
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
                    kv_rank_step * static_cast<int>(m_state.rank(now));
        if (!has_store || told)
        {
            co_await pause(m_executor, look_step * 2);
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
    for (;;)
    {
        if (!written)
        {
            written =
                co_await m_state.m_calls.m_write_member(m_exchange.self());
        }
        std::optional<std::vector<serving::member>> const members =
            co_await m_state.m_calls.m_read_members();
        if (members)
        {
            for (serving::member const& member : *members)
            {
                if (member.m_id != m_exchange.self().m_id)
                {
                    m_state.note_member(member, false);
                }
            }
        }
        bool const settled =
            written && members && m_state.live_peers(boot_time()) > 0;
        co_await pause(m_executor,
                       settled ? members_interval : lonely_interval);
    }
}

} // namespace daisylead::entry
