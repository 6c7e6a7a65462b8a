/** @file Reads configuration and service discovery from the store. */
#include "store_follower.hpp"

#include <daisylead/telemetry/log_func.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
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

/** Interval in which the rows of the members are read again. */
constexpr std::chrono::milliseconds members_interval = 20s;

/** The same while no peer is known. */
constexpr std::chrono::milliseconds lonely_interval = 1s;

awaitable<void> pause(asio::any_io_executor executor,
                      std::chrono::milliseconds time)
{
    asio::steady_timer timer(executor, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

store_follower::store_follower(asio::any_io_executor executor,
                               fleet_state& state, fleet_exchange& exchange)
    : m_executor(executor), m_state(state), m_exchange(exchange)
{
}

void store_follower::start()
{
    asio::co_spawn(m_executor, rules_loop(), asio::detached);
    asio::co_spawn(m_executor, upstreams_loop(), asio::detached);
    asio::co_spawn(m_executor, members_loop(), asio::detached);
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
            co_await m_state.m_calls.read_rules();
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
            co_await m_state.m_calls.read_upstreams();
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

awaitable<void> store_follower::members_loop()
{
    bool written = false;
    for (;;)
    {
        if (!written)
        {
            written = co_await m_state.m_calls.write_member(m_exchange.self());
        }
        std::optional<std::vector<serving::member>> const members =
            co_await m_state.m_calls.read_members();
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
