/** @file Fair queue of requests that wait for an upstream. */
#include "fair_order.hpp"
#include "service_rate.hpp"

#include <daisylead/admission/admission_queue_base.hpp>
#include <daisylead/base/error_type.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <unordered_map>

namespace daisylead::admission
{

namespace
{

/** Maximum number of requests of one organisation that pop() tries. More would
 *  make pop() slow when no request can be started. */
constexpr std::size_t max_offered_per_flow = 8;
/** Upper bound of an estimated wait. */
constexpr duration max_estimated_wait = std::chrono::hours(1);

/** Place of a request in the queue, for removal by id. */
struct position
{
    organisation_id m_organisation;
    queue_key m_queue_key;
};

} // namespace

class admission_queue::impl
{
public:
    explicit impl(queue_options options)
        : m_options(options), m_fair_order(options.m_urgent_lead)
    {
    }

    void insert(queued_request request, time_point now)
    {
        flow& item = m_flows[request.m_organisation];
        m_fair_order.remove_flow(request.m_organisation, item);
        item.m_weight = weight_of(request.m_organisation);
        if (item.m_requests.empty())
        {
            item.m_start_tag =
                std::max(m_fair_order.virtual_time(), item.m_finish_tag);
        }
        queue_key const key{request.m_priority, ++m_arrivals};
        item.m_tokens += cost_of(request);
        m_tokens += cost_of(request);
        m_positions[request.m_id] = {request.m_organisation, key};
        organisation_id const organisation = request.m_organisation;
        item.m_requests.emplace(key, std::move(request));
        m_fair_order.add_flow(organisation, item);
        m_rate.note_backlog(now);
    }

    /** Removes a request. The flow is kept even if it is empty, because its
     *  finish tag determines the start tag of its next request. */
    queued_request remove_request(organisation_id const& organisation,
                                  queue_key const& key)
    {
        flow& item = m_flows.at(organisation);
        m_fair_order.remove_flow(organisation, item);
        auto const found = item.m_requests.find(key);
        queued_request request = std::move(found->second);
        item.m_requests.erase(found);
        item.m_tokens -= cost_of(request);
        m_tokens -= cost_of(request);
        m_positions.erase(request.m_id);
        m_fair_order.add_flow(organisation, item);
        return request;
    }

    /** Removes a request that does not run. */
    queued_request discard(organisation_id const& organisation,
                           queue_key const& key)
    {
        queued_request request = remove_request(organisation, key);
        if (m_positions.empty())
        {
            m_rate.note_empty();
        }
        return request;
    }

    /** Removes a request that starts now and advances the tags of its flow. */
    queued_request start(organisation_id const& organisation,
                         queue_key const& key, time_point now)
    {
        queued_request request = remove_request(organisation, key);
        flow& item = m_flows.at(organisation);
        m_fair_order.remove_flow(organisation, item);
        item.m_finish_tag =
            item.m_start_tag +
            static_cast<double>(cost_of(request)) / item.m_weight;
        item.m_start_tag = item.m_finish_tag;
        m_fair_order.add_flow(organisation, item);
        m_fair_order.advance_virtual_time(item.m_finish_tag);
        m_rate.note_start(token_count(cost_of(request)), m_positions.size(),
                          now);
        remove_idle_flows();
        return request;
    }

    /** Bounds the lag of flows that wait for a busy model; see
     *  fair_order::limit_lag(). */
    void limit_lags(std::vector<organisation_id const*> const& skipped,
                    double served_tag)
    {
        // Copied, because limit_lag() inserts the flow again, which invalidates
        // pointers into the set.
        std::vector<organisation_id> ids;
        ids.reserve(skipped.size());
        for (organisation_id const* const id : skipped)
        {
            ids.push_back(*id);
        }
        for (organisation_id const& id : ids)
        {
            flow& item = m_flows.at(id);
            m_fair_order.limit_lag(id, item, served_tag);
        }
    }

    /** Removes empty flows whose next request would start at the virtual time
     *  even without their finish tag. */
    void remove_idle_flows()
    {
        constexpr std::size_t cleanup_threshold = 64;
        if (m_flows.size() < m_flows_after_cleanup + cleanup_threshold)
        {
            return;
        }
        std::erase_if(m_flows,
                      [this](auto const& entry)
                      {
                          return entry.second.m_requests.empty() &&
                                 entry.second.m_finish_tag <=
                                     m_fair_order.virtual_time();
                      });
        m_flows_after_cleanup = m_flows.size();
    }

    int weight_of(organisation_id const& organisation) const
    {
        auto const found = m_weights.find(organisation);
        return found == m_weights.end() ? 1 : found->second;
    }

    /** @return sum of the weights of the waiting flows and of this organisation
     */
    std::int64_t active_weight(organisation_id const& extra) const
    {
        auto const found = m_flows.find(extra);
        bool const counted = found != m_flows.end() && found->second.m_in_order;
        return m_fair_order.waiting_weight() + (counted ? 0 : weight_of(extra));
    }

    /** @param own_ahead tokens of the same organisation that are served before
     *  @return estimated time until the work starts: own_ahead served at the
     *          organisation's share of the rate, but at most the time for all
     *          queued tokens at the whole rate. A stall is expected to go on
     *          for as long as it has lasted: running work can be long, so a
     *          lack of starts does not show that the rate is zero. */
    duration estimate_wait(std::int64_t own_ahead, int weight,
                           std::int64_t total_weight, time_point now) const
    {
        double const at_share = static_cast<double>(own_ahead) *
                                static_cast<double>(total_weight) / weight;
        double const ahead = std::min(at_share, static_cast<double>(m_tokens));
        if (ahead <= 0)
        {
            return duration();
        }
        duration const stall = m_rate.stall(now);
        std::optional<double> const rate = m_rate.per_second();
        if (!rate)
        {
            // The work ahead is taken to be as long as the running work.
            return std::min(2 * stall, max_estimated_wait);
        }
        double const longest =
            std::chrono::duration<double>(max_estimated_wait).count();
        if (ahead >= *rate * longest)
        {
            return max_estimated_wait;
        }
        auto const service = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(ahead / *rate));
        return std::min(stall + service, max_estimated_wait);
    }

    duration estimate_request_wait(organisation_id const& organisation,
                                   int priority, time_point now) const
    {
        auto const found = m_flows.find(organisation);
        std::int64_t ahead = 0;
        if (found != m_flows.end())
        {
            for (auto const& [key, request] : found->second.m_requests)
            {
                if (key.first > priority)
                {
                    break;
                }
                ahead += cost_of(request);
            }
        }
        return estimate_wait(ahead, weight_of(organisation),
                             active_weight(organisation), now);
    }

    refused_request refusal(request_id const& id, refusal_reason reason,
                            duration wait) const
    {
        return {id, reason, wait,
                std::clamp(wait, m_options.m_min_retry_after,
                           m_options.m_max_retry_after)};
    }

    /** Refuses the last request of the organisation with the most queued
     *  tokens relative to its weight, so that the organisation that causes an
     *  overload bears the refusals. */
    refused_request drop_from_longest(time_point now)
    {
        auto longest = m_flows.end();
        double max_length = -1;
        for (auto entry = m_flows.begin(); entry != m_flows.end(); ++entry)
        {
            double const length = static_cast<double>(entry->second.m_tokens) /
                                  entry->second.m_weight;
            if (!entry->second.m_requests.empty() && length > max_length)
            {
                longest = entry;
                max_length = length;
            }
        }
        auto const last = std::prev(longest->second.m_requests.end());
        duration const wait =
            estimate_request_wait(longest->first, last->first.first, now);
        queued_request const dropped = discard(longest->first, last->first);
        return refusal(dropped.m_id, refusal_reason::queue_full, wait);
    }

    std::vector<request_id>
    remove_matching(std::function<bool(queued_request const&)> const& matches)
    {
        std::vector<position> found;
        for (auto const& [organisation, item] : m_flows)
        {
            for (auto const& [key, request] : item.m_requests)
            {
                if (matches(request))
                {
                    found.push_back({organisation, key});
                }
            }
        }
        std::vector<request_id> removed;
        removed.reserve(found.size());
        for (position const& item : found)
        {
            removed.push_back(
                discard(item.m_organisation, item.m_queue_key).m_id);
        }
        return removed;
    }

    void
    find_late_requests(organisation_id const& organisation, flow const& item,
                       std::int64_t total_weight, time_point now,
                       std::vector<std::pair<position, duration>>& late) const
    {
        std::int64_t ahead = 0;
        for (auto const& [key, request] : item.m_requests)
        {
            duration const wait =
                estimate_wait(ahead, item.m_weight, total_weight, now);
            if (now + wait > request.m_latest_start)
            {
                late.push_back({{organisation, key}, wait});
                continue; // it adds no wait to later requests
            }
            ahead += cost_of(request);
        }
    }

    queue_options m_options;
    std::unordered_map<organisation_id, flow> m_flows;
    std::unordered_map<organisation_id, int> m_weights;
    fair_order m_fair_order;
    std::unordered_map<request_id, position> m_positions;
    service_rate m_rate;
    std::int64_t m_tokens = 0;
    std::uint64_t m_arrivals = 0;
    std::size_t m_flows_after_cleanup = 0;
    time_point m_last_check;
};

admission_queue::admission_queue(queue_options options)
    : m_impl(std::make_unique<impl>(options))
{
}

admission_queue::~admission_queue() = default;

void admission_queue::set_options(queue_options options)
{
    m_impl->m_options = options;
    m_impl->m_fair_order.set_urgent_lead(options.m_urgent_lead);
}

void admission_queue::set_weight(organisation_id const& organisation,
                                 int weight)
{
    m_impl->m_weights[organisation] = std::max(weight, 1);
    auto const found = m_impl->m_flows.find(organisation);
    if (found != m_impl->m_flows.end())
    {
        m_impl->m_fair_order.remove_flow(organisation, found->second);
        found->second.m_weight = std::max(weight, 1);
        m_impl->m_fair_order.add_flow(organisation, found->second);
    }
}

std::vector<refused_request> admission_queue::push(queued_request request,
                                                   time_point now)
{
    if (m_impl->m_positions.count(request.m_id) != 0)
    {
        throw error("request " + request.m_id.value() + " is already queued");
    }
    duration const wait = m_impl->estimate_request_wait(
        request.m_organisation, request.m_priority, now);
    if (now + wait > request.m_latest_start)
    {
        return {m_impl->refusal(request.m_id,
                                refusal_reason::wait_exceeds_deadline, wait)};
    }
    if (m_impl->m_positions.empty())
    {
        m_impl->m_last_check = now;
    }
    m_impl->insert(std::move(request), now);
    std::vector<refused_request> refused;
    while (m_impl->m_positions.size() > m_impl->m_options.m_max_queued)
    {
        refused.push_back(m_impl->drop_from_longest(now));
    }
    return refused;
}

std::optional<queued_request> admission_queue::pop(
    time_point now, std::function<bool(queued_request const&)> const& can_start)
{
    std::vector<organisation_id const*> skipped;
    for (auto const& [order_tag, id] : m_impl->m_fair_order.order())
    {
        std::size_t offered = 0;
        for (auto const& [key, request] : m_impl->m_flows.at(id).m_requests)
        {
            if (can_start(request))
            {
                double const tag = m_impl->m_flows.at(id).m_start_tag;
                organisation_id const organisation = id;
                queue_key const at = key;
                m_impl->limit_lags(skipped, tag);
                return m_impl->start(organisation, at, now);
            }
            if (++offered == max_offered_per_flow)
            {
                break;
            }
        }
        skipped.push_back(&id);
    }
    return std::nullopt;
}

bool admission_queue::remove(request_id const& id)
{
    auto const found = m_impl->m_positions.find(id);
    if (found == m_impl->m_positions.end())
    {
        return false;
    }
    position const at = found->second;
    m_impl->discard(at.m_organisation, at.m_queue_key);
    return true;
}

std::vector<request_id>
admission_queue::remove_key(access::key_digest const& key)
{
    return m_impl->remove_matching(
        [&](queued_request const& request)
        { return request.m_key && *request.m_key == key; });
}

std::vector<request_id>
admission_queue::remove_organisation(organisation_id const& organisation)
{
    return m_impl->remove_matching(
        [&](queued_request const& request)
        { return request.m_organisation == organisation; });
}

std::vector<refused_request> admission_queue::expire(time_point now)
{
    m_impl->m_last_check = now;
    std::int64_t const total_weight = m_impl->m_fair_order.waiting_weight();
    std::vector<std::pair<position, duration>> late;
    for (auto const& [id, item] : m_impl->m_flows)
    {
        m_impl->find_late_requests(id, item, total_weight, now, late);
    }
    std::vector<refused_request> refused;
    refused.reserve(late.size());
    for (auto const& [at, wait] : late)
    {
        queued_request const request =
            m_impl->discard(at.m_organisation, at.m_queue_key);
        refused.push_back(m_impl->refusal(
            request.m_id, refusal_reason::wait_exceeds_deadline, wait));
    }
    return refused;
}

std::optional<time_point> admission_queue::next_timer() const
{
    if (m_impl->m_positions.empty())
    {
        return std::nullopt;
    }
    return m_impl->m_last_check + m_impl->m_options.m_check_interval;
}

duration admission_queue::estimated_wait(organisation_id const& organisation,
                                         int priority, time_point now) const
{
    return m_impl->estimate_request_wait(organisation, priority, now);
}

std::size_t admission_queue::size() const
{
    return m_impl->m_positions.size();
}

nlohmann::json admission_queue::dump() const
{
    nlohmann::json result = nlohmann::json::object();
    for (auto const& [id, item] : m_impl->m_flows)
    {
        if (!item.m_requests.empty())
        {
            result[id.value()] = {{"requests", item.m_requests.size()},
                                  {"tokens", item.m_tokens}};
        }
    }
    return result;
}

} // namespace daisylead::admission
