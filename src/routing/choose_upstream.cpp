/** @file Selection of a row of the upstream table. */
#include "choose_upstream.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <chrono>
#include <cmath>

namespace daisylead::routing
{

namespace
{

/** Maximum load of an upstream in bounded-load rendezvous hashing, as a
 * multiple of the average load. */
constexpr double load_bound_factor = 1.25;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

duration to_duration(double span)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(span));
}

/** Finalizer of SplitMix64: every input bit affects all output bits. */
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

std::uint64_t rendezvous_score(upstream_row const& row, std::uint64_t mixed_key)
{
    return mix(row.m_id_hash ^ mixed_key);
}

/** @return binary logarithm, linear between powers of two
 *  @pre value >= 1 */
double approximate_log2(double value)
{
    constexpr unsigned mantissa_bits = 52;
    constexpr double bias = 1023;
    constexpr double step = 1.0 / static_cast<double>(1ULL << mantissa_bits);
    // Signed, because converting an unsigned number to double needs a branch.
    return static_cast<double>(std::bit_cast<std::int64_t>(value)) * step -
           bias;
}

/** @return approximate binary logarithm of the row's expected rank by
 *          rendezvous hashing of the key; 0 for the first */
double log_rendezvous_rank(upstream_row const& row, std::uint64_t mixed_key,
                           std::size_t count)
{
    constexpr unsigned dropped_bits = 11;
    constexpr double range = 9007199254740992.0; // 2 to the power of 53
    auto const score = static_cast<std::int64_t>(
        rendezvous_score(row, mixed_key) >> dropped_bits);
    double const above = 1 - static_cast<double>(score) / range;
    return approximate_log2(1 + above * static_cast<double>(count));
}

/** @return hash of the leading blocks, equal for requests with a common prefix;
 *          0 if the prompt has no full block */
std::uint64_t prefix_key(choice_request const& request,
                         table_options const& options)
{
    if (request.m_blocks.empty())
    {
        return 0;
    }
    std::size_t const depth = std::clamp<std::size_t>(
        options.m_rendezvous_blocks, 1, request.m_blocks.size());
    return mix(request.m_blocks[depth - 1]);
}

bool contains(std::span<upstream_id const> ids, upstream_id const& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/** @return whether the load report permits the request: it must list the base
 *          model, and no other weights version of the model or the adapter. An
 *          adapter that is not listed can be loaded on demand. */
bool has_weights(upstream_row const& row, request_numbers const& names)
{
    bool has_model = row.m_loaded_models.empty();
    for (loaded_model const& item : row.m_loaded_models)
    {
        if (item.m_model == names.m_model)
        {
            if (item.m_version != names.m_version)
            {
                return false;
            }
            has_model = true;
        }
        else if (item.m_model == names.m_adapter &&
                 item.m_version != names.m_adapter_version)
        {
            return false;
        }
    }
    return has_model;
}

bool serves(upstream_row const& row, request_numbers const& names)
{
    auto const& models = row.m_configured_models;
    return row.m_kind == config::upstream_kind::engine &&
           (std::find(models.begin(), models.end(), names.m_model) !=
                models.end() ||
            (names.m_adapter != name_interner::unknown &&
             std::find(models.begin(), models.end(), names.m_adapter) !=
                 models.end())) &&
           has_weights(row, names);
}

bool is_failing(upstream_row const& row, time_point now)
{
    return row.m_consecutive_failures > 0 &&
           (now < row.m_penalty_until || row.m_probe_in_flight);
}

/** @return whether the request has to be held. If its best engine has a long
 *          queue, it is not sent to another one, which would have to compute
 *          the whole prefix. */
bool exceeds_max_wait(candidate const& item, table_options const& options)
{
    return options.m_max_wait != duration::max() &&
           item.m_wait > seconds(options.m_max_wait);
}

/** @return why the row is not eligible, or none */
ineligibility check_row(upstream_row const& row, choice_request const& request,
                        table_options const& options, time_point now)
{
    if (!row.m_in_use)
    {
        return ineligibility::not_serving;
    }
    if (row.is_leaving(now))
    {
        return ineligibility::leaving;
    }
    if (row.m_state == engine_state::loading)
    {
        return ineligibility::loading;
    }
    if (is_failing(row, now))
    {
        return ineligibility::failing;
    }
    if (row.m_in_flight >= options.m_max_in_flight)
    {
        return ineligibility::at_in_flight_max;
    }
    if (!request.m_exclude.empty() && contains(request.m_exclude, row.m_id))
    {
        return ineligibility::excluded;
    }
    return ineligibility::none;
}

} // namespace

/** The lists are cached, because few combinations of models are in use at a
 *  time and a search for each selection would be slow. */
serving_list const&
upstream_chooser::find_serving(std::vector<upstream_row> const& rows,
                               request_numbers const& names,
                               std::uint64_t generation)
{
    constexpr std::size_t max_lists = 64;
    if (generation != m_generation || m_serving.size() >= max_lists)
    {
        m_serving.clear();
        m_generation = generation;
    }
    auto const found =
        std::find_if(m_serving.begin(), m_serving.end(),
                     [&](serving_list const& item)
                     { return item.m_names.has_same_models(names); });
    if (found != m_serving.end())
    {
        return *found;
    }
    serving_list& list = m_serving.emplace_back();
    list.m_names = names;
    for (std::size_t number = 0; number < rows.size(); ++number)
    {
        if (!rows[number].m_in_use)
        {
            continue;
        }
        if (serves(rows[number], names))
        {
            list.m_numbers.push_back(static_cast<upstream_number>(number));
        }
        else
        {
            ++list.m_not_serving;
        }
    }
    return list;
}

void upstream_chooser::add_candidate(upstream_row const& row,
                                     upstream_number number,
                                     choice_request const& request,
                                     table_options const& options,
                                     choice_context const& context)
{
    ineligibility const reason =
        check_row(row, request, options, context.m_now);
    if (reason != ineligibility::none)
    {
        m_left_out[static_cast<std::size_t>(reason)] += row.m_in_use ? 1 : 0;
        return;
    }
    candidate item;
    item.m_number = number;
    std::int64_t const cached_blocks =
        number < request.m_cached.size() ? request.m_cached[number] : 0;
    std::int64_t const cached =
        std::min(cached_blocks * request.m_block_tokens.value(),
                 request.m_prompt_tokens.value());
    item.m_cached_tokens = static_cast<std::uint32_t>(cached);
    double const seconds_per_token = 1 / row.m_prefill_rate;
    item.m_wait =
        row.m_backlog.at(context.m_now, row.m_prefill_rate) * seconds_per_token;
    double const prefill =
        static_cast<double>(request.m_prompt_tokens.value() - cached) *
        seconds_per_token;
    double const zone_cost =
        row.m_zone != context.m_zone ? context.m_zone_cost : 0;
    item.m_estimate = item.m_wait + prefill + zone_cost;
    item.m_fixed_cost = options.m_recompute_weight * prefill + zone_cost;
    if (context.m_key != 0)
    {
        item.m_fixed_cost +=
            context.m_rank_cost *
            log_rendezvous_rank(row, context.m_key, context.m_row_count);
    }
    m_candidates.push_back(item);
}

/** Differences of the waits grow with the load. The weight of the wait
 * therefore decreases as the average wait grows; otherwise an overload would
 * copy prefixes to all engines, which makes it worse. */
void upstream_chooser::compute_costs(table_options const& options)
{
    double total = 0;
    for (candidate const& item : m_candidates)
    {
        total += item.m_wait;
    }
    double const average = total / static_cast<double>(m_candidates.size());
    double const weight =
        1 / (1 + average / seconds(options.m_half_weight_wait));
    for (candidate& item : m_candidates)
    {
        item.m_cost = item.m_wait * weight + item.m_fixed_cost;
    }
}

candidate const&
upstream_chooser::pick_least_load(std::vector<upstream_row> const& rows)
{
    return *std::min_element(
        m_candidates.begin(), m_candidates.end(),
        [&](candidate const& left, candidate const& right)
        {
            auto const left_load = rows[left.m_number].load();
            auto const right_load = rows[right.m_number].load();
            return left_load != right_load ? left_load < right_load
                                           : left.m_wait < right.m_wait;
        });
}

candidate const&
upstream_chooser::pick_rendezvous(std::vector<upstream_row> const& rows,
                                  std::uint64_t key)
{
    std::int64_t total = 1;
    for (candidate const& item : m_candidates)
    {
        total += rows[item.m_number].load();
    }
    double const bound =
        std::ceil(load_bound_factor * static_cast<double>(total) /
                  static_cast<double>(m_candidates.size()));
    candidate const* best = nullptr;
    std::uint64_t best_score = 0;
    for (candidate const& item : m_candidates)
    {
        upstream_row const& row = rows[item.m_number];
        std::uint64_t const score = rendezvous_score(row, key);
        if (static_cast<double>(row.load()) < bound &&
            (best == nullptr || score > best_score))
        {
            best = &item;
            best_score = score;
        }
    }
    return best != nullptr ? *best : pick_least_load(rows);
}

candidate const& upstream_chooser::pick_lowest_cost(
    std::vector<upstream_row> const& rows, table_options const& options,
    std::function<std::uint64_t()> const& random, char const*& reason)
{
    compute_costs(options);
    double best = m_candidates.front().m_cost;
    for (candidate const& item : m_candidates)
    {
        best = std::min(best, item.m_cost);
    }
    double const limit = best + seconds(options.m_near_equal);
    m_near_best.clear();
    for (std::size_t index = 0; index < m_candidates.size(); ++index)
    {
        if (m_candidates[index].m_cost <= limit)
        {
            m_near_best.push_back(static_cast<std::uint32_t>(index));
        }
    }
    if (m_near_best.size() == 1)
    {
        reason = "lowest estimated cost";
        return m_candidates[m_near_best.front()];
    }
    candidate const& first =
        m_candidates[m_near_best[random() % m_near_best.size()]];
    candidate const& second =
        m_candidates[m_near_best[random() % m_near_best.size()]];
    reason = "the less loaded of two random near-equal costs";
    return rows[first.m_number].load() <= rows[second.m_number].load() ? first
                                                                       : second;
}

void upstream_chooser::explain(std::vector<upstream_row> const& rows,
                               choice& result, time_point now,
                               std::size_t max_explained) const
{
    std::vector<candidate> sorted = m_candidates;
    std::size_t const count = std::min(max_explained, sorted.size());
    std::partial_sort(sorted.begin(),
                      sorted.begin() + static_cast<std::ptrdiff_t>(count),
                      sorted.end(),
                      [](candidate const& left, candidate const& right)
                      { return left.m_estimate < right.m_estimate; });
    for (std::size_t index = 0; index < count; ++index)
    {
        candidate const& item = sorted[index];
        upstream_row const& row = rows[item.m_number];
        candidate_view view;
        view.m_id = row.m_id;
        view.m_estimate = to_duration(item.m_estimate);
        view.m_wait = to_duration(item.m_wait);
        view.m_report_age =
            row.m_has_report ? now - row.m_reported_at : duration();
        view.m_waiting_tokens = token_count(
            static_cast<std::int64_t>(item.m_wait * row.m_prefill_rate));
        view.m_cached_tokens = token_count(item.m_cached_tokens);
        view.m_own_in_flight = row.m_in_flight;
        view.m_own_since_report =
            static_cast<std::int64_t>(row.m_unreported_sends.size());
        result.m_candidates.push_back(std::move(view));
    }
    for (std::size_t index = 0; index < m_left_out.size(); ++index)
    {
        if (m_left_out[index] > 0)
        {
            result.m_left_out.emplace_back(static_cast<ineligibility>(index),
                                           m_left_out[index]);
        }
    }
}

choice upstream_chooser::choose(std::vector<upstream_row> const& rows,
                                std::span<upstream_number const> row_numbers,
                                request_numbers const& names,
                                choice_request const& request,
                                table_options const& options, time_point now,
                                std::function<std::uint64_t()> const& random,
                                std::uint64_t generation,
                                std::size_t max_explained)
{
    m_candidates.clear();
    m_left_out.fill(0);
    if (request.m_route_upstreams.empty())
    {
        serving_list const& serving = find_serving(rows, names, generation);
        m_left_out[static_cast<std::size_t>(ineligibility::not_serving)] =
            serving.m_not_serving;
        row_numbers = serving.m_numbers;
    }
    std::uint64_t const key = prefix_key(request, options);
    m_candidates.reserve(row_numbers.size());
    choice_context const context{now,
                                 key,
                                 row_numbers.size(),
                                 names.m_zone,
                                 seconds(options.m_zone_cost),
                                 seconds(options.m_rank_cost)};
    for (upstream_number const number : row_numbers)
    {
        add_candidate(rows[number], number, request, options, context);
    }
    choice result;
    if (!m_candidates.empty())
    {
        std::string const policy_name = to_string(options.m_policy);
        char const* reason = policy_name.c_str();
        candidate const* chosen = nullptr;
        if (options.m_policy == policy::round_robin)
        {
            chosen = &m_candidates[m_round_robin_count++ % m_candidates.size()];
        }
        else if (options.m_policy == policy::least_load ||
                 !request.m_route_upstreams.empty())
        {
            reason = "least load";
            chosen = &pick_least_load(rows);
        }
        else if (options.m_policy == policy::bounded_rendezvous)
        {
            chosen = &pick_rendezvous(rows, key);
        }
        else
        {
            chosen = &pick_lowest_cost(rows, options, random, reason);
        }
        if (exceeds_max_wait(*chosen, options))
        {
            reason = "held, the best engine's wait is above the maximum";
        }
        else
        {
            result.m_upstream = rows[chosen->m_number].m_id;
        }
        result.m_number = chosen->m_number;
        result.m_estimate = to_duration(chosen->m_estimate);
        result.m_cached_tokens = token_count(chosen->m_cached_tokens);
        result.m_reason = reason;
    }
    if (max_explained > 0)
    {
        explain(rows, result, now, max_explained);
    }
    return result;
}

} // namespace daisylead::routing
