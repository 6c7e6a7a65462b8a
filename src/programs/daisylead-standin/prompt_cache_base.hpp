/** @file Prompt cache of the engine stand-in. */
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisylead::standin
{

/** Cached prompt blocks in limited memory, evicted by least recent use. */
class prompt_cache
{
public:
    using milliseconds = std::chrono::milliseconds;

    /** @param capacity most blocks kept */
    explicit prompt_cache(std::size_t capacity) : m_capacity(capacity) {}

    /** Marks the cached blocks as used.
     *  @return number of leading blocks that are cached under the salt */
    std::size_t use_prefix(std::string const& salt,
                           std::vector<std::string> const& blocks);

    /** Stores blocks and evicts others for them. */
    void store(std::string const& salt, std::vector<std::string> const& blocks);

    /** The next @p count events get a sequence number but are lost. */
    void lose_events(std::int64_t count)
    {
        m_events_to_lose = count;
    }

    /** @param delay events younger than this are not reported yet */
    nlohmann::json events(std::int64_t after, milliseconds delay) const;

    /** @return sequence number of the last event and all cached blocks. */
    nlohmann::json snapshot() const;

private:
    using clock = std::chrono::steady_clock;

    struct entry
    {
        std::string m_key;   ///< salt and block
        std::string m_block; ///< hash as the router sent it
    };

    struct event
    {
        std::int64_t m_sequence;
        clock::time_point m_time;
        std::string m_type;
        std::vector<std::string> m_blocks;
    };

    void add_event(std::string type, std::vector<std::string> blocks);
    std::vector<std::string> evict();

    std::size_t m_capacity;
    std::list<entry> m_entries; ///< most recently used first
    std::unordered_map<std::string, std::list<entry>::iterator> m_index;
    std::deque<event> m_events;
    std::int64_t m_sequence = 0;
    std::int64_t m_events_to_lose = 0;
};

} // namespace daisylead::standin
