/** @file Retries of claim releases. */
#include "release_list.hpp"

#include <algorithm>
#include <chrono>

namespace daisylead::request
{

namespace
{

using table::transaction_status;

constexpr std::chrono::milliseconds initial_delay{200};
constexpr std::chrono::milliseconds max_delay{30000};
/** With the delays above these reads span about 100 s. A transaction whose
 *  reply was lost is applied well before that, or never. */
constexpr int max_absent_reads = 10;
constexpr int max_doublings = 8; ///< keeps the shifted delay in range

duration backoff_delay(int tries)
{
    auto const delay = initial_delay * (1 << std::min(tries, max_doublings));
    return std::min<duration>(delay, max_delay);
}

} // namespace

release_list::release_list(std::size_t max_items) : m_max_items(max_items) {}

void release_list::add(std::string row, std::string token, std::int64_t version,
                       time_point now)
{
    if (m_items.size() >= m_max_items)
    {
        return;
    }
    release_item item;
    item.m_row = std::move(row);
    item.m_token = token;
    item.m_version = version;
    item.m_due = version != 0 ? now : now + initial_delay;
    m_items.emplace(std::move(token), std::move(item));
}

std::vector<release_item> release_list::take_due(time_point now)
{
    std::vector<release_item> due;
    for (auto& [token, item] : m_items)
    {
        if (!item.m_call_pending && item.m_due <= now)
        {
            item.m_call_pending = true;
            due.push_back(item);
        }
    }
    return due;
}

void release_list::on_deleted(std::string const& token,
                              transaction_status status, time_point now)
{
    auto const found = m_items.find(token);
    if (found == m_items.end())
    {
        return;
    }
    // A conflict means that this version of the row no longer exists and cannot
    // return.
    if (status == transaction_status::committed ||
        status == transaction_status::conflict)
    {
        m_items.erase(found);
        return;
    }
    schedule_retry(found->second, now);
}

void release_list::on_read(std::string const& token, bool ok,
                           std::int64_t version, time_point now)
{
    auto const found = m_items.find(token);
    if (found == m_items.end())
    {
        return;
    }
    release_item& item = found->second;
    if (ok && version == 0 && ++item.m_absent_reads >= max_absent_reads)
    {
        m_items.erase(found);
        return;
    }
    if (version == 0)
    {
        schedule_retry(item, now);
        return;
    }
    item.m_version = version;
    item.m_due = now;
    item.m_call_pending = false;
}

void release_list::schedule_retry(release_item& item, time_point now)
{
    item.m_call_pending = false;
    item.m_due = now + backoff_delay(item.m_tries);
    ++item.m_tries;
}

std::optional<time_point> release_list::next_timer() const
{
    std::optional<time_point> next;
    for (auto const& [token, item] : m_items)
    {
        if (!item.m_call_pending && (!next || item.m_due < *next))
        {
            next = item.m_due;
        }
    }
    return next;
}

} // namespace daisylead::request
