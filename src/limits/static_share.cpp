/** @file Part of each limit that an instance grants without its owner. */
#include <daisylead/limits/static_share_base.hpp>

#include <daisylead/limits/shard_func.hpp>

#include <algorithm>
#include <utility>

namespace daisylead::limits
{

static_share::static_share(time_point started_at) : m_started_at(started_at) {}

void static_share::set_limits(
    std::vector<config::organisation> const& organisations, int percent,
    std::size_t instances, time_point now)
{
    std::map<organisation_id, bucket_limit> limits;
    for (auto const& [id, limit] : m_limits)
    {
        limits[id] = bucket_limit();
    }
    for (config::organisation const& item : organisations)
    {
        limits[item.m_id] = static_limit(item, percent, instances);
    }
    for (auto const& [id, limit] : limits)
    {
        auto const old = m_limits.find(id);
        if (old == m_limits.end() || old->second == limit)
        {
            continue;
        }
        // A bucket that does not exist yet is created with the old limit.
        if (token_bucket* const bucket = refresh_bucket(id, now))
        {
            bucket->set_limit(limit);
        }
    }
    m_limits = std::move(limits);
}

std::optional<bucket_sequence>
static_share::take(organisation_id const& organisation, token_count amount,
                   time_point now)
{
    token_bucket* const bucket = refresh_bucket(organisation, now);
    auto const tokens = static_cast<double>(amount.value());
    if (bucket == nullptr || tokens < 0 || tokens > bucket->level())
    {
        return std::nullopt;
    }
    bucket->reserve(tokens);
    return bucket->confirm(tokens);
}

void static_share::refund(organisation_id const& organisation,
                          token_count unused, bucket_sequence sequence,
                          time_point now)
{
    token_bucket* const bucket = refresh_bucket(organisation, now);
    auto const tokens = static_cast<double>(unused.value());
    if (bucket == nullptr)
    {
        return;
    }
    if (tokens > 0)
    {
        bucket->refund(tokens, sequence);
    }
    else if (tokens < 0)
    {
        bucket->charge(-tokens);
    }
}

std::optional<duration>
static_share::time_until(organisation_id const& organisation,
                         token_count amount, time_point now)
{
    token_bucket const* const bucket = refresh_bucket(organisation, now);
    auto const tokens = static_cast<double>(amount.value());
    if (bucket == nullptr || tokens > bucket->limit().m_burst)
    {
        return std::nullopt;
    }
    return bucket->time_until(tokens);
}

token_bucket* static_share::refresh_bucket(organisation_id const& organisation,
                                           time_point now)
{
    auto const limit = m_limits.find(organisation);
    if (limit == m_limits.end())
    {
        return nullptr;
    }
    auto const [place, inserted] = m_buckets.try_emplace(
        organisation, token_bucket(limit->second, m_started_at));
    place->second.advance(now);
    return &place->second;
}

} // namespace daisylead::limits
