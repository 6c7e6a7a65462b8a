/** @file Prompt cache of the engine stand-in. */
#include "prompt_cache_base.hpp"

#include <utility>

namespace daisylead::standin
{

namespace
{

/** Older events are dropped; a slow reader sees a gap. */
constexpr std::size_t max_events = 10000;

std::string key_of(std::string const& salt, std::string const& block)
{
    return salt + '\0' + block;
}

} // namespace

std::size_t prompt_cache::use_prefix(std::string const& salt,
                                     std::vector<std::string> const& blocks)
{
    std::size_t cached = 0;
    for (std::string const& block : blocks)
    {
        auto const found = m_index.find(key_of(salt, block));
        if (found == m_index.end())
        {
            break;
        }
        m_entries.splice(m_entries.begin(), m_entries, found->second);
        ++cached;
    }
    return cached;
}

void prompt_cache::store(std::string const& salt,
                         std::vector<std::string> const& blocks)
{
    std::vector<std::string> stored;
    for (std::string const& block : blocks)
    {
        std::string key = key_of(salt, block);
        if (m_index.contains(key))
        {
            continue;
        }
        m_entries.push_front({key, block});
        m_index.emplace(std::move(key), m_entries.begin());
        stored.push_back(block);
    }
    std::vector<std::string> evicted = evict();
    add_event("stored", std::move(stored));
    add_event("evicted", std::move(evicted));
}

std::vector<std::string> prompt_cache::evict()
{
    std::vector<std::string> evicted;
    while (m_entries.size() > m_capacity)
    {
        evicted.push_back(m_entries.back().m_block);
        m_index.erase(m_entries.back().m_key);
        m_entries.pop_back();
    }
    return evicted;
}

void prompt_cache::add_event(std::string type, std::vector<std::string> blocks)
{
    if (blocks.empty())
    {
        return;
    }
    ++m_sequence;
    if (m_events_to_lose > 0)
    {
        --m_events_to_lose;
        return;
    }
    m_events.push_back(
        {m_sequence, clock::now(), std::move(type), std::move(blocks)});
    if (m_events.size() > max_events)
    {
        m_events.pop_front();
    }
}

nlohmann::json prompt_cache::events(std::int64_t after,
                                    milliseconds delay) const
{
    nlohmann::json list = nlohmann::json::array();
    std::int64_t next = after;
    clock::time_point const newest = clock::now() - delay;
    for (event const& item : m_events)
    {
        if (item.m_sequence <= after)
        {
            continue;
        }
        if (item.m_time > newest)
        {
            break;
        }
        next = item.m_sequence;
        list.push_back({{"seq", item.m_sequence},
                        {"type", item.m_type},
                        {"blocks", item.m_blocks}});
    }
    return {{"next", next}, {"events", list}};
}

nlohmann::json prompt_cache::snapshot() const
{
    nlohmann::json blocks = nlohmann::json::array();
    for (entry const& item : m_entries)
    {
        blocks.push_back(item.m_block);
    }
    return {{"seq", m_sequence}, {"blocks", blocks}};
}

} // namespace daisylead::standin
