/** @file Polls the store for configuration and service discovery. */
#include "store_poller.hpp"

#include "keep_running_func.hpp"
#include "pause_func.hpp"

#include <daisylead/telemetry/log_func.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylead::entry
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;
using telemetry::severity;

/** Additional age per rank before an instance reads the store itself. Two
 *  intervals of news must fit into the first step. */
constexpr duration read_rank_step = 250ms;

/** Maximum age of a document before every instance reads the store itself; a
 *  change must be in force within two seconds. */
constexpr duration max_read_age = 1100ms;

/** Part of the time in which a configuration comes into force after which an
 *  instance with a live relay reads the store itself, as the relays seem unable
 *  to reach it. The rest is for several attempts. */
constexpr int dependent_age_divisor = 2;

/** Part of that time for which such an instance waits after a failed read. */
constexpr int dependent_retry_divisor = 6;

/** Longest and shortest pause before the age of a document is checked again. */
constexpr std::chrono::milliseconds max_poll_pause = 400ms;
constexpr std::chrono::milliseconds min_poll_pause = 10ms;

/** Delay after a failed read. */
constexpr std::chrono::milliseconds retry_delay = 250ms;

/** Age of the last answer of the KV cache store at which the first instance
 *  by rank polls it again. */
constexpr duration kv_watch_interval = 300ms;

/** Additional age per rank, so that not all instances poll a store that is
 *  down. */
constexpr duration kv_rank_step = 300ms;

/** Interval of checks of the age of its last answer. */
constexpr std::chrono::milliseconds kv_poll_interval = 150ms;

/** Max. KV cache stores that are used. */
constexpr std::size_t max_kv_stores = 8;

/** Interval of checks whether a further KV cache store is configured. */
constexpr std::chrono::milliseconds kv_absent_interval = 1s;

/** Delay after the KV cache store did not answer. */
constexpr std::chrono::milliseconds kv_retry_delay = 400ms;

/** Time after the start in which instances with unknown use are charged with
 *  their share of the limits. */
constexpr duration start_phase = 5s;

/** Interval of expiring blocked prompt parts and of recording them. */
constexpr std::chrono::milliseconds blocked_parts_interval = 300ms;

/** Delay per rank before an instance records a blocked prompt part. */
constexpr duration store_rank_delay = 1s;

/** Maximum number of steps by which the delay before the next read of a
 *  missing first configuration grows with the rank. */
constexpr std::size_t max_absent_rank_steps = 8;

/** Number of reads of the member rows after the start, while other processes
 *  of the fleet start. */
constexpr int startup_reads = 3;

/** Interval of the reads after the start. */
constexpr std::chrono::milliseconds startup_read_interval = 1500ms;

/** Interval of reading the member rows in a small fleet, whose instances all
 *  exchange news with each other. */
constexpr std::chrono::milliseconds members_read_interval = 20s;

/** Rows that were written longer before a restore of the store are in the
 *  copy. */
constexpr duration max_copy_age = 5min;

/** Time for a read that a caller waits for. */
constexpr std::chrono::milliseconds confirm_timeout = 250ms;

/** Interval of checks whether any peer is live. */
constexpr std::chrono::milliseconds peers_check_interval = 2s;

} // namespace

store_poller::store_poller(asio::any_io_executor const& executor,
                           fleet_state& state, fleet_exchange& exchange)
    : m_executor(executor), m_state(state), m_exchange(exchange),
      m_confirmed(executor)
{
}

void store_poller::start()
{
    keep_running(m_executor, "rules", [this] { return rules_loop(); });
    keep_running(m_executor, "upstreams", [this] { return upstreams_loop(); });
    keep_running(m_executor, "members", [this] { return members_loop(); });
    for (std::size_t i = 0; i < max_kv_stores; ++i)
    {
        keep_running(m_executor, "kv_store",
                     [this, i] { return kv_store_loop(i); });
    }
    keep_running(m_executor, "blocked_parts",
                 [this] { return blocked_parts_loop(); });
}

duration store_poller::read_due_age(time_point now) const
{
    serving::fleet_roster const& roster = m_state.m_roster;
    if (roster.has_live_relay(now))
    {
        return dependent_max_age();
    }
    return serving::store_read_delay(roster.rank(now),
                                     m_state.m_settings.m_read_interval,
                                     read_rank_step, max_read_age);
}

std::chrono::milliseconds store_poller::read_retry_delay(time_point now) const
{
    return m_state.m_roster.has_live_relay(now)
               ? std::max(retry_delay,
                          m_state.m_settings.m_configuration_apply /
                              dependent_retry_divisor)
               : retry_delay;
}

duration store_poller::dependent_max_age() const
{
    return m_state.m_settings.m_configuration_apply / dependent_age_divisor;
}

std::chrono::milliseconds store_poller::absent_retry_delay() const
{
    time_point const now = boot_time();
    duration const wait =
        m_state.m_roster.has_live_relay(now)
            ? dependent_max_age()
            : retry_delay *
                  (1 + static_cast<int>(std::min(m_state.m_roster.rank(now),
                                                 max_absent_rank_steps)));
    return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
}

std::chrono::milliseconds store_poller::poll_pause(duration time_until_due)
{
    return std::clamp(
        std::chrono::ceil<std::chrono::milliseconds>(time_until_due),
        min_poll_pause, max_poll_pause);
}

void store_poller::note_store_read(std::optional<document_read> const& read,
                                   bool& lost, std::string const& what)
{
    bool const answered = read.has_value();
    m_state.m_metrics.count(
        "daisylead_store_reads_total",
        {{"what", what}, {"answered", answered ? "yes" : "no"}});
    if (read)
    {
        m_state.m_metrics.count("daisylead_store_read_bytes_total",
                                {{"what", what}}, read->m_size);
        m_state.m_metrics.observe("daisylead_store_read_seconds",
                                  boot_time() - read->m_read_at);
    }
    if (answered == lost)
    {
        lost = !answered;
        telemetry::log(lost ? severity::warning : severity::info,
                       lost ? "store_lost" : "store_regained",
                       {{"what", what}});
    }
}

awaitable<void> store_poller::rules_loop()
{
    bool lost = false;
    for (;;)
    {
        time_point const now = boot_time();
        auto const age = m_state.m_rules_freshness.age(now);
        duration const due_age = read_due_age(now);
        if (age && *age < due_age)
        {
            co_await pause(m_executor, poll_pause(due_age - *age));
            continue;
        }
        std::optional<document_read> read =
            co_await m_state.m_adapter.m_read_rules();
        note_store_read(read, lost, "rules");
        if (!read)
        {
            co_await pause(m_executor, read_retry_delay(boot_time()));
            continue;
        }
        bool const changed =
            read->m_document.m_revision > m_state.m_rules_freshness.revision();
        m_state.update_rules(std::move(read->m_document), read->m_read_at,
                             "store");
        if (changed)
        {
            m_exchange.send_now();
        }
        // Without a first configuration, poll at a longer interval. A read that
        // is older than what is known must not be repeated at once.
        auto const new_age = m_state.m_rules_freshness.age(boot_time());
        bool const is_fresh = new_age && *new_age < due_age;
        co_await pause(m_executor, !m_state.m_catalog ? absent_retry_delay()
                                   : is_fresh         ? min_poll_pause
                                              : read_retry_delay(boot_time()));
    }
}

awaitable<void> store_poller::upstreams_loop()
{
    bool lost = false;
    for (;;)
    {
        time_point const now = boot_time();
        duration const due_age = read_due_age(now);
        if (m_state.m_upstreams_read_at &&
            now - *m_state.m_upstreams_read_at < due_age)
        {
            co_await pause(
                m_executor,
                poll_pause(due_age - (now - *m_state.m_upstreams_read_at)));
            continue;
        }
        std::optional<document_read> read =
            co_await m_state.m_adapter.m_read_upstreams();
        note_store_read(read, lost, "upstreams");
        if (!read)
        {
            co_await pause(m_executor, read_retry_delay(boot_time()));
            continue;
        }
        std::uint64_t const before = m_state.m_upstreams.digest();
        m_state.replace_upstreams(read->m_document, read->m_read_at);
        if (m_state.m_upstreams.digest() != before)
        {
            m_exchange.send_now();
        }
        bool const is_fresh =
            m_state.m_upstreams_read_at &&
            boot_time() - *m_state.m_upstreams_read_at < due_age;
        co_await pause(m_executor, is_fresh ? min_poll_pause
                                            : read_retry_delay(boot_time()));
    }
}

awaitable<void> store_poller::read_upstreams_now()
{
    std::optional<document_read> read;
    try
    {
        read = co_await m_state.m_adapter.m_read_upstreams();
    }
    catch (std::exception const& failure)
    {
        telemetry::log(severity::warning, "upstreams_unconfirmed",
                       {{"error", failure.what()}});
    }
    m_state.m_metrics.count(
        "daisylead_store_reads_total",
        {{"what", "confirmation"}, {"answered", read ? "yes" : "no"}});
    if (read)
    {
        std::uint64_t const before = m_state.m_upstreams.digest();
        m_state.replace_upstreams(read->m_document, read->m_read_at);
        if (m_state.m_upstreams.digest() != before)
        {
            m_exchange.send_now();
        }
    }
    m_confirming = false;
    m_confirmed.cancel();
}

awaitable<bool> store_poller::confirm_upstreams(time_point after)
{
    for (;;)
    {
        if (m_state.m_upstreams_read_at &&
            *m_state.m_upstreams_read_at >= after)
        {
            co_return true;
        }
        if (!m_confirming)
        {
            if (m_confirm_began >= after)
            {
                co_return false;
            }
            m_confirming = true;
            m_confirm_began = boot_time();
            m_confirmed.expires_after(confirm_timeout);
            asio::co_spawn(m_executor, read_upstreams_now(), asio::detached);
        }
        boost::system::error_code failure;
        co_await m_confirmed.async_wait(
            asio::redirect_error(asio::use_awaitable, failure));
        if (!failure)
        {
            co_return false;
        }
    }
}

awaitable<void> store_poller::kv_store_loop(std::size_t index)
{
    std::uint64_t since = 0;
    std::string last_address;
    for (;;)
    {
        time_point const now = boot_time();
        auto const& stores = m_state.m_kv_stores.stores();
        if (index >= stores.size())
        {
            co_await pause(m_executor, kv_absent_interval);
            continue;
        }
        std::string const address = stores[index];
        if (address != last_address)
        {
            since = 0;
            last_address = address;
        }
        auto const answered = m_state.m_kv_stores.answered_at(address);
        bool const is_fresh =
            answered &&
            now - *answered <
                kv_watch_interval +
                    kv_rank_step * static_cast<int>(m_state.m_roster.rank(now));
        if (is_fresh)
        {
            co_await pause(m_executor, kv_poll_interval);
            continue;
        }
        std::optional<kv_store_state> const state =
            co_await m_state.m_adapter.m_watch_kv_store(address, since);
        if (state)
        {
            since = state->m_next;
            // A long poll: the answer proves that the store was up when the
            // call ended, not when it started.
            m_state.note_kv_store(address, state->m_epoch, boot_time());
        }
        else
        {
            m_state.note_kv_store_silent(address);
            co_await pause(m_executor, kv_retry_delay);
        }
    }
}

awaitable<void> store_poller::blocked_parts_loop()
{
    // Blocks must be known before the first prompt is sent on.
    while (!m_state.m_knows_blocked_parts)
    {
        std::optional<std::vector<request::blocked_part>> const parts =
            co_await m_state.m_adapter.m_read_blocked_parts();
        if (parts)
        {
            m_state.apply_stored_blocks(*parts);
            m_exchange.send_now();
        }
        else
        {
            co_await pause(m_executor, retry_delay);
        }
    }
    for (;;)
    {
        co_await pause(m_executor, blocked_parts_interval);
        m_state.expire_blocked_parts();
        co_await store_blocked_parts();
        co_await erase_unblocked_parts();
    }
}

awaitable<void> store_poller::store_blocked_parts()
{
    for (request::blocked_part const& part :
         m_state.m_part_quarantine.blocked_parts())
    {
        time_point const now = boot_time();
        time_point const noted_at =
            m_unstored_since.try_emplace(part.m_part, now).first->second;
        duration const wait =
            store_rank_delay * static_cast<int>(m_state.m_roster.rank(now));
        if (part.m_stored || now - noted_at < wait)
        {
            continue;
        }
        bool const stored =
            co_await m_state.m_adapter.m_write_blocked_part(part);
        telemetry::log(stored ? severity::info : severity::warning,
                       "part_block_stored",
                       {{"part", static_cast<std::uint64_t>(part.m_part)},
                        {"stored", stored}});
        if (!stored)
        {
            break;
        }
        m_state.m_part_quarantine.note_stored(part.m_part);
        m_exchange.send_now();
    }
}

awaitable<void> store_poller::erase_unblocked_parts()
{
    std::set<request::part_digest> const parts =
        std::exchange(m_state.m_unblocked_parts, {});
    for (request::part_digest const part : parts)
    {
        m_unstored_since.erase(part);
        // One instance is enough. A row that is left over is refuted by the
        // peers of the instance that reads it.
        if (m_state.m_roster.rank(boot_time()) == 0)
        {
            co_await m_state.m_adapter.m_erase_blocked_part(part);
        }
    }
}

awaitable<void> store_poller::members_loop()
{
    bool written = false;
    int reads = 0;
    time_point next_read = boot_time();
    time_point written_at;
    std::optional<time_point> restored_at;
    for (;;)
    {
        time_point const now = boot_time();
        if (m_state.m_store_restored_at != restored_at)
        {
            restored_at = m_state.m_store_restored_at;
            written = written && now - written_at > max_copy_age;
        }
        if (!written)
        {
            written_at = now;
            written =
                co_await m_state.m_adapter.m_write_member(m_exchange.self());
        }
        bool const has_no_peers = m_state.m_roster.live_peers(now) == 0;
        bool const due = reads < startup_reads || has_no_peers ||
                         (m_state.m_roster.is_mesh() && now >= next_read);
        if (due)
        {
            std::optional<std::vector<serving::member>> const members =
                co_await m_state.m_adapter.m_read_members();
            if (members)
            {
                ++reads;
                next_read = boot_time() + members_read_interval;
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
        co_await pause(m_executor, reads < startup_reads || !written
                                       ? startup_read_interval
                                       : peers_check_interval);
    }
}

} // namespace daisylead::entry
