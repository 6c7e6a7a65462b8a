/** @file List of upstreams from service discovery, with its recent changes. */
#include <daisylead/serving/upstream_list_base.hpp>

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <map>

namespace daisylead::serving
{

namespace
{

/** Max. remembered changes; peers lag by one or two. */
constexpr std::size_t max_history = 8;

bool has_lower_id(upstream_record const& a, upstream_record const& b)
{
    return a.m_id < b.m_id;
}

/** @return digest of the fields that decide whether and where requests may go;
 *          loaded weights are exchanged separately, and the software of a
 *          process follows from its id and start. */
std::uint64_t digest_of(upstream_record const& item)
{
    std::string const text =
        item.m_id.value() + '\n' + item.m_service.value() + '\n' +
        item.m_address + '\n' + item.m_zone.value() + '\n' +
        std::to_string(item.m_slots) + (item.m_leaving ? "-" : "+") +
        std::to_string(item.m_started);
    return XXH64(text.data(), text.size(), 0);
}

std::uint64_t digest_of(std::vector<upstream_record> const& list)
{
    std::uint64_t sum = list.size() + 1;
    for (upstream_record const& item : list)
    {
        sum += digest_of(item);
    }
    return sum;
}

/** @pre both lists are sorted */
upstream_changes difference(std::vector<upstream_record> const& before,
                            std::vector<upstream_record> const& after)
{
    upstream_changes changes;
    auto old = before.begin();
    for (upstream_record const& item : after)
    {
        while (old != before.end() && has_lower_id(*old, item))
        {
            changes.m_removed.push_back((old++)->m_id);
        }
        bool const known = old != before.end() && old->m_id == item.m_id;
        if (!known || digest_of(*old) != digest_of(item))
        {
            changes.m_changed.push_back(item);
        }
        old += known ? 1 : 0;
    }
    for (; old != before.end(); ++old)
    {
        changes.m_removed.push_back(old->m_id);
    }
    return changes;
}

/** Merges later changes into earlier ones. */
void append(std::map<upstream_id, std::optional<upstream_record>>& merged,
            upstream_changes const& changes)
{
    for (upstream_id const& id : changes.m_removed)
    {
        merged[id].reset();
    }
    for (upstream_record const& item : changes.m_changed)
    {
        merged[item.m_id] = item;
    }
}

template <class Number>
Number clamped(std::int64_t value)
{
    return static_cast<Number>(
        std::clamp<std::int64_t>(value, 0, std::numeric_limits<Number>::max()));
}

/** @return at least 1 for a known silence, as 0 means that it is not known. */
std::uint16_t to_silence_ms(std::optional<duration> const& silence)
{
    if (!silence)
    {
        return 0;
    }
    return std::max<std::uint16_t>(
        1,
        clamped<std::uint16_t>(
            std::chrono::floor<std::chrono::milliseconds>(*silence).count()));
}

} // namespace

void upstream_list::take(std::vector<upstream_record> records,
                         std::uint64_t digest)
{
    if (m_digest != 0 && digest != m_digest)
    {
        m_history.push_back({m_digest, difference(m_records, records)});
        if (m_history.size() > max_history)
        {
            m_history.pop_front();
        }
    }
    m_records = std::move(records);
    m_digest = digest;
    m_positions.clear();
    for (std::size_t i = 0; i < m_records.size(); ++i)
    {
        m_positions.emplace(m_records[i].m_id, static_cast<std::uint16_t>(i));
    }
}

bool upstream_list::replace(std::vector<upstream_record> records)
{
    std::sort(records.begin(), records.end(), has_lower_id);
    std::uint64_t const digest = digest_of(records);
    bool const changed = digest != m_digest;
    take(std::move(records), digest);
    return changed;
}

bool upstream_list::apply(upstream_changes const& changes, std::uint64_t digest)
{
    std::map<upstream_id, std::optional<upstream_record>> merged;
    if (changes.m_base != 0)
    {
        if (changes.m_base != m_digest)
        {
            return false;
        }
        for (upstream_record const& item : m_records)
        {
            merged.emplace_hint(merged.end(), item.m_id, item);
        }
    }
    append(merged, changes);
    std::vector<upstream_record> records;
    for (auto& [id, item] : merged)
    {
        if (item)
        {
            records.push_back(std::move(*item));
        }
    }
    if (digest_of(records) != digest)
    {
        return false;
    }
    take(std::move(records), digest);
    return true;
}

upstream_changes upstream_list::changes_since(std::uint64_t digest) const
{
    upstream_changes result;
    auto step = m_history.rbegin();
    while (step != m_history.rend() && step->m_from != digest)
    {
        ++step;
    }
    if (digest == 0 || step == m_history.rend())
    {
        result.m_changed = m_records;
        return result;
    }
    std::map<upstream_id, std::optional<upstream_record>> merged;
    for (auto item = step.base() - 1; item != m_history.end(); ++item)
    {
        append(merged, item->m_changes);
    }
    result.m_base = digest;
    for (auto& [id, item] : merged)
    {
        if (item)
        {
            result.m_changed.push_back(std::move(*item));
        }
        else
        {
            result.m_removed.push_back(id);
        }
    }
    return result;
}

std::optional<std::uint16_t>
upstream_list::position_of(upstream_id const& id) const
{
    auto const found = m_positions.find(id);
    return found == m_positions.end() ? std::nullopt
                                      : std::optional(found->second);
}

load_news upstream_list::to_news(in_flight_counts const& counts) const
{
    load_news news;
    news.m_list_digest = m_digest;
    for (upstream_load const& use : counts)
    {
        if (auto const position = position_of(use.m_upstream))
        {
            news.m_loads.push_back({*position,
                                    clamped<std::uint16_t>(use.m_requests),
                                    clamped<std::uint32_t>(use.m_tokens),
                                    to_silence_ms(use.m_silence)});
        }
    }
    return news;
}

std::optional<in_flight_counts>
upstream_list::from_news(load_news const& news) const
{
    if (news.m_list_digest != m_digest)
    {
        return std::nullopt;
    }
    in_flight_counts counts;
    for (position_load const& load : news.m_loads)
    {
        if (load.m_position < m_records.size())
        {
            counts.push_back(
                {m_records[load.m_position].m_id, load.m_requests,
                 load.m_tokens,
                 load.m_silence_ms == 0
                     ? std::nullopt
                     : std::optional<duration>(
                           std::chrono::milliseconds(load.m_silence_ms))});
        }
    }
    return counts;
}

} // namespace daisylead::serving
