/** @file State of the upstreams, and load balancing among them. */
#include <daisylead/serving/sampled_choice_func.hpp>
#include <daisylead/serving/upstream_pool_base.hpp>

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace daisylead::serving
{

namespace
{

/** Max. published versions remembered per model; more than are published within
 *  the time for which old weights may be used. */
constexpr std::size_t max_named_versions = 16;

/** Largest overload of an engine's memory that is weighed; beyond it all
 *  engines are equally bad. */
constexpr double max_overload = 1000;

/** Smallest request rate, per second, from which a wait is derived. */
constexpr double min_waited_rate = 0.1;

std::uint64_t rendezvous_weight(upstream_id const& id, std::uint64_t prefix)
{
    return XXH64(id.value().data(), id.value().size(), prefix);
}

} // namespace

upstream_pool::upstream_pool(upstream_pool_options options,
                             std::function<std::uint64_t()> random,
                             rate_share_hook share)
    : m_options(options), m_random(std::move(random)), m_rates(std::move(share))
{
}

std::pair<std::vector<upstream_id>, std::vector<upstream_id>>
upstream_pool::take_list(std::vector<upstream_record> const& list,
                         time_point read_at)
{
    if (m_read_at && read_at - *m_read_at > m_options.m_outage_after)
    {
        m_grace_until = read_at + m_options.m_lapse_grace;
    }
    m_read_at = m_read_at ? std::max(*m_read_at, read_at) : read_at;
    bool const keeps_missing = m_grace_until && read_at < *m_grace_until;

    std::vector<upstream_id> added;
    std::vector<upstream_id> removed;
    std::set<upstream_id> listed;
    bool const in_restore_grace =
        m_restore_grace_until && read_at < *m_restore_grace_until;
    for (upstream_record const& record : list)
    {
        auto const left = m_removed.find(record.m_id);
        if (in_restore_grace && left != m_removed.end() &&
            left->second.first == record.m_started)
        {
            continue;
        }
        listed.insert(record.m_id);
        auto const [found, is_new] = m_entries.try_emplace(record.m_id);
        entry& item = found->second;
        if (is_new || item.m_record.m_started != record.m_started ||
            item.m_record.m_address != record.m_address)
        {
            // A restart under the same id discards all state except the
            // requests of this instance that have not ended.
            std::int64_t const waiting = item.m_waiting;
            std::int64_t const running = item.m_running;
            std::int64_t const tokens = item.m_tokens;
            item = entry{};
            item.m_tokens = tokens;
            item.m_waiting = waiting;
            item.m_running = running;
            item.m_busy_since = read_at;
            item.m_run_seen_at = read_at;
            item.m_record = record;
            m_rates.erase(record.m_id);
            added.push_back(record.m_id);
            continue;
        }
        std::map<model_id, std::int64_t> weights = item.m_record.m_weights;
        // A run that leaves never takes new work again, though an older copy
        // of the list may say so.
        item.m_announced_leaving =
            item.m_announced_leaving ||
            (item.m_record.m_leaving && !record.m_leaving);
        item.m_record = record;
        item.m_record.m_leaving = record.m_leaving || item.m_announced_leaving;
        item.m_missing = false;
        // The list lags behind the holder of the order lease and responses.
        for (auto const& [model, version] : weights)
        {
            std::int64_t& listed_version = item.m_record.m_weights[model];
            listed_version = std::max(listed_version, version);
        }
    }
    for (auto it = m_entries.begin(); it != m_entries.end();)
    {
        if (listed.contains(it->first))
        {
            ++it;
        }
        else if (keeps_missing && !it->second.m_record.m_leaving)
        {
            it->second.m_missing = true;
            ++it;
        }
        else
        {
            removed.push_back(it->first);
            m_removed[it->first] = {it->second.m_record.m_started, read_at};
            m_rates.erase(it->first);
            it = m_entries.erase(it);
        }
    }
    std::erase_if(
        m_removed, [&](auto const& left)
        { return read_at - left.second.second > m_options.m_removed_ttl; });
    m_by_service.clear();
    for (auto& [id, item] : m_entries)
    {
        m_by_service[item.m_record.m_service].push_back(id);
        item.m_peer_requests = 0;
        item.m_peer_tokens = 0;
        item.m_group_requests = 0;
        item.m_group_tokens = 0;
        item.m_peer_silences.clear();
    }
    for (auto const& [peer, load] : m_peers)
    {
        add_peer_load(peer, load, 1);
    }
    return {std::move(added), std::move(removed)};
}

void upstream_pool::note_store_restored(time_point now)
{
    m_grace_until = now + m_options.m_lapse_grace;
    m_restore_grace_until = now + m_options.m_restore_grace;
}

void upstream_pool::note_list_unchanged(
    std::vector<upstream_record> const& list, time_point read_at)
{
    bool const after_outage =
        m_read_at && read_at - *m_read_at > m_options.m_outage_after;
    bool const in_grace =
        m_grace_until.has_value() || m_restore_grace_until.has_value();
    if (after_outage || in_grace)
    {
        take_list(list, read_at);
        for (auto* const until : {&m_grace_until, &m_restore_grace_until})
        {
            if (*until && read_at >= **until)
            {
                until->reset();
            }
        }
        return;
    }
    m_read_at = m_read_at ? std::max(*m_read_at, read_at) : read_at;
}

bool upstream_pool::note_leaving(upstream_id const& id, std::int64_t started)
{
    auto const found = m_entries.find(id);
    if (found == m_entries.end() ||
        found->second.m_record.m_started != started ||
        found->second.m_announced_leaving)
    {
        return false;
    }
    found->second.m_announced_leaving = true;
    found->second.m_record.m_leaving = true;
    return true;
}

std::vector<leaving_upstream> upstream_pool::announced_leaving() const
{
    std::vector<leaving_upstream> list;
    for (auto const& [id, item] : m_entries)
    {
        if (item.m_announced_leaving)
        {
            list.push_back({id, item.m_record.m_started});
        }
    }
    return list;
}

void upstream_pool::note_rejected_until(upstream_id const& id, time_point until)
{
    auto const found = m_entries.find(id);
    if (found != m_entries.end())
    {
        found->second.m_rejected_until =
            std::max(found->second.m_rejected_until, until);
    }
}

bool upstream_pool::note_rate(rate_statement const& statement,
                              std::int64_t started)
{
    auto const found = m_entries.find(statement.m_upstream);
    return found != m_entries.end() &&
           found->second.m_record.m_started == started &&
           m_rates.note(statement);
}

bool upstream_pool::set_newest(model_id const& model, std::int64_t version,
                               time_point named_at)
{
    named_versions& named = m_named[model];
    if (!named.empty() && version <= named.back().first)
    {
        return false;
    }
    named.emplace_back(version, named_at);
    if (named.size() > max_named_versions)
    {
        named.erase(named.begin());
    }
    return true;
}

void upstream_pool::correct_named_time(model_id const& model,
                                       std::int64_t version,
                                       time_point named_at)
{
    named_versions& named = m_named[model];
    auto const place =
        std::lower_bound(named.begin(), named.end(), version,
                         [](auto const& entry, std::int64_t value)
                         { return entry.first < value; });
    if (place != named.end() && place->first == version)
    {
        place->second = named_at;
    }
    else
    {
        named.insert(place, {version, named_at});
    }
}

std::vector<std::pair<std::int64_t, time_point>>
upstream_pool::named(model_id const& model) const
{
    auto const found = m_named.find(model);
    return found == m_named.end() ? named_versions{} : found->second;
}

std::optional<duration> upstream_pool::outdated_for(entry const& item,
                                                    model_id const& model,
                                                    time_point now) const
{
    auto const named = m_named.find(model);
    auto const loaded = item.m_record.m_weights.find(model);
    if (named == m_named.end() || loaded == item.m_record.m_weights.end())
    {
        return std::nullopt;
    }
    for (auto const& [version, named_at] : named->second)
    {
        if (version > loaded->second)
        {
            return std::max(duration::zero(), now - named_at);
        }
    }
    return std::nullopt;
}

/** @return fraction of the engine's memory that its requests need with @p added
 *          more tokens; above 1, further requests wait. */
double upstream_pool::memory_use(entry const& item, token_count capacity,
                                 token_count added)
{
    if (capacity.value() <= 0)
    {
        return 0;
    }
    return static_cast<double>(item.m_tokens + item.m_peer_tokens +
                               added.value()) /
           static_cast<double>(capacity.value());
}

double upstream_pool::occupancy(entry const& item,
                                placement_request const& request) const
{
    double const slots =
        static_cast<double>(std::max<std::int64_t>(1, item.m_record.m_slots));
    double const requests = static_cast<double>(item.requests() + 1);
    return std::max(requests / slots,
                    memory_use(item, request.m_capacity, request.m_tokens) /
                        m_options.m_usable_memory_fraction);
}

/** @return age of weights that leaves the margin, but at least half of the
 *          maximum. */
duration upstream_pool::latest(duration margin) const
{
    return std::max(m_options.m_max_weights_age - margin,
                    m_options.m_max_weights_age / 2);
}

duration upstream_pool::old_weights_limit(double occupancy,
                                          bool repeatable) const
{
    duration const idle = latest(m_options.m_send_margin);
    duration const full = latest(m_options.m_send_margin_full);
    double const share =
        repeatable ? std::clamp(occupancy * 2 - 1, 0.0, 1.0) : 1;
    return idle - std::chrono::duration_cast<duration>(
                      share * std::chrono::duration<double>(idle - full));
}

bool upstream_pool::may_send(upstream_id const& id, model_id const& model,
                             time_point now) const
{
    auto const outdated_for = this->outdated_for(id, model, now);
    return !outdated_for || *outdated_for <= latest(m_options.m_send_margin);
}

bool upstream_pool::must_recall(upstream_id const& id, model_id const& model,
                                time_point now) const
{
    auto const outdated_for = this->outdated_for(id, model, now);
    return outdated_for && *outdated_for > latest(m_options.m_recall_margin);
}

duration upstream_pool::cost(entry const& item,
                             placement_request const& request, std::size_t rank,
                             time_point now) const
{
    duration total =
        m_options.m_waiting_cost * item.m_waiting +
        m_options.m_running_cost * (item.m_running + item.m_peer_requests);
    // Requests beyond the slots wait for others to end.
    total +=
        m_options.m_waiting_cost *
        std::max<std::int64_t>(0, item.requests() + 1 - item.m_record.m_slots);
    total += std::chrono::duration_cast<duration>(
        std::clamp(memory_use(item, request.m_capacity, request.m_tokens) -
                       m_options.m_usable_memory_fraction,
                   0.0, max_overload) *
        std::chrono::duration<double>(m_options.m_memory_cost));
    return total + fixed_cost(item, request, rank, now);
}

duration upstream_pool::fixed_cost(entry const& item,
                                   placement_request const& request,
                                   std::size_t rank, time_point now) const
{
    duration total{};
    if (item.m_record.m_zone != request.m_zone)
    {
        total += m_options.m_zone_cost;
    }
    if (request.m_prefix != 0 && rank > 0 &&
        !item.m_prefix_index.contains(request.m_prefix))
    {
        total += m_options.m_token_cost * request.m_prefix_tokens.value();
    }
    auto const outdated_for = this->outdated_for(item, request.m_model, now);
    if (outdated_for && *outdated_for > m_options.m_prefer_newest_after)
    {
        total += m_options.m_old_weights_cost;
    }
    return total;
}

/** Records that a request rate limit alone rules out an upstream. */
void upstream_pool::note_rate_obstacle(placement& result, upstream_id const& id,
                                       time_point next_send,
                                       time_point now) const
{
    result.m_next_send =
        std::min(result.m_next_send.value_or(next_send), next_send);
    duration const wait =
        next_send != time_point::max()
            ? next_send - now
            : std::chrono::duration_cast<duration>(
                  std::chrono::duration<double>(
                      1 / std::max(*m_rates.limit(id), min_waited_rate)));
    result.m_rate_wait = result.m_rate_wait == duration::zero()
                             ? wait
                             : std::min(result.m_rate_wait, wait);
}

placement upstream_pool::place(placement_request const& request, time_point now)
{
    placement best;
    best.m_reason = no_placement::no_upstream;
    auto const ids = m_by_service.find(request.m_service);
    if (ids == m_by_service.end())
    {
        return best;
    }
    std::vector<candidate> candidates;
    bool has_other_obstacle = false;
    bool has_sound = false;
    for (upstream_id const& id : ids->second)
    {
        entry& item = m_entries.at(id);
        bool const fits = !request.m_software ||
                          item.m_record.m_software == *request.m_software;
        if (item.m_record.m_leaving || request.m_excluded.contains(id) || !fits)
        {
            continue;
        }
        if (!request.m_model.empty())
        {
            if (!item.m_record.m_weights.contains(request.m_model))
            {
                continue;
            }
            auto const outdated_for =
                this->outdated_for(item, request.m_model, now);
            if (outdated_for &&
                *outdated_for > old_weights_limit(occupancy(item, request),
                                                  request.m_repeatable))
            {
                continue;
            }
        }
        if (best.m_reason == no_placement::no_upstream)
        {
            best.m_reason = no_placement::all_busy;
        }
        bool const silent = is_silent(item, now);
        has_sound = has_sound || (item.m_failures == 0 && !silent);
        if (item.m_switching_until > now || item.m_paused_until > now ||
            item.m_rejected_until > now || !has_room(item, request))
        {
            has_other_obstacle = true;
            continue;
        }
        time_point const next_send = m_rates.next_send(id, now);
        if (next_send > now)
        {
            note_rate_obstacle(best, id, next_send, now);
            continue;
        }
        // Without a prefix, a random order keeps instances with equal estimates
        // from choosing the same upstream.
        candidates.push_back({request.m_prefix != 0
                                  ? rendezvous_weight(id, request.m_prefix)
                                  : m_random(),
                              0, &item, silent});
    }
    std::size_t const reachable = candidates.size();
    // A plain service may work on a request for longer than an engine is
    // silent.
    if (!request.m_model.empty())
    {
        drop_silent(candidates, request, has_sound, now);
    }
    has_other_obstacle = has_other_obstacle || candidates.size() < reachable;
    best.m_candidates = candidates.size();
    if (has_other_obstacle || !candidates.empty())
    {
        best.m_next_send.reset();
    }
    if (candidates.empty())
    {
        return best;
    }
    std::sort(candidates.begin(), candidates.end(),
              [](candidate const& a, candidate const& b)
              { return a.m_weight > b.m_weight; });
    number_candidates(candidates);
    std::size_t index = 0;
    if (m_sampled)
    {
        if (!take_room(candidates, request, now))
        {
            return best;
        }
        // For a large prefix, an engine that keeps it matters more than the
        // zone.
        if (m_options.m_token_cost * request.m_prefix_tokens.value() <
            m_options.m_zone_cost)
        {
            best.m_leaving_share = keep_zone(candidates, request, now);
        }
        double const usual_use = mean_use(candidates, request);
        keep_sample(candidates, request, now);
        index = choose_sampled(candidates, request, usual_use, now);
    }
    else
    {
        index = choose_cheapest(candidates, request, now);
    }
    entry* const chosen = candidates[index].m_entry;
    best.m_reason = no_placement::none;
    best.m_upstream = chosen->m_record;
    auto const loaded = chosen->m_record.m_weights.find(request.m_model);
    best.m_weights =
        loaded == chosen->m_record.m_weights.end() ? 0 : loaded->second;
    best.m_likely_cached = request.m_prefix != 0 &&
                           chosen->m_prefix_index.contains(request.m_prefix);
    best.m_cost = cost(*chosen, request, candidates[index].m_rank, now);
    best.m_in_flight = chosen->requests();
    best.m_rate_limit = m_rates.limit(chosen->m_record.m_id);
    m_rates.note_sent(chosen->m_record.m_id, now);
    if (candidates[index].m_silent)
    {
        m_trials[request.m_service] = {chosen->m_record.m_id, now};
    }
    return best;
}

duration upstream_pool::silence_limit() const
{
    return m_options.m_silent_after + m_news_age;
}

/** @param counts which reports count; the own one has an empty instance id
 *  @return the smallest silence known. One beyond the limit is returned only if
 *          some instance has requests in progress that got no bytes: old news
 *          of bytes do not show that the upstream is silent. */
std::optional<duration> upstream_pool::silence(
    entry const& item, time_point now,
    std::function<bool(instance_id const&, peer_silence const&)> const& counts)
    const
{
    duration smallest = duration::max();
    bool is_reported_silent = false;
    auto const add = [&](instance_id const& from, peer_silence const& report)
    {
        if (counts(from, report))
        {
            smallest =
                std::min(smallest, std::max(duration{}, now - report.m_since));
            is_reported_silent = is_reported_silent || report.m_silent;
        }
    };
    for (auto const& [peer, report] : item.m_peer_silences)
    {
        add(peer, report);
    }
    if (item.m_last_bytes_at)
    {
        add(instance_id(), {*item.m_last_bytes_at, false, true});
    }
    // A request that was sent recently shows nothing yet. If its short wait
    // were reported, each trial would bring the upstream back.
    time_point const since = std::max(
        item.m_busy_since, item.m_last_bytes_at.value_or(item.m_busy_since));
    if (item.m_waiting + item.m_running > 0 && now - since > silence_limit() &&
        !m_cut_services.contains(item.m_record.m_service))
    {
        add(instance_id(), {since, true, true});
    }
    return smallest <= silence_limit() || is_reported_silent
               ? std::optional(smallest)
               : std::nullopt;
}

/** As silence() of all reports, but cheap for an upstream with recent bytes, as
 *  it is called for each upstream of each placement. */
bool upstream_pool::is_silent(entry const& item, time_point now) const
{
    time_point const limit = now - silence_limit();
    if (item.m_last_bytes_at && *item.m_last_bytes_at >= limit)
    {
        return false;
    }
    bool is_reported_silent = item.m_waiting + item.m_running > 0 &&
                              item.m_busy_since < limit &&
                              !m_cut_services.contains(item.m_record.m_service);
    for (auto const& [peer, report] : item.m_peer_silences)
    {
        if (report.m_since >= limit)
        {
            return false;
        }
        is_reported_silent = is_reported_silent || report.m_silent;
    }
    return is_reported_silent;
}

bool upstream_pool::is_silent(upstream_id const& id, time_point now) const
{
    auto const found = m_entries.find(id);
    return found != m_entries.end() && is_silent(found->second, now);
}

/** @return whether a trial request to a silent upstream may be sent. */
bool upstream_pool::may_try_silent(service_id const& service,
                                   time_point now) const
{
    auto const last = m_trials.find(service);
    if (last == m_trials.end())
    {
        return true;
    }
    if (now - last->second.m_sent_at < m_options.m_trial_interval)
    {
        return false;
    }
    auto const found = m_entries.find(last->second.m_upstream);
    return found == m_entries.end() ||
           found->second.m_waiting + found->second.m_running == 0 ||
           !is_silent(found->second, now);
}

/** Removes silent upstreams, except for one if a trial is due.
 *  @param has_sound whether the service has an upstream that is not silent;
 *         otherwise the cause is likely elsewhere */
void upstream_pool::drop_silent(std::vector<candidate>& candidates,
                                placement_request const& request,
                                bool has_sound, time_point now) const
{
    if (!has_sound)
    {
        return;
    }
    auto const silent = std::partition(candidates.begin(), candidates.end(),
                                       [](candidate const& option)
                                       { return !option.m_silent; });
    // A request that may not be repeated would be lost with a failed trial.
    bool const tries = silent != candidates.end() && request.m_repeatable &&
                       may_try_silent(request.m_service, now);
    if (tries)
    {
        // The weights differ by prefix or are random, so that trials go to all
        // silent upstreams in the course of time.
        std::iter_swap(silent,
                       std::max_element(silent, candidates.end(),
                                        [](auto const& a, auto const& b)
                                        { return a.m_weight < b.m_weight; }));
    }
    candidates.erase(silent + (tries ? 1 : 0), candidates.end());
}

bool upstream_pool::has_room(entry const& item,
                             placement_request const& request) const
{
    double const limit =
        m_options.m_max_per_slot *
        static_cast<double>(std::max<std::int64_t>(1, item.m_record.m_slots));
    if (static_cast<double>(item.requests()) >= limit)
    {
        return false;
    }
    // An idle engine takes any request: one that exceeds the limit by itself
    // could never run otherwise.
    return !request.m_max_memory_use || item.requests() == 0 ||
           memory_use(item, request.m_capacity, request.m_tokens) <=
               *request.m_max_memory_use;
}

void upstream_pool::number_candidates(std::vector<candidate>& candidates)
{
    for (std::size_t rank = 0; rank < candidates.size(); ++rank)
    {
        candidates[rank].m_rank = rank;
    }
}

zone_balance& upstream_pool::zone_balance_of(placement_request const& request,
                                             time_point now)
{
    balanced_zone& item =
        m_zones
            .try_emplace(request.m_service,
                         balanced_zone{zone_balance({}, request.m_zone), {}})
            .first->second;
    if (item.m_updated_at &&
        now - *item.m_updated_at < m_options.m_zone_interval)
    {
        return item.m_balance;
    }
    item.m_updated_at = now;
    std::map<zone_id, zone_load> zones;
    for (upstream_id const& id : m_by_service.at(request.m_service))
    {
        entry const& upstream = m_entries.at(id);
        if (upstream.m_record.m_leaving || upstream.m_paused_until > now ||
            upstream.m_switching_until > now)
        {
            continue;
        }
        auto const slots = static_cast<double>(
            std::max<std::int64_t>(1, upstream.m_record.m_slots));
        double const use =
            std::max(static_cast<double>(upstream.requests()) / slots,
                     memory_use(upstream, request.m_capacity, token_count()) /
                         m_options.m_usable_memory_fraction);
        zone_load& load = zones[upstream.m_record.m_zone];
        load.m_zone = upstream.m_record.m_zone;
        load.m_use += use * slots;
        load.m_slots += slots;
    }
    std::vector<zone_load> loads;
    for (auto& [zone, load] : zones)
    {
        load.m_use = load.m_slots > 0 ? load.m_use / load.m_slots : 0;
        loads.push_back(load);
    }
    item.m_balance.update(loads, now);
    return item.m_balance;
}

/** Keeps the upstreams of the zone that the request goes to.
 *  @return share of such requests that leaves the zone */
double upstream_pool::keep_zone(std::vector<candidate>& candidates,
                                placement_request const& request,
                                time_point now)
{
    zone_balance const& balance = zone_balance_of(request, now);
    zone_id const zone = balance.choose(m_random, now);
    auto const is_elsewhere = [&zone](candidate const& option)
    {
        return option.m_entry->m_record.m_zone != zone;
    };
    if (std::all_of(candidates.begin(), candidates.end(), is_elsewhere))
    {
        return balance.leaving_share();
    }
    std::erase_if(candidates, is_elsewhere);
    number_candidates(candidates);
    return balance.leaving_share();
}

/** Keeps the first upstreams, those that this instance knows to have the
 *  prefix, and a few others at random.
 *  @pre the candidates are sorted by weight */
void upstream_pool::keep_sample(std::vector<candidate>& candidates,
                                placement_request const& request,
                                time_point now)
{
    std::size_t const homes = m_options.m_home_candidates;
    std::size_t const size = homes + m_options.m_random_candidates;
    if (candidates.size() <= size)
    {
        return;
    }
    auto const stays = [&](candidate const& option)
    {
        entry const& item = *option.m_entry;
        return option.m_rank < homes ||
               (request.m_prefix != 0 &&
                item.m_prefix_index.contains(request.m_prefix)) ||
               m_rates.wants_answer(item.m_record.m_id, now);
    };
    auto const others =
        std::partition(candidates.begin(), candidates.end(), stays);
    auto kept = others;
    for (std::size_t i = 0;
         i < m_options.m_random_candidates && kept != candidates.end(); ++i)
    {
        auto const left =
            static_cast<std::uint64_t>(std::distance(kept, candidates.end()));
        std::iter_swap(kept,
                       kept + static_cast<std::ptrdiff_t>(m_random() % left));
        ++kept;
    }
    candidates.erase(kept, candidates.end());
}

std::size_t
upstream_pool::choose_cheapest(std::vector<candidate> const& candidates,
                               placement_request const& request,
                               time_point now) const
{
    std::size_t chosen = 0;
    duration min_cost = duration::max();
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        candidate const& option = candidates[i];
        // Without a request, the end of a request rate limit remains unknown.
        duration const estimate =
            m_rates.wants_answer(option.m_entry->m_record.m_id, now)
                ? duration::zero()
                : cost(*option.m_entry, request, option.m_rank, now);
        if (estimate < min_cost)
        {
            min_cost = estimate;
            chosen = i;
        }
    }
    return chosen;
}

double upstream_pool::mean_use(std::vector<candidate> const& candidates,
                               placement_request const& request) const
{
    double sum = 0;
    for (candidate const& option : candidates)
    {
        sum += occupancy(*option.m_entry, request);
    }
    return sum / static_cast<double>(candidates.size());
}

std::size_t upstream_pool::choose_sampled(std::vector<candidate> const& sample,
                                          placement_request const& request,
                                          double usual_use, time_point now)
{
    std::vector<sampled_upstream> options;
    options.reserve(sample.size());
    for (candidate const& option : sample)
    {
        entry const& item = *option.m_entry;
        options.push_back({m_rates.wants_answer(item.m_record.m_id, now)
                               ? duration::zero()
                               : fixed_cost(item, request, option.m_rank, now),
                           occupancy(item, request)});
    }
    return choose_from_sample(options, usual_use, m_random);
}

/** @return whether the part of this instance in the free memory of the engines
 *          suffices for the request. */
bool upstream_pool::take_room(std::vector<candidate> const& candidates,
                              placement_request const& request, time_point now)
{
    if (!request.m_max_memory_use)
    {
        return true;
    }
    double const limit = *request.m_max_memory_use *
                         static_cast<double>(request.m_capacity.value());
    double free = 0;
    for (candidate const& option : candidates)
    {
        entry const& item = *option.m_entry;
        free += std::max(0.0, limit - static_cast<double>(item.m_tokens +
                                                          item.m_peer_tokens));
    }
    // Room that is not scarce needs no division.
    if (free >= limit * static_cast<double>(candidates.size()) *
                    m_options.m_scarce_room)
    {
        return true;
    }
    room_share& share = m_room_shares[request.m_service];
    share.set_fleet(m_instances, m_news_age);
    return share.take(*request.m_max_memory_use, request.m_tokens,
                      token_count(static_cast<std::int64_t>(free)), now);
}

void upstream_pool::set_sampled(std::int64_t instances, duration news_age)
{
    m_sampled = true;
    m_instances = instances;
    m_news_age = news_age;
}

void upstream_pool::set_capacity(service_id const& service,
                                 token_count capacity)
{
    m_capacities[service] = capacity;
}

token_count upstream_pool::capacity_of(service_id const& service) const
{
    auto const found = m_capacities.find(service);
    return found == m_capacities.end() ? token_count() : found->second;
}

void upstream_pool::touch_prefix(entry& item, std::uint64_t prefix) const
{
    auto const found = item.m_prefix_index.find(prefix);
    if (found != item.m_prefix_index.end())
    {
        item.m_prefixes.splice(item.m_prefixes.begin(), item.m_prefixes,
                               found->second);
        return;
    }
    if (item.m_prefixes.size() >= m_options.m_max_prefixes)
    {
        item.m_prefix_index.erase(item.m_prefixes.back());
        item.m_prefixes.pop_back();
    }
    item.m_prefixes.push_front(prefix);
    item.m_prefix_index[prefix] = item.m_prefixes.begin();
}

void upstream_pool::note_sent(upstream_id const& id, std::uint64_t prefix,
                              token_count tokens, time_point now)
{
    auto const found = m_entries.find(id);
    if (found == m_entries.end())
    {
        return;
    }
    if (found->second.m_waiting + found->second.m_running == 0)
    {
        found->second.m_busy_since = now;
    }
    ++found->second.m_waiting;
    found->second.m_tokens += tokens.value();
    if (prefix != 0)
    {
        touch_prefix(found->second, prefix);
    }
}

void upstream_pool::note_bytes(upstream_id const& id, time_point now)
{
    auto const found = m_entries.find(id);
    if (found != m_entries.end())
    {
        found->second.m_last_bytes_at = now;
    }
}

void upstream_pool::set_cut_services(std::vector<service_id> const& services)
{
    m_cut_services = {services.begin(), services.end()};
}

void upstream_pool::note_first_bytes(upstream_id const& id)
{
    auto const found = m_entries.find(id);
    if (found != m_entries.end())
    {
        --found->second.m_waiting;
        ++found->second.m_running;
    }
}

void upstream_pool::note_ended(upstream_id const& id, bool began,
                               token_count tokens)
{
    auto const found = m_entries.find(id);
    if (found != m_entries.end())
    {
        std::int64_t& count =
            began ? found->second.m_running : found->second.m_waiting;
        count = std::max<std::int64_t>(0, count - 1);
        found->second.m_tokens =
            std::max<std::int64_t>(0, found->second.m_tokens - tokens.value());
    }
}

void upstream_pool::note_unreachable(upstream_id const& id, time_point now)
{
    auto const found = m_entries.find(id);
    if (found == m_entries.end())
    {
        return;
    }
    entry& item = found->second;
    duration const pause =
        m_options.m_backoff * (1 << std::min(item.m_failures, 6));
    ++item.m_failures;
    item.m_paused_until = now + std::min(pause, m_options.m_max_backoff);
}

void upstream_pool::forget_failures(service_id const& service)
{
    for (auto& [id, item] : m_entries)
    {
        if (item.m_record.m_service == service && item.m_failures > 0)
        {
            item.m_failures = 0;
            item.m_paused_until = time_point();
        }
    }
}

bool upstream_pool::is_rejecting(upstream_id const& id, time_point now) const
{
    auto const found = m_entries.find(id);
    return found != m_entries.end() && found->second.m_rejected_until > now;
}

std::size_t upstream_pool::size(service_id const& service) const
{
    auto const found = m_by_service.find(service);
    return found == m_by_service.end() ? 0 : found->second.size();
}

void upstream_pool::note_reachable(upstream_id const& id)
{
    auto const found = m_entries.find(id);
    if (found != m_entries.end())
    {
        found->second.m_failures = 0;
    }
}

void upstream_pool::note_refused(upstream_id const& id, duration pause,
                                 time_point now)
{
    auto const found = m_entries.find(id);
    if (found != m_entries.end())
    {
        found->second.m_paused_until =
            std::max(found->second.m_paused_until, now + pause);
    }
}

void upstream_pool::note_weights(weights_news const& news, time_point now)
{
    auto const found = m_entries.find(news.m_upstream);
    if (found == m_entries.end() ||
        (news.m_started != 0 &&
         found->second.m_record.m_started != news.m_started))
    {
        return;
    }
    entry& item = found->second;
    std::int64_t& version = item.m_record.m_weights[news.m_model];
    if (news.m_version > version)
    {
        version = news.m_version;
        // An engine discards its cache when it loads weights.
        item.m_prefixes.clear();
        item.m_prefix_index.clear();
    }
    item.m_switching_until =
        news.m_switching ? now + m_options.m_switching_ttl : now;
}

void upstream_pool::add_peer_load(instance_id const& peer,
                                  peer_load const& load, int sign)
{
    for (upstream_load const& use : load.m_counts)
    {
        auto const found = m_entries.find(use.m_upstream);
        if (found == m_entries.end())
        {
            continue;
        }
        entry& item = found->second;
        auto const add = [sign](std::int64_t& sum, std::int64_t amount)
        {
            sum = std::max<std::int64_t>(0, sum + sign * amount);
        };
        add(item.m_peer_requests, use.m_requests);
        add(item.m_peer_tokens, use.m_tokens);
        if (sign < 0)
        {
            item.m_peer_silences.erase(peer);
        }
        else if (use.m_silence && load.m_received_at >= item.m_run_seen_at)
        {
            item.m_peer_silences[peer] = {load.m_received_at - *use.m_silence,
                                          *use.m_silence > silence_limit(),
                                          load.m_in_group};
        }
        if (load.m_in_group)
        {
            add(item.m_group_requests, use.m_requests);
            add(item.m_group_tokens, use.m_tokens);
        }
    }
}

void upstream_pool::note_peer(instance_id const& peer, in_flight_counts counts,
                              time_point received_at, bool in_group)
{
    drop_peer(peer);
    peer_load load{std::move(counts), in_group, received_at};
    add_peer_load(peer, load, 1);
    m_peers[peer] = std::move(load);
}

void upstream_pool::drop_peer(instance_id const& peer)
{
    auto const known = m_peers.find(peer);
    if (known != m_peers.end())
    {
        add_peer_load(peer, known->second, -1);
        m_peers.erase(known);
    }
}

in_flight_counts upstream_pool::own_in_flight(time_point now) const
{
    auto const is_own = [](instance_id const&, peer_silence const& report)
    {
        return report.m_in_group;
    };
    in_flight_counts counts;
    for (auto const& [id, item] : m_entries)
    {
        std::int64_t const requests =
            item.m_waiting + item.m_running + item.m_group_requests;
        std::optional<duration> const known = silence(item, now, is_own);
        bool const contradicts =
            known && *known <= silence_limit() &&
            std::any_of(
                item.m_peer_silences.begin(), item.m_peer_silences.end(),
                [](auto const& report) { return report.second.m_silent; });
        if (requests > 0 || contradicts)
        {
            counts.push_back(
                {id, requests, item.m_tokens + item.m_group_tokens, known});
        }
    }
    return counts;
}

in_flight_counts upstream_pool::in_flight_without(instance_id const& peer,
                                                  double min_share,
                                                  time_point now) const
{
    std::unordered_map<upstream_id, upstream_load const*> excluded;
    if (auto const known = m_peers.find(peer); known != m_peers.end())
    {
        for (upstream_load const& use : known->second.m_counts)
        {
            excluded.emplace(use.m_upstream, &use);
        }
    }
    auto const is_other = [&peer](instance_id const& from, peer_silence const&)
    {
        return from != peer;
    };
    in_flight_counts counts;
    for (auto const& [id, item] : m_entries)
    {
        std::optional<duration> const known = silence(item, now, is_other);
        auto const told = item.m_peer_silences.find(peer);
        bool const contradicts = known && *known <= silence_limit() &&
                                 told != item.m_peer_silences.end() &&
                                 told->second.m_silent;
        bool const is_told = contradicts || (known && *known > silence_limit());
        double const min_requests =
            min_share * static_cast<double>(item.m_record.m_slots);
        double const memory = memory_use(
            item, capacity_of(item.m_record.m_service), token_count());
        if (static_cast<double>(item.requests()) < min_requests &&
            memory < min_share && !is_told)
        {
            continue;
        }
        upstream_load use{id, item.requests(),
                          item.m_tokens + item.m_peer_tokens, known};
        if (auto const own = excluded.find(id); own != excluded.end())
        {
            use.m_requests -= own->second->m_requests;
            use.m_tokens -= own->second->m_tokens;
        }
        if (use.m_requests > 0 || contradicts)
        {
            counts.push_back(std::move(use));
        }
    }
    return counts;
}

std::vector<upstream_record>
upstream_pool::usable(service_id const& service) const
{
    std::vector<upstream_record> records;
    auto const ids = m_by_service.find(service);
    if (ids == m_by_service.end())
    {
        return records;
    }
    for (upstream_id const& id : ids->second)
    {
        entry const& item = m_entries.at(id);
        if (!item.m_record.m_leaving)
        {
            records.push_back(item.m_record);
        }
    }
    return records;
}

bool upstream_pool::has_older_weights(model_id const& model,
                                      std::int64_t version) const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [&](auto const& entry)
                       {
                           upstream_record const& record =
                               entry.second.m_record;
                           auto const loaded = record.m_weights.find(model);
                           return !record.m_leaving &&
                                  loaded != record.m_weights.end() &&
                                  loaded->second < version;
                       });
}

upstream_record const* upstream_pool::find(upstream_id const& id) const
{
    auto const found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.m_record;
}

double upstream_pool::load(service_id const& service) const
{
    auto const ids = m_by_service.find(service);
    if (ids == m_by_service.end())
    {
        return 0;
    }
    std::int64_t taken = 0;
    std::int64_t places = 0;
    for (upstream_id const& id : ids->second)
    {
        entry const& item = m_entries.at(id);
        taken += item.requests();
        places += item.m_record.m_slots;
    }
    return places == 0
               ? 0
               : static_cast<double>(taken) / static_cast<double>(places);
}

std::int64_t upstream_pool::in_flight(upstream_id const& id) const
{
    auto const found = m_entries.find(id);
    return found == m_entries.end() ? 0 : found->second.requests();
}

bool upstream_pool::is_reachable(upstream_id const& id, time_point now) const
{
    auto const found = m_entries.find(id);
    return found != m_entries.end() && (found->second.m_failures == 0 ||
                                        found->second.m_paused_until <= now);
}

bool upstream_pool::is_lost(upstream_id const& id) const
{
    auto const found = m_entries.find(id);
    return found == m_entries.end() || found->second.m_failures > 0;
}

double upstream_pool::utilisation(upstream_id const& id,
                                  token_count capacity) const
{
    auto const found = m_entries.find(id);
    if (found == m_entries.end())
    {
        return 0;
    }
    double const slots = static_cast<double>(
        std::max<std::int64_t>(1, found->second.m_record.m_slots));
    return std::max(static_cast<double>(in_flight(id)) / slots,
                    memory_use(id, capacity));
}

double upstream_pool::memory_use(upstream_id const& id,
                                 token_count capacity) const
{
    auto const found = m_entries.find(id);
    return found == m_entries.end()
               ? 0
               : memory_use(found->second, capacity, token_count());
}

std::optional<duration> upstream_pool::outdated_for(upstream_id const& id,
                                                    model_id const& model,
                                                    time_point now) const
{
    auto const found = m_entries.find(id);
    return found == m_entries.end() ? std::nullopt
                                    : outdated_for(found->second, model, now);
}

bool upstream_pool::is_switching(upstream_id const& id, time_point now) const
{
    auto const found = m_entries.find(id);
    return found != m_entries.end() && found->second.m_switching_until > now;
}

} // namespace daisylead::serving
