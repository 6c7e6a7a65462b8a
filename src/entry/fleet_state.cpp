/** @file State of the fleet as seen by one entry instance. */
#include "fleet_state.hpp"

#include "caller_limiter.hpp"

#include <daisylead/base/milliseconds_func.hpp>
#include <daisylead/serving/store_revision_func.hpp>
#include <daisylead/telemetry/log_func.hpp>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace daisylead::entry
{

namespace
{

using namespace std::chrono_literals;
using telemetry::severity;

/** Part of the bytes of callers' requests that answers may hold besides. */
constexpr std::size_t answer_memory_divisor = 2;

/** A peer without an answer for this long is charged with its equal share of
 *  the limits; three intervals of news. */
constexpr duration peer_silent_after = 1300ms;

/** Typical age of the reported use of limits: half an interval between peers
 *  that exchange news directly. */
constexpr duration mesh_news_age = 200ms;

/** Typical age with one relay in between, and with two. */
constexpr duration relay_news_age = 400ms;
constexpr duration dependent_news_age = 600ms;

/** A new bucket of an organisation holds what its limit yields in this time.
 *  After a restart of all instances the earlier use is unknown, and the
 *  limit allows at most 10 % more than its rate in 8 s. */
constexpr duration quota_initial_fill = 500ms;

/** A peer that knows a newer configuration tells so with all its news. */
constexpr duration announcement_ttl = 2s;

/** Margin before the end of the validity of keys: a request may wait in
 *  socket buffers for this long after its last check. */
constexpr duration key_validity_margin = 600ms;

/** Part of the maximum age of weights that remains after a process has found
 *  versions at its start, until a peer reports their real age. */
constexpr duration assumed_time_left = 2s;

/** After running for this much longer than weights may be outdated, a process
 *  has observed all ages that matter itself. */
constexpr duration naming_times_margin = 2s;

/** TTL of a share in an upstream's request rate: three intervals of the relay's
 *  replies. */
constexpr duration rate_grant_ttl = 1300ms;

/** Time between two reads of service discovery in which no upstream can come
 *  and go unseen: one that leaves is listed for two seconds after that. */
constexpr duration max_list_gap = 2s;

/** Time for which processes that are gone are remembered; far longer than a
 *  stream lasts. */
constexpr duration max_process_age = 10min;

/** Time in which an upstream that serves has written its record, and that of
 *  one that has ended has lapsed: more than three heartbeats. */
constexpr duration record_settle_time = 4s;

/** Largest difference between the times of day of two machines that is allowed
 *  for. */
constexpr duration max_clock_difference = 500ms;

/** Maximum number of streams whose origin is known at a time. */
constexpr std::size_t max_streams = 16384;

/** Quarantine period of a request that crashed upstreams. */
constexpr duration quarantine_period = 30s;

/** Maximum number of prefixes that are remembered as saved to the KV cache
 *  store. */
constexpr std::size_t max_saved_prefixes = 4096;

/** The KV cache store counts as down after this long without an answer: a
 *  fetch from a store that is down costs some hundred milliseconds. */
constexpr duration kv_store_silent_after = 1800ms;

/** A prefix is saved again after this long, as the store evicts what was
 *  used least recently and loses everything when it restarts. */
constexpr duration save_refresh_interval = 20s;

std::uint64_t random_number()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return generator();
}

serving::member self_as_member(config::entry_settings const& settings,
                               std::int64_t started)
{
    return {settings.m_instance,
            settings.m_peer_address,
            started,
            settings.m_zone,
            static_cast<std::int64_t>(std::lround(settings.m_size * 1000)),
            settings.m_tunnel_address};
}

/** @return the time of day at a time, Unix ms. It does not follow steps of the
 *          clock of this machine after the start of the process.
 *  @param started time of day at @p began, Unix ms */
std::int64_t unix_time(std::int64_t started, time_point began, time_point time)
{
    return started +
           std::chrono::duration_cast<std::chrono::milliseconds>(time - began)
               .count();
}

/** Bits of a content order that hold the sum of the weights versions. */
constexpr unsigned weights_order_bits = 20;

/** @return a number that grows with the version of the configuration, then with
 *          those of the weights. */
std::uint64_t content_order(serving::catalog const& catalog)
{
    std::int64_t sum = 0;
    for (serving::weights_target const& target : catalog.m_weights)
    {
        sum += target.m_version;
    }
    auto const weights = static_cast<std::uint64_t>(std::clamp<std::int64_t>(
        sum, 0, (std::int64_t{1} << weights_order_bits) - 1));
    return (static_cast<std::uint64_t>(catalog.m_version.value())
            << weights_order_bits) |
           weights;
}

serving::upstream_pool_options
pool_options(config::entry_settings const& settings)
{
    serving::upstream_pool_options options;
    options.m_max_weights_age = settings.m_weights_max_age;
    return options;
}

} // namespace

fleet_state::fleet_state(config::entry_settings const& settings,
                         adapter const& platform_adapter,
                         telemetry::metrics& metrics,
                         boost::asio::any_io_executor const& executor,
                         std::int64_t started)
    : m_settings(settings), m_adapter(platform_adapter), m_metrics(metrics),
      m_upstream_pool(
          pool_options(settings), &random_number,
          [this](upstream_id const& id, double per_second, time_point now)
          { return rate_share(id, per_second, now); }),
      m_software(max_list_gap),
      m_processes({max_process_age, record_settle_time, max_clock_difference},
                  [started, began = boot_time()](time_point time)
                  { return unix_time(started, began, time); }),
      m_streams(max_streams), m_quotas(peer_silent_after, quota_initial_fill),
      m_retries({settings.m_retry_ratio,
                 static_cast<double>(settings.m_retry_extra),
                 settings.m_retry_window}),
      m_quarantine({quarantine_period}), m_part_quarantine({}),
      m_roster({}, self_as_member(settings, started), boot_time()),
      m_store_era_since(boot_time()), m_kv_stores(kv_store_silent_after),
      m_executor(executor),
      m_answers(std::make_shared<answer_limiter>(executor, metrics,
                                                 bounds_for(settings).m_bytes /
                                                     answer_memory_divisor)),
      m_started(boot_time()), m_saved(max_saved_prefixes)
{
}

void fleet_state::note_store_era(std::uint64_t era, std::string const& source)
{
    if (era <= m_store_era)
    {
        return;
    }
    bool const restored = m_store_era != 0;
    telemetry::log(restored ? severity::warning : severity::info, "store_era",
                   {{"era", era}, {"before", m_store_era}, {"source", source}});
    m_store_era = era;
    m_store_era_since = boot_time();
    if (restored)
    {
        m_metrics.count("daisylead_store_restores_total");
        m_store_restored_at = boot_time();
        m_upstream_pool.note_store_restored(*m_store_restored_at);
        m_part_quarantine.note_store_restored();
    }
}

void fleet_state::update_rules(serving::document document, time_point read_at,
                               std::string const& source)
{
    note_store_era(serving::era_of(document.m_revision), source);
    std::uint64_t const known = m_rules_freshness.revision();
    bool const is_newest_state = document.m_revision >= known;
    bool const has_newer_content =
        document.m_content_order > m_rules.m_content_order;
    if (m_catalog && document.m_revision <= known && !has_newer_content)
    {
        m_rules_freshness.note_read(document.m_revision, read_at);
        return;
    }
    time_point const decode_began = boot_time();
    std::optional<serving::catalog> catalog =
        m_adapter.m_decode_rules(document.m_bytes);
    duration const decode_time = boot_time() - decode_began;
    m_metrics.observe("daisylead_configuration_decode_seconds", decode_time);
    if (!catalog)
    {
        telemetry::log(severity::warning, "configuration_unreadable",
                       {{"revision", document.m_revision}, {"source", source}});
        return;
    }
    document.m_content_order = content_order(*catalog);
    // Versions in this document were first named after the last time at which
    // the old content was confirmed. A process that has just started does not
    // know that time and assumes an age, which uses up a part of the time
    // limits.
    auto const confirmed_age = m_rules_freshness.age(boot_time());
    time_point const named_at =
        boot_time() -
        confirmed_age.value_or(std::max<duration>(
            0s, m_settings.m_weights_max_age - assumed_time_left));
    if (is_newest_state)
    {
        m_rules_freshness.note_read(document.m_revision, read_at);
    }
    if (m_catalog && catalog->m_version < m_catalog->content().m_version)
    {
        // Read from a restored store: no newer configuration was accepted, so
        // the one in force is still the newest.
        m_rules.m_revision = std::max(m_rules.m_revision, document.m_revision);
        telemetry::log(severity::warning, "configuration_older",
                       {{"version", catalog->m_version.value()},
                        {"in_force", m_catalog->content().m_version.value()},
                        {"revision", document.m_revision},
                        {"source", source}});
        return;
    }
    document.m_revision = std::max(document.m_revision, m_rules.m_revision);
    m_rules = std::move(document);
    keep_newer_weights(*catalog);
    apply_catalog(std::move(*catalog), named_at);
    telemetry::log(severity::info, "configuration_in_force",
                   {{"version", m_catalog->content().m_version.value()},
                    {"revision", m_rules.m_revision},
                    {"source", source},
                    {"bytes", m_rules.m_bytes.size()},
                    {"decode_ms", milliseconds_of(decode_time)},
                    {"read_age_ms", milliseconds_of(boot_time() - read_at)}});
    if (m_on_configuration)
    {
        m_on_configuration();
    }
}

bool fleet_state::is_newer_configuration(
    serving::document_state const& other) const
{
    return other.m_revision > m_rules_freshness.revision() ||
           other.m_digest > m_rules.m_content_order;
}

void fleet_state::note_newer_configuration(
    serving::document_state const& announced)
{
    m_announced_rules = announced;
    m_announced_rules_at = boot_time();
}

bool fleet_state::is_outdated(time_point now) const
{
    return now - m_announced_rules_at < announcement_ttl &&
           is_newer_configuration(m_announced_rules);
}

bool fleet_state::is_superseded(time_point now) const
{
    auto const age = m_rules_freshness.age(now);
    return is_outdated(now) &&
           (!age || *age > m_settings.m_configuration_apply);
}

void fleet_state::keep_newer_weights(serving::catalog& catalog) const
{
    if (!m_catalog)
    {
        return;
    }
    for (serving::weights_target const& known : m_catalog->content().m_weights)
    {
        auto const target =
            std::find_if(catalog.m_weights.begin(), catalog.m_weights.end(),
                         [&](serving::weights_target const& item)
                         { return item.m_model == known.m_model; });
        if (target == catalog.m_weights.end())
        {
            catalog.m_weights.push_back(known);
        }
        else
        {
            target->m_version = std::max(target->m_version, known.m_version);
        }
    }
}

void fleet_state::apply_catalog(serving::catalog catalog, time_point named_at)
{
    time_point const now = boot_time();
    for (serving::weights_target const& target : catalog.m_weights)
    {
        if (m_upstream_pool.set_newest(target.m_model, target.m_version,
                                       named_at))
        {
            telemetry::log(severity::info, "weights_named",
                           {{"model", target.m_model.value()},
                            {"version", target.m_version},
                            {"age_ms", milliseconds_of(now - named_at)},
                            {"assumed", !m_catalog}});
        }
    }
    for (serving::organisation const& owner : catalog.m_organisations)
    {
        m_quotas.set_limit(owner.m_id, {owner.m_rate, owner.m_burst}, now);
    }
    std::vector<std::string> kv_stores;
    for (serving::service const& item : catalog.m_services)
    {
        m_upstream_pool.set_capacity(item.m_id, item.m_capacity);
        if (!item.m_kv_store.empty())
        {
            kv_stores.push_back(item.m_kv_store);
        }
    }
    m_kv_stores.set_stores(std::move(kv_stores));
    m_catalog =
        std::make_shared<serving::catalog_index const>(std::move(catalog));
}

void fleet_state::replace_upstreams(serving::document const& document,
                                    time_point read_at)
{
    note_store_era(serving::era_of(document.m_revision), "store");
    if (m_upstreams_read_at && document.m_revision < m_upstreams_revision)
    {
        return;
    }
    bool const changed =
        m_upstreams.replace(m_adapter.m_decode_upstreams(document.m_bytes));
    apply_upstreams(changed, document.m_revision, read_at, "store");
}

bool fleet_state::apply_upstream_changes(
    serving::upstream_changes const& changes,
    serving::document_state const& sender_state, time_point read_at,
    std::string const& source)
{
    note_store_era(serving::era_of(sender_state.m_revision), source);
    if (m_upstreams_read_at && sender_state.m_revision < m_upstreams_revision)
    {
        return true;
    }
    std::uint64_t const before = m_upstreams.digest();
    if (!m_upstreams.apply(changes, sender_state.m_digest))
    {
        return false;
    }
    apply_upstreams(m_upstreams.digest() != before, sender_state.m_revision,
                    read_at, source);
    return true;
}

void fleet_state::apply_upstreams(bool changed, std::uint64_t revision,
                                  time_point read_at, std::string const& source)
{
    bool const first = !m_upstreams_read_at;
    m_upstreams_revision = revision;
    m_upstreams_read_at =
        std::max(read_at, m_upstreams_read_at.value_or(read_at));
    auto const [added, removed] =
        m_upstream_pool.take_list(m_upstreams.records(), read_at);
    note_software(read_at, source);
    for (upstream_id const& id : removed)
    {
        // Its requests may have crashed it; the quarantine decides by the
        // attempts that broke off.
        telemetry::log(severity::info, "upstream_gone",
                       {{"upstream", id.value()}, {"source", source}});
    }
    if (changed || first)
    {
        telemetry::log(severity::info, "upstreams_changed",
                       {{"listed", m_upstreams.records().size()},
                        {"added", added.size()},
                        {"removed", removed.size()},
                        {"revision", revision},
                        {"source", source}});
    }
}

void fleet_state::note_software(time_point read_at, std::string const& source)
{
    auto const before = m_software.listed();
    m_software.note_list(m_upstreams.records(), read_at);
    m_processes.note_list(m_upstreams.records(), read_at, boot_time());
    for (auto const& [service, versions] : m_software.listed())
    {
        auto const known = before.find(service);
        if (known == before.end() || known->second != versions)
        {
            nlohmann::json names = nlohmann::json::array();
            for (software_version const& version : versions)
            {
                names.push_back(version.value());
            }
            telemetry::log(severity::info, "software_versions",
                           {{"service", service.value()},
                            {"versions", std::move(names)},
                            {"source", source}});
        }
    }
    if (m_on_upstreams)
    {
        m_on_upstreams();
    }
}

void fleet_state::note_rules_unchanged(time_point read_at)
{
    m_rules_freshness.note_read(m_rules_freshness.revision(), read_at);
}

void fleet_state::note_upstreams_unchanged(std::uint64_t revision,
                                           time_point read_at)
{
    m_upstreams_revision = std::max(m_upstreams_revision, revision);
    if (!m_upstreams_read_at || read_at > *m_upstreams_read_at)
    {
        m_upstreams_read_at = read_at;
        m_upstream_pool.note_list_unchanged(m_upstreams.records(), read_at);
        note_software(read_at, "confirmed");
    }
}

bool fleet_state::are_keys_fresh(time_point now) const
{
    return m_rules_freshness.is_valid(now, m_settings.m_key_validity -
                                               key_validity_margin);
}

bool fleet_state::is_ready(time_point now) const
{
    return m_catalog && !m_draining && m_upstreams_read_at &&
           m_knows_blocked_parts && are_keys_fresh(now) && !is_superseded(now);
}

void fleet_state::note_member(serving::member const& member, bool from_itself)
{
    using change = serving::fleet_roster::member_change;
    change const seen = m_roster.note_member(member, from_itself, boot_time());
    // Changes from member lists are not logged: a list has hundreds of members.
    if (from_itself && seen != change::none)
    {
        telemetry::log(
            severity::info,
            seen == change::added ? "peer_known" : "peer_restarted",
            {{"peer", member.m_id.value()}, {"address", member.m_address}});
    }
}

void fleet_state::refresh_peers(time_point now)
{
    for (instance_id const& id : m_roster.take_dropped(now))
    {
        m_quotas.drop_peer(id);
        m_upstream_pool.drop_peer(id);
    }
    m_retries.set_instances(static_cast<std::size_t>(m_roster.fleet_size(now)));
    duration const news_age = m_roster.is_mesh()       ? mesh_news_age
                              : m_roster.is_relay(now) ? relay_news_age
                                                       : dependent_news_age;
    m_quotas.set_news_age(news_age);
    if (m_roster.is_mesh())
    {
        m_upstream_pool.set_unsampled(news_age);
    }
    else
    {
        m_upstream_pool.set_sampled(m_roster.fleet_size(now), news_age);
    }
}

serving::use_totals
fleet_state::to_totals(std::vector<serving::quota_use> const& use) const
{
    serving::use_totals totals;
    if (!m_catalog)
    {
        return totals;
    }
    totals.m_configuration = m_catalog->content().m_version;
    std::map<organisation_id, std::int64_t> by_owner(use.begin(), use.end());
    for (serving::organisation const& owner :
         m_catalog->content().m_organisations)
    {
        auto const found = by_owner.find(owner.m_id);
        totals.m_totals.push_back(found == by_owner.end() ? 0 : found->second);
    }
    return totals;
}

std::optional<std::vector<serving::quota_use>>
fleet_state::from_totals(serving::use_totals const& totals) const
{
    if (!m_catalog ||
        totals.m_configuration != m_catalog->content().m_version ||
        totals.m_totals.size() != m_catalog->content().m_organisations.size())
    {
        return std::nullopt;
    }
    std::vector<serving::quota_use> use;
    for (std::size_t i = 0; i < totals.m_totals.size(); ++i)
    {
        use.emplace_back(m_catalog->content().m_organisations[i].m_id,
                         totals.m_totals[i]);
    }
    return use;
}

bool fleet_state::merge_weights(serving::fleet_news const& news, time_point now)
{
    if (news.m_weights.empty() || news.m_weights_token < m_weights_token)
    {
        return false;
    }
    bool is_new = false;
    if (news.m_weights_token > m_weights_token)
    {
        m_weights_token = news.m_weights_token;
        m_weights_number = 0;
        m_weights.clear();
        is_new = true;
    }
    for (serving::numbered_weights const& item : news.m_weights)
    {
        serving::numbered_weights& known = m_weights[item.m_news.m_upstream];
        if (item.m_number > known.m_number)
        {
            known = item;
            m_upstream_pool.note_weights(item.m_news, now);
            m_weights_number = std::max(m_weights_number, item.m_number);
            is_new = true;
        }
    }
    if (is_new)
    {
        m_last_weights_news_at = now;
    }
    return is_new;
}

void fleet_state::publish_weights(std::uint64_t token,
                                  serving::weights_news const& news,
                                  time_point now)
{
    m_upstream_pool.note_weights(news, now);
    if (token > m_weights_token)
    {
        m_weights_token = token;
        m_weights_number = 0;
        m_weights.clear();
    }
    m_weights[news.m_upstream] = {news, ++m_weights_number};
}

void fleet_state::refresh_loading_marks(time_point now)
{
    for (auto& [id, item] : m_weights)
    {
        if (item.m_news.m_switching)
        {
            item.m_number = ++m_weights_number;
            m_upstream_pool.note_weights(item.m_news, now);
        }
    }
}

std::vector<serving::numbered_weights>
fleet_state::weights_since(std::uint64_t token, std::uint64_t number) const
{
    std::vector<serving::numbered_weights> items;
    if (token > m_weights_token ||
        (token == m_weights_token && number >= m_weights_number))
    {
        return items;
    }
    for (auto const& [id, item] : m_weights)
    {
        if (token < m_weights_token || item.m_number > number)
        {
            items.push_back(item);
        }
    }
    return items;
}

void fleet_state::note_leaving(serving::leaving_upstream const& item,
                               instance_id const& from)
{
    if (!m_upstream_pool.note_leaving(item.m_upstream, item.m_started))
    {
        return;
    }
    telemetry::log(severity::info, "upstream_leaving",
                   {{"upstream", item.m_upstream.value()},
                    {"source", from.empty() ? "answer" : from.value()}});
    serving::news_outbox items;
    items.m_leaving.push_back(item);
    m_roster.enqueue(items, from, boot_time());
    if (m_on_urgent_news)
    {
        m_on_urgent_news();
    }
}

void fleet_state::note_rate(serving::rate_statement const& statement,
                            std::int64_t started, instance_id const& from)
{
    if (!m_upstream_pool.note_rate(statement, started))
    {
        return;
    }
    m_metrics.count("daisylead_upstream_rate_changes_total");
    telemetry::log(severity::info, "upstream_rate",
                   {{"upstream", statement.m_upstream.value()},
                    {"limited", statement.m_per_second.has_value()},
                    {"per_second", statement.m_per_second.value_or(0)},
                    {"stated_ms_ago",
                     milliseconds_of(boot_time() - statement.m_stated_at)},
                    {"source", from.empty() ? "answer" : from.value()}});
    m_roster.mark_urgent(from, boot_time());
    if (m_on_urgent_news)
    {
        m_on_urgent_news();
    }
}

double fleet_state::rate_share(upstream_id const& id, double per_second,
                               time_point now) const
{
    if (!m_roster.is_relay(now))
    {
        return m_upstream_pool.rates().granted(id, now);
    }
    serving::rate_group const group = m_roster.rate_sharers(now);
    // The others divide the limit among themselves once this instance drains.
    return m_draining && !group.m_relays.empty()
               ? 0
               : serving::divide_rate(id, per_second, group).m_own;
}

void fleet_state::add_rates(serving::load_news& news,
                            serving::peer_state const* receiver, time_point now)
{
    std::vector<serving::rate_statement> const statements =
        m_upstream_pool.rates().statements(now);
    if (statements.empty())
    {
        return;
    }
    bool const grants =
        receiver != nullptr && !m_draining && m_roster.is_child(*receiver, now);
    serving::rate_group const group =
        grants ? m_roster.rate_sharers(now) : serving::rate_group();
    for (serving::rate_statement const& statement : statements)
    {
        auto const position = m_upstreams.position_of(statement.m_upstream);
        if (!position)
        {
            continue;
        }
        double granted = 0;
        if (grants && statement.m_per_second)
        {
            auto const shares = serving::divide_rate(
                statement.m_upstream, *statement.m_per_second, group);
            auto const share = shares.m_children.find(receiver->m_member.m_id);
            granted = share == shares.m_children.end() ? 0 : share->second;
        }
        news.m_rates.push_back({*position, statement.m_per_second,
                                std::chrono::ceil<std::chrono::milliseconds>(
                                    now - statement.m_stated_at)
                                    .count(),
                                granted});
    }
}

void fleet_state::apply_rates(serving::load_news const& news,
                              instance_id const& from, bool from_relay,
                              std::optional<time_point> sent_at)
{
    if (news.m_list_digest != m_upstreams.digest())
    {
        return;
    }
    time_point const now = boot_time();
    for (serving::position_rate const& rate : news.m_rates)
    {
        if (rate.m_position >= m_upstreams.records().size())
        {
            continue;
        }
        serving::upstream_record const& upstream =
            m_upstreams.records()[rate.m_position];
        // News that a peer sent on its own look newer than they are by the time
        // on the way. Only changes are taken from them, so that the time of a
        // statement does not advance with each exchange.
        serving::rate_statement const statement{
            upstream.m_id, rate.m_per_second,
            sent_at.value_or(now) - std::chrono::milliseconds(rate.m_age_ms)};
        if (sent_at || m_upstream_pool.rates().is_change(statement))
        {
            note_rate(statement, upstream.m_started, from);
        }
        if (from_relay)
        {
            m_upstream_pool.rates().note_grant(upstream.m_id, rate.m_granted,
                                               now + rate_grant_ttl);
        }
    }
}

void fleet_state::note_direct_connect(serving::upstream_record const& upstream,
                                      bool connected)
{
    service_id const& service = upstream.m_service;
    auto const path =
        m_paths.try_emplace(service, serving::path_monitor_options()).first;
    if (!path->second.note_connect(upstream.m_id, connected,
                                   m_upstream_pool.size(service), boot_time()))
    {
        return;
    }
    bool const cut = path->second.is_cut();
    // Upstreams that could not be reached were not at fault.
    m_upstream_pool.forget_failures(service);
    m_metrics.count("daisylead_path_changes_total",
                    {{"cut", cut ? "yes" : "no"}});
    telemetry::log(cut ? severity::warning : severity::info,
                   cut ? "path_cut" : "path_restored",
                   {{"service", service.value()},
                    {"upstream", upstream.m_id.value()},
                    {"listed", m_upstream_pool.size(service)}});
    m_roster.mark_urgent({}, boot_time());
    if (m_on_urgent_news)
    {
        m_on_urgent_news();
    }
}

bool fleet_state::is_cut_from(service_id const& service) const
{
    auto const path = m_paths.find(service);
    return path != m_paths.end() && path->second.is_cut();
}

std::vector<service_id> fleet_state::cut_services() const
{
    std::vector<service_id> services;
    for (auto const& [service, path] : m_paths)
    {
        if (path.is_cut())
        {
            services.push_back(service);
        }
    }
    return services;
}

bool fleet_state::is_path_suspect(serving::upstream_record const& upstream,
                                  time_point now) const
{
    auto const path = m_paths.find(upstream.m_service);
    return path != m_paths.end() && path->second.is_suspect(upstream.m_id, now);
}

void fleet_state::note_crash(request::upstream_incarnation const& crash)
{
    std::vector<request::quarantine_update> news =
        m_quarantine.upstream_crashed(crash, boot_time());
    if (!news.empty())
    {
        m_metrics.count("daisylead_upstream_crashes_total");
        telemetry::log(severity::warning, "upstream_crashed",
                       {{"upstream", crash.m_upstream.value()},
                        {"started", crash.m_incarnation.value()},
                        {"requests", news.size()}});
    }
    note_suspects(std::move(news));
    request::crash_report report =
        m_part_quarantine.upstream_crashed(crash, boot_time());
    if (!report.m_parts.empty())
    {
        note_block_changes("answer");
        serving::news_outbox items;
        items.m_crashes.push_back(std::move(report));
        send_to_peers(items, {});
    }
}

void fleet_state::note_process_ended(serving::upstream_record const& upstream)
{
    if (m_processes.note_ended(upstream.m_id, upstream.m_started, boot_time()))
    {
        telemetry::log(severity::info, "upstream_process_ended",
                       {{"upstream", upstream.m_id.value()},
                        {"started", upstream.m_started},
                        {"software", upstream.m_software.value()}});
    }
}

std::set<upstream_id>
fleet_state::doubtful_upstreams(service_id const& service,
                                software_version const& software) const
{
    time_point const now = boot_time();
    std::set<upstream_id> doubtful;
    for (serving::upstream_record const& record : m_upstreams.records())
    {
        if (record.m_service != service || record.m_software != software)
        {
            continue;
        }
        serving::process_proof const proof =
            m_processes
                .check({record.m_id, record.m_started, record.m_software}, now)
                .m_proof;
        if (proof == serving::process_proof::ended ||
            proof == serving::process_proof::contradicted)
        {
            doubtful.insert(record.m_id);
        }
    }
    return doubtful;
}

void fleet_state::note_attempt_ended(attempt_id const& attempt,
                                     request::attempt_outcome outcome)
{
    serving::news_outbox items;
    items.m_answered_parts =
        m_part_quarantine.attempt_ended(attempt, outcome, boot_time());
    if (!items.m_answered_parts.empty())
    {
        note_block_changes("answer");
        send_to_peers(items, {});
    }
}

void fleet_state::apply_crash_evidence(serving::fleet_news const& news)
{
    instance_id const& from = news.m_member.m_id;
    time_point const now = boot_time();
    for (request::crash_report const& report : news.m_crashes)
    {
        m_part_quarantine.on_peer_crash(report, now);
        m_processes.note_ended(report.m_crash.m_upstream,
                               report.m_crash.m_incarnation.value(), now);
    }
    m_part_quarantine.on_peer_answers(news.m_answered_parts);
    serving::news_outbox refuted;
    refuted.m_answered_parts =
        m_part_quarantine.on_blocked_parts(news.m_blocked_parts, now);
    m_knows_blocked_parts =
        m_knows_blocked_parts ||
        (news.m_knows_blocked_parts &&
         news.m_blocked_digest == m_part_quarantine.blocked_digest());
    if (news.m_crashes.empty() && news.m_answered_parts.empty() &&
        news.m_blocked_parts.empty())
    {
        return;
    }
    note_block_changes("peer " + from.value());
    if (!refuted.m_answered_parts.empty())
    {
        send_to_peers(refuted, {});
    }
    serving::news_outbox items;
    items.m_crashes = news.m_crashes;
    items.m_answered_parts = news.m_answered_parts;
    if (!items.m_crashes.empty() || !items.m_answered_parts.empty())
    {
        send_to_peers(items, from);
    }
}

void fleet_state::apply_stored_blocks(
    std::vector<request::blocked_part> const& parts)
{
    m_part_quarantine.on_blocked_parts(parts, boot_time());
    m_knows_blocked_parts = true;
    note_block_changes("store");
}

void fleet_state::expire_blocked_parts()
{
    m_part_quarantine.take_expired(boot_time());
    note_block_changes("expiry");
}

void fleet_state::send_to_peers(serving::news_outbox const& items,
                                instance_id const& from)
{
    m_roster.enqueue(items, from, boot_time());
    if (m_on_urgent_news)
    {
        m_on_urgent_news();
    }
}

void fleet_state::note_block_changes(std::string const& source)
{
    std::set<request::part_digest> blocked;
    for (request::blocked_part const& part : m_part_quarantine.blocked_parts())
    {
        blocked.insert(part.m_part);
        if (!m_noted_blocks.contains(part.m_part))
        {
            m_unblocked_parts.erase(part.m_part);
            telemetry::log(severity::warning, "part_blocked",
                           {{"part", static_cast<std::uint64_t>(part.m_part)},
                            {"crashes", part.m_crashes.size()},
                            {"source", source}});
        }
    }
    for (request::part_digest const part : m_noted_blocks)
    {
        if (!blocked.contains(part))
        {
            m_unblocked_parts.insert(part);
            telemetry::log(severity::info, "part_unblocked",
                           {{"part", static_cast<std::uint64_t>(part)},
                            {"source", source}});
        }
    }
    m_noted_blocks = std::move(blocked);
}

void fleet_state::note_suspects(std::vector<request::quarantine_update> news)
{
    for (request::quarantine_update const& item : news)
    {
        telemetry::log(severity::warning,
                       item.m_cleared ? "suspect_cleared" : "suspect",
                       {{"organisation", item.m_suspect.m_organisation.value()},
                        {"request_digest", item.m_suspect.m_digest},
                        {"upstream", item.m_crash.m_upstream.value()}});
    }
    if (!news.empty())
    {
        serving::news_outbox items;
        items.m_suspects = std::move(news);
        m_roster.enqueue(items, {}, boot_time());
        if (m_on_urgent_news)
        {
            m_on_urgent_news();
        }
    }
}

std::vector<serving::named_weights>
fleet_state::named_weights(time_point now) const
{
    std::vector<serving::named_weights> named;
    if (!m_catalog ||
        (m_naming_times_assumed &&
         now - m_started < m_settings.m_weights_max_age + naming_times_margin))
    {
        return named;
    }
    for (serving::weights_target const& target : m_catalog->content().m_weights)
    {
        for (auto const& [version, named_at] :
             m_upstream_pool.named(target.m_model))
        {
            named.push_back(
                {target.m_model, version,
                 std::chrono::ceil<std::chrono::milliseconds>(now - named_at)
                     .count()});
        }
    }
    return named;
}

void fleet_state::apply_named_weights(
    std::vector<serving::named_weights> const& named, time_point sent_at)
{
    if (!m_naming_times_assumed || named.empty() || !m_catalog)
    {
        return;
    }
    m_naming_times_assumed = false;
    for (serving::named_weights const& item : named)
    {
        m_upstream_pool.correct_named_time(
            item.m_model, item.m_version,
            sent_at - std::chrono::milliseconds(item.m_age_ms));
        telemetry::log(severity::info, "weights_naming_time",
                       {{"model", item.m_model.value()},
                        {"version", item.m_version},
                        {"age_ms", item.m_age_ms}});
    }
}

std::optional<serving::software_news>
fleet_state::software_news(time_point now) const
{
    auto const report = m_software.report();
    if (!report)
    {
        return std::nullopt;
    }
    // Rounded to the times that prove less.
    auto const at_most = [now](time_point time)
    {
        return std::chrono::floor<std::chrono::milliseconds>(now - time)
            .count();
    };
    serving::software_news news{
        at_most(report->m_since),
        std::chrono::ceil<std::chrono::milliseconds>(now - report->m_until)
            .count(),
        {}};
    for (serving::software_use const& use : report->m_uses)
    {
        news.m_uses.push_back(
            {use.m_service, use.m_software, at_most(use.m_last_used)});
    }
    return news;
}

void fleet_state::apply_software_news(serving::software_news const& news,
                                      time_point sent_at)
{
    if (news.m_since_age_ms < 0)
    {
        return;
    }
    time_point const now = boot_time();
    serving::software_report report{
        now - std::chrono::milliseconds(news.m_since_age_ms),
        sent_at - std::chrono::milliseconds(news.m_until_age_ms),
        {}};
    for (serving::software_use_news const& use : news.m_uses)
    {
        report.m_uses.push_back(
            {use.m_service, use.m_software,
             now - std::chrono::milliseconds(use.m_last_used_age_ms)});
    }
    m_software.merge(report);
}

void fleet_state::apply_store_era(serving::fleet_news const& news)
{
    if (news.m_store_era == m_store_era && news.m_store_era_age_ms)
    {
        // The age counts from the sending of the news: this is later than the
        // truth.
        m_store_era_since = std::min(
            m_store_era_since,
            boot_time() - std::chrono::milliseconds(*news.m_store_era_age_ms));
    }
}

void fleet_state::note_kv_store(std::string const& address, std::int64_t epoch,
                                time_point answered_at)
{
    if (m_kv_stores.note_answer(address, epoch, answered_at))
    {
        telemetry::log(severity::info, "kv_store_reached",
                       {{"store", address}, {"epoch", epoch}});
    }
}

void fleet_state::note_kv_store_silent(std::string const& address)
{
    if (m_kv_stores.note_silent(address))
    {
        telemetry::log(severity::warning, "kv_store_lost",
                       {{"store", address}});
    }
}

void fleet_state::add_kv_stores(serving::fleet_news& news, time_point now) const
{
    news.m_kv_stores = m_kv_stores.report(now);
    if (m_kv_stores.stores().empty())
    {
        return;
    }
    std::string const& last = m_kv_stores.stores().back();
    for (serving::kv_store_report const& item : news.m_kv_stores)
    {
        if (item.m_address == last)
        {
            news.m_kv_store_epoch = item.m_epoch;
            news.m_kv_store_age_ms = item.m_age_ms;
        }
    }
}

void fleet_state::apply_kv_stores(serving::fleet_news const& news,
                                  time_point sent_at)
{
    auto const& stores = m_kv_stores.stores();
    for (serving::kv_store_report const& item : news.m_kv_stores)
    {
        if (std::find(stores.begin(), stores.end(), item.m_address) !=
            stores.end())
        {
            note_kv_store(item.m_address, item.m_epoch,
                          sent_at - std::chrono::milliseconds(item.m_age_ms));
        }
    }
    if (news.m_kv_stores.empty() && news.m_kv_store_age_ms && !stores.empty())
    {
        note_kv_store(stores.back(), news.m_kv_store_epoch,
                      sent_at -
                          std::chrono::milliseconds(*news.m_kv_store_age_ms));
    }
}

bool fleet_state::claim_prefix_save(std::uint64_t prefix)
{
    time_point const now = boot_time();
    time_point& saved = m_saved.get_or_insert(prefix, time_point::min());
    if (saved != time_point::min() && now - saved < save_refresh_interval)
    {
        return false;
    }
    saved = now;
    serving::news_outbox items;
    items.m_saved.push_back(prefix);
    m_roster.enqueue(items, {}, now);
    return true;
}

void fleet_state::note_saved(std::uint64_t prefix)
{
    m_saved.get_or_insert(prefix, boot_time()) = boot_time();
}

void fleet_state::update_gauges(time_point now) const
{
    m_metrics.set("daisylead_configuration_version",
                  static_cast<double>(
                      m_catalog ? m_catalog->content().m_version.value() : 0));
    m_metrics.set("daisylead_configuration_bytes",
                  static_cast<double>(m_rules.m_bytes.size()));
    if (auto const age = m_rules_freshness.age(now))
    {
        m_metrics.set("daisylead_configuration_age_seconds",
                      std::chrono::duration<double>(*age).count());
    }
}

nlohmann::json fleet_state::dump(time_point now) const
{
    nlohmann::json peers = nlohmann::json::array();
    for (auto const& [id, peer] : m_roster.peers())
    {
        peers.push_back(
            {{"id", id.value()},
             {"address", peer.m_member.m_address},
             {"relay", peer.m_is_relay},
             {"heard_ms_ago", peer.m_last_contact
                                  ? milliseconds_of(now - *peer.m_last_contact)
                                  : -1.0}});
    }
    nlohmann::json upstreams = nlohmann::json::array();
    if (m_catalog)
    {
        for (serving::service const& service : m_catalog->content().m_services)
        {
            for (auto const& record : m_upstream_pool.usable(service.m_id))
            {
                upstreams.push_back(
                    {{"id", record.m_id.value()},
                     {"service", service.m_id.value()},
                     {"in_flight", m_upstream_pool.in_flight(record.m_id)},
                     {"rate_limit",
                      m_upstream_pool.rates().limit(record.m_id).value_or(-1)},
                     {"switching",
                      m_upstream_pool.is_switching(record.m_id, now)}});
            }
        }
    }
    nlohmann::json cut = nlohmann::json::array();
    for (service_id const& service : cut_services())
    {
        cut.push_back(service.value());
    }
    auto const age = m_rules_freshness.age(now);
    return {{"instance", m_settings.m_instance.value()},
            {"configuration",
             m_catalog ? m_catalog->content().m_version.value() : 0},
            {"configuration_age_ms", age ? milliseconds_of(*age) : -1.0},
            {"ready", is_ready(now)},
            {"draining", m_draining},
            {"active_requests", *m_active_requests},
            {"cut_from", std::move(cut)},
            {"blocked_parts", m_part_quarantine.blocked_parts().size()},
            {"suspect_parts", m_part_quarantine.suspects()},
            {"relay", m_roster.is_relay(now)},
            {"reports_to", m_roster.relay().value()},
            {"fleet_size", m_roster.fleet_size(now)},
            {"peers", std::move(peers)},
            {"upstreams", std::move(upstreams)}};
}

} // namespace daisylead::entry
