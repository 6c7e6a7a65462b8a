/** @file Background releases. */
#include "release_list.hpp"

#include <algorithm>
#include <chrono>

namespace daisylead::request
{

namespace
{

using table::transaction_status;

constexpr std::chrono::milliseconds first_delay{200};
constexpr std::chrono::milliseconds longest_delay{30000};
/** With the delays above, about 100 s; a transaction whose answer was lost is
 *  applied long before or never. */
constexpr int max_absent = 10;
constexpr int max_doublings = 8; ///< keeps the shifted delay in range

duration delay_after(int tries)
{
    auto const grown = first_delay * (1 << std::min(tries, max_doublings));
    return std::min<duration>(grown, longest_delay);
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
    item.m_due = version != 0 ? now : now + first_delay;
    m_items.emplace(std::move(token), std::move(item));
}

std::vector<release_item> release_list::take_due(time_point now)
{
    std::vector<release_item> due;
    for (auto& [token, item] : m_items)
    {
        if (!item.m_busy && item.m_due <= now)
        {
            item.m_busy = true;
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
    // A conflict means that this version of the row is gone for good.
    if (status == transaction_status::committed ||
        status == transaction_status::conflict)
    {
        m_items.erase(found);
        return;
    }
    try_later(found->second, now);
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
    if (ok && version == 0 && ++item.m_absent >= max_absent)
    {
        m_items.erase(found);
        return;
    }
    if (version == 0)
    {
        try_later(item, now);
        return;
    }
    item.m_version = version;
    item.m_due = now;
    item.m_busy = false;
}

void release_list::try_later(release_item& item, time_point now)
{
    item.m_busy = false;
    item.m_due = now + delay_after(item.m_tries);
    ++item.m_tries;
}

std::optional<time_point> release_list::next_timer() const
{
    std::optional<time_point> next;
    for (auto const& [token, item] : m_items)
    {
        if (!item.m_busy && (!next || item.m_due < *next))
        {
            next = item.m_due;
        }
    }
    return next;
}

} // namespace daisylead::request
