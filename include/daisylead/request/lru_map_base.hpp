/** @file Bounded map with least-recently-used eviction. */
#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>
#include <utility>

namespace daisylead::request
{

/** A map with a fixed maximum size that evicts the least recently used entry.
 */
template <class Key, class Value>
class lru_map
{
public:
    /** @param max_size at least 1 */
    explicit lru_map(std::size_t max_size) : m_max_size(max_size) {}

    // The index holds iterators into the list. They stay valid when the list is
    // moved, but not when it is copied.
    lru_map(lru_map const&) = delete;
    lru_map& operator=(lru_map const&) = delete;
    lru_map(lru_map&&) noexcept = default;
    lru_map& operator=(lru_map&&) noexcept = default;
    ~lru_map() = default;

    /** @return the entry, which becomes the most recently used one, or null. */
    Value* find(Key const& key)
    {
        auto const found = m_index.find(key);
        if (found == m_index.end())
        {
            return nullptr;
        }
        m_entries.splice(m_entries.begin(), m_entries, found->second);
        return &found->second->second;
    }

    /** @return the entry, created from @p initial if it is absent. */
    Value& get_or_insert(Key const& key, Value initial)
    {
        if (Value* const present = find(key))
        {
            return *present;
        }
        if (m_entries.size() >= m_max_size)
        {
            m_index.erase(m_entries.back().first);
            m_entries.pop_back();
        }
        m_entries.emplace_front(key, std::move(initial));
        m_index[key] = m_entries.begin();
        return m_entries.front().second;
    }

    void erase(Key const& key)
    {
        auto const found = m_index.find(key);
        if (found != m_index.end())
        {
            m_entries.erase(found->second);
            m_index.erase(found);
        }
    }

    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    using entry_list = std::list<std::pair<Key, Value>>;

    std::size_t m_max_size;
    entry_list m_entries; ///< most recently used first
    std::unordered_map<Key, typename entry_list::iterator> m_index;
};

} // namespace daisylead::request
