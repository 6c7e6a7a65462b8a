/** @file Table of the upstreams, and selection of one for a request. */
#include "choose_upstream.hpp"

#include <daisylead/base/error_type.hpp>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>

namespace daisylead::routing
{

namespace
{

/** Weight of a measurement in the moving average of the prefill rate; it
 *  follows a change within about 20 requests. */
constexpr double prefill_rate_weight = 0.05;
/** Prefills of fewer tokens are not measured, because fixed costs dominate
 *  their time. */
constexpr double min_measured_tokens = 512;
/** Bounds the average relative to the configured prefill rate, so that a few
 *  outliers cannot exclude an engine permanently. */
constexpr double max_prefill_rate_factor = 8;
constexpr double min_prefill_rate = 1; // prevents division by zero

/** A sent request that has not ended. */
struct pending_send
{
    upstream_number m_number = 0;
    /** Detects that m_number was reused. */
    std::uint64_t m_slot_generation = 0;
    time_point m_at;
    double m_prefill_tokens = 0; ///< to compute before its first token
    bool m_first_token = false;
    bool m_probe = false;
};

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

class upstream_table::impl
{
public:
    impl(table_options options, std::function<std::uint64_t()> random)
        : m_options(options), m_random(std::move(random))
    {
    }

    upstream_row* find(upstream_id const& id)
    {
        auto const found = m_numbers.find(id);
        return found == m_numbers.end() ? nullptr : &m_rows[found->second];
    }

    upstream_row const* find(upstream_id const& id) const
    {
        auto const found = m_numbers.find(id);
        return found == m_numbers.end() ? nullptr : &m_rows[found->second];
    }

    double default_prefill_rate() const
    {
        return std::max(
            min_prefill_rate,
            static_cast<double>(m_options.m_default_prefill_rate.value()));
    }

    upstream_number new_number()
    {
        for (std::size_t number = 0; number < m_rows.size(); ++number)
        {
            if (!m_rows[number].m_in_use)
            {
                return static_cast<upstream_number>(number);
            }
        }
        if (m_rows.size() > std::numeric_limits<upstream_number>::max())
        {
            throw error("too many upstreams");
        }
        m_rows.emplace_back();
        m_slot_generations.push_back(0);
        return static_cast<upstream_number>(m_rows.size() - 1);
    }

    void apply_inventory_entry(config::upstream const& item)
    {
        auto found = m_numbers.find(item.m_id);
        if (found == m_numbers.end())
        {
            upstream_number const number = new_number();
            found = m_numbers.emplace(item.m_id, number).first;
            upstream_row& added = m_rows[number];
            added = upstream_row();
            added.m_in_use = true;
            added.m_id = item.m_id;
            added.m_id_hash =
                XXH3_64bits(item.m_id.value().data(), item.m_id.value().size());
            added.m_prefill_rate = default_prefill_rate();
        }
        upstream_row& row = m_rows[found->second];
        row.m_kind = item.m_kind;
        row.m_zone = m_names.intern(item.m_zone.value());
        row.set_leaving(leaving_source::configuration,
                        item.m_state == config::upstream_state::leaving);
        row.m_configured_models.clear();
        for (model_id const& model : item.m_models)
        {
            row.m_configured_models.push_back(m_names.intern(model.value()));
        }
    }

    std::vector<upstream_number>
    remove_missing(std::span<config::upstream const> upstreams)
    {
        std::unordered_map<upstream_id, bool> kept;
        for (config::upstream const& item : upstreams)
        {
            kept.emplace(item.m_id, true);
        }
        std::vector<upstream_number> removed;
        for (std::size_t number = 0; number < m_rows.size(); ++number)
        {
            if (m_rows[number].m_in_use && kept.count(m_rows[number].m_id) == 0)
            {
                m_numbers.erase(m_rows[number].m_id);
                m_rows[number] = upstream_row();
                ++m_slot_generations[number];
                removed.push_back(static_cast<upstream_number>(number));
            }
        }
        return removed;
    }

    void apply_loaded_models(upstream_row& row, load_report const& report)
    {
        std::vector<loaded_model> loaded;
        loaded.reserve(report.m_models.size());
        for (auto const& [model, version] : report.m_models)
        {
            loaded.push_back({m_names.intern(model.value()),
                              m_versions.intern(version.value())});
        }
        if (loaded != row.m_loaded_models)
        {
            row.m_loaded_models = std::move(loaded);
            ++m_generation;
        }
    }

    request_numbers find_numbers(choice_request const& request) const
    {
        request_numbers names;
        names.m_model = m_names.find(request.m_model.value());
        names.m_version = m_versions.find(request.m_weights_version.value());
        names.m_zone = m_names.find(request.m_zone.value());
        if (!request.m_adapter.empty())
        {
            names.m_adapter = m_names.find(request.m_adapter.value());
            names.m_adapter_version =
                m_versions.find(request.m_adapter_version.value());
        }
        return names;
    }

    void update_prefill_rate(pending_send const& item, time_point now)
    {
        upstream_row& row = m_rows[item.m_number];
        double const elapsed = seconds(now - item.m_at);
        if (item.m_prefill_tokens < min_measured_tokens || elapsed <= 0)
        {
            return;
        }
        double const measured =
            std::clamp(item.m_prefill_tokens / elapsed,
                       default_prefill_rate() / max_prefill_rate_factor,
                       default_prefill_rate() * max_prefill_rate_factor);
        row.m_prefill_rate +=
            prefill_rate_weight * (measured - row.m_prefill_rate);
    }

    table_options m_options;
    std::function<std::uint64_t()> m_random;
    std::vector<upstream_row> m_rows;
    /** Number of removals, by upstream number. */
    std::vector<std::uint64_t> m_slot_generations;
    std::unordered_map<upstream_id, upstream_number> m_numbers;
    name_interner m_names;
    name_interner m_versions;
    std::unordered_map<send_number, pending_send> m_sends;
    send_number m_last_send = 0;
    std::uint64_t m_generation = 0; ///< see upstream_chooser::choose
    upstream_chooser m_upstream_chooser;
    std::vector<upstream_number> m_route_numbers;
};

upstream_table::upstream_table(table_options options,
                               std::function<std::uint64_t()> random)
    : m_impl(std::make_unique<impl>(options, std::move(random)))
{
}

upstream_table::~upstream_table() = default;

void upstream_table::set_options(table_options options)
{
    m_impl->m_options = options;
}

std::vector<upstream_number>
upstream_table::apply_configuration(std::span<config::upstream const> upstreams)
{
    ++m_impl->m_generation;
    std::vector<upstream_number> removed = m_impl->remove_missing(upstreams);
    for (config::upstream const& item : upstreams)
    {
        m_impl->apply_inventory_entry(item);
    }
    return removed;
}

void upstream_table::apply_instance_list(std::span<upstream_id const> leaving)
{
    for (upstream_row& row : m_impl->m_rows)
    {
        row.set_leaving(leaving_source::instance_list, false);
    }
    for (upstream_id const& id : leaving)
    {
        if (upstream_row* const row = m_impl->find(id))
        {
            row->set_leaving(leaving_source::instance_list, true);
        }
    }
}

bool upstream_table::apply_load_report(upstream_id const& id,
                                       load_report const& report,
                                       time_point now)
{
    upstream_row* const row = m_impl->find(id);
    if (row == nullptr ||
        (row->m_has_report && row->m_incarnation == report.m_incarnation &&
         now - report.m_age < row->m_reported_at))
    {
        return false;
    }
    bool const restarted =
        row->m_has_report && row->m_incarnation != report.m_incarnation;
    if (restarted)
    {
        row->end_penalty();
        row->m_peer_leaving_until = time_point();
        row->m_unreported_sends.clear();
    }
    row->m_incarnation = report.m_incarnation;
    m_impl->apply_loaded_models(*row, report);
    row->apply_report(report, now);
    return restarted;
}

void upstream_table::note_peer_leaving(upstream_id const& id, time_point now)
{
    if (upstream_row* const row = m_impl->find(id))
    {
        row->m_peer_leaving_until =
            now + m_impl->m_options.m_peer_report_lifetime;
    }
}

void upstream_table::note_refused(upstream_id const& id, time_point now)
{
    if (upstream_row* const row = m_impl->find(id))
    {
        row->start_penalty(now);
        // Without load reports, only a probe after the penalty can detect that
        // the upstream accepts connections again.
        row->set_leaving(leaving_source::refused, row->m_has_report);
        row->m_refused_at = now;
    }
}

void upstream_table::note_failed(upstream_id const& id, time_point now)
{
    if (upstream_row* const row = m_impl->find(id))
    {
        row->start_penalty(now);
    }
}

send_number upstream_table::note_sent(upstream_id const& id,
                                      token_count uncached, time_point now)
{
    auto const found = m_impl->m_numbers.find(id);
    if (found == m_impl->m_numbers.end())
    {
        return 0;
    }
    upstream_row& row = m_impl->m_rows[found->second];
    auto const tokens = static_cast<double>(uncached.value());
    row.add_send(now, tokens);
    pending_send item;
    item.m_number = found->second;
    item.m_slot_generation = m_impl->m_slot_generations[found->second];
    item.m_at = now;
    item.m_prefill_tokens = row.m_backlog.at(now, row.m_prefill_rate);
    item.m_probe = row.m_consecutive_failures > 0;
    row.m_probe_in_flight = row.m_probe_in_flight || item.m_probe;
    m_impl->m_sends.emplace(++m_impl->m_last_send, item);
    return m_impl->m_last_send;
}

void upstream_table::note_first_token(send_number number, time_point now)
{
    auto const found = m_impl->m_sends.find(number);
    if (found == m_impl->m_sends.end() || found->second.m_first_token)
    {
        return;
    }
    pending_send& item = found->second;
    item.m_first_token = true;
    if (item.m_slot_generation != m_impl->m_slot_generations[item.m_number])
    {
        return;
    }
    m_impl->update_prefill_rate(item, now);
    if (item.m_probe)
    {
        m_impl->m_rows[item.m_number].end_penalty();
    }
}

void upstream_table::note_ended(send_number number, bool succeeded)
{
    auto const found = m_impl->m_sends.find(number);
    if (found == m_impl->m_sends.end())
    {
        return;
    }
    pending_send const item = found->second;
    m_impl->m_sends.erase(found);
    if (item.m_slot_generation != m_impl->m_slot_generations[item.m_number])
    {
        return;
    }
    upstream_row& row = m_impl->m_rows[item.m_number];
    --row.m_in_flight;
    if (item.m_probe)
    {
        row.m_probe_in_flight = false;
    }
    if (succeeded && item.m_probe)
    {
        row.end_penalty();
    }
}

choice upstream_table::choose(choice_request const& request, time_point now,
                              std::size_t max_explained)
{
    m_impl->m_route_numbers.clear();
    for (upstream_id const& id : request.m_route_upstreams)
    {
        auto const found = m_impl->m_numbers.find(id);
        if (found != m_impl->m_numbers.end())
        {
            m_impl->m_route_numbers.push_back(found->second);
        }
    }
    return m_impl->m_upstream_chooser.choose(
        m_impl->m_rows, m_impl->m_route_numbers, m_impl->find_numbers(request),
        request, m_impl->m_options, now, m_impl->m_random, m_impl->m_generation,
        max_explained);
}

std::optional<upstream_number>
upstream_table::number_of(upstream_id const& id) const
{
    auto const found = m_impl->m_numbers.find(id);
    return found == m_impl->m_numbers.end()
               ? std::nullopt
               : std::optional<upstream_number>(found->second);
}

bool upstream_table::is_leaving(upstream_id const& id, time_point now) const
{
    upstream_row const* const row = m_impl->find(id);
    return row == nullptr || row->is_leaving(now);
}

duration upstream_table::shortest_wait(model_id const& model,
                                       time_point now) const
{
    std::uint32_t const wanted = m_impl->m_names.find(model.value());
    std::optional<double> shortest;
    for (upstream_row const& row : m_impl->m_rows)
    {
        auto const& models = row.m_configured_models;
        if (!row.m_in_use || row.is_leaving(now) || now < row.m_penalty_until ||
            std::find(models.begin(), models.end(), wanted) == models.end())
        {
            continue;
        }
        double const wait =
            row.m_backlog.at(now, row.m_prefill_rate) / row.m_prefill_rate;
        shortest = std::min(shortest.value_or(wait), wait);
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(shortest.value_or(0.0)));
}

nlohmann::json upstream_table::dump(time_point now) const
{
    nlohmann::json list = nlohmann::json::array();
    for (upstream_row const& row : m_impl->m_rows)
    {
        if (!row.m_in_use)
        {
            continue;
        }
        nlohmann::json item;
        item["id"] = row.m_id.value();
        item["incarnation"] = row.m_incarnation.value();
        item["leaving"] = row.is_leaving(now);
        item["leaving_sources"] = row.m_leaving;
        item["loading"] = row.m_state == engine_state::loading;
        item["in_flight"] = row.m_in_flight;
        item["waiting_tokens"] = static_cast<std::int64_t>(
            row.m_backlog.at(now, row.m_prefill_rate));
        item["prefill_rate"] = static_cast<std::int64_t>(row.m_prefill_rate);
        item["failures"] = row.m_consecutive_failures;
        if (row.m_has_report)
        {
            item["report_age_ms"] =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    now - row.m_reported_at)
                    .count();
        }
        list.push_back(std::move(item));
    }
    return list;
}

choice choose_upstream(upstream_table& table, choice_request const& request,
                       time_point now, std::size_t max_explained)
{
    return table.choose(request, now, max_explained);
}

} // namespace daisylead::routing
