/** @file Index of the blocks that engines cache. */
#include "block_table.hpp"

#include <daisylead/base/error_type.hpp>
#include <daisylead/prefix/prefix_index_base.hpp>

#include <algorithm>
#include <bit>

namespace daisylead::prefix
{

namespace
{

/** Records to sweep per added block. A pass over a full table then takes an
 *  eighth of the time in which all its blocks are replaced. */
constexpr std::size_t sweep_per_block = 8;
constexpr std::size_t max_depth = std::numeric_limits<std::uint16_t>::max();
/** Passes of the sweep after which a retired slot can be reused. The pass that
 *  was running when the slot was retired may have missed records. */
constexpr int passes_until_clean = 2;

enum class sync_state
{
    unknown,           ///< no event or snapshot yet
    awaiting_snapshot, ///< events are ignored
    in_sync            ///< events are applied
};

struct engine_state
{
    sync_state m_sync = sync_state::unknown;
    incarnation m_incarnation;
    bool m_incarnation_known = false;
    std::int64_t m_last_seq = 0;
    std::optional<holder_slot> m_slot;
};

struct retired_slot
{
    holder_slot m_slot;
    int m_passes_left = passes_until_clean;
};

} // namespace

class prefix_index::impl
{
public:
    explicit impl(byte_count max_memory)
        : m_table(static_cast<std::size_t>(
              std::max<std::int64_t>(max_memory.value(), 0)))
    {
    }

    engine_state& engine(engine_number number)
    {
        if (number >= m_engines.size())
        {
            m_engines.resize(number + 1U);
        }
        return m_engines[number];
    }

    /** Retires the engine's slot. The sweep removes its entries later, so that
     *  dropping an engine takes constant time. */
    void retire_slot(engine_state& state)
    {
        if (state.m_slot)
        {
            remove_slot(m_live, *state.m_slot);
            m_retired.push_back({*state.m_slot});
            state.m_slot.reset();
        }
    }

    void require_snapshot(engine_state& state, incarnation number)
    {
        retire_slot(state);
        state.m_sync = sync_state::awaiting_snapshot;
        state.m_incarnation = number;
        state.m_incarnation_known = true;
        state.m_last_seq = 0;
    }

    holder_slot slot_of(engine_number number)
    {
        engine_state& state = engine(number);
        if (!state.m_slot)
        {
            state.m_slot = new_slot();
            add_slot(m_live, *state.m_slot);
            m_owner.resize(
                std::max<std::size_t>(m_owner.size(), *state.m_slot + 1U));
            m_owner[*state.m_slot] = number;
        }
        return *state.m_slot;
    }

    void store(engine_number number, std::span<block_hash const> blocks)
    {
        holder_slot const slot = slot_of(number);
        for (block_hash const block : blocks)
        {
            m_table.add(block, slot, m_live);
        }
        if (!m_retired.empty())
        {
            sweep(blocks.size() * sweep_per_block);
        }
    }

    void evict(engine_number number, std::span<block_hash const> blocks)
    {
        engine_state const& state = engine(number);
        if (!state.m_slot)
        {
            return;
        }
        for (block_hash const block : blocks)
        {
            m_table.remove(block, *state.m_slot);
        }
    }

    /** @return false if seq has a gap before the event */
    bool apply_event(engine_number number, cache_event const& event)
    {
        engine_state& state = engine(number);
        if (event.m_seq <= state.m_last_seq)
        {
            return true; // duplicate delivery
        }
        if (event.m_seq != state.m_last_seq + 1)
        {
            return false;
        }
        if (event.m_kind == cache_event_kind::stored)
        {
            store(number, event.m_blocks);
        }
        else
        {
            evict(number, event.m_blocks);
        }
        engine(number).m_last_seq = event.m_seq;
        return true;
    }

    void lookup(block_chain const& chain, cached_blocks& result)
    {
        result.assign(m_engines.size(), 0);
        m_matching = m_live;
        std::size_t depth = 0;
        for (block_hash const block : chain.m_blocks)
        {
            m_diverged = m_matching;
            if (depth == max_depth || !m_table.intersect(block, m_matching))
            {
                break;
            }
            for (std::size_t word = 0; word < m_matching.size(); ++word)
            {
                m_diverged[word] &= ~m_matching[word];
            }
            set_depth(m_diverged, depth, result);
            ++depth;
            if (std::all_of(m_matching.begin(), m_matching.end(),
                            [](std::uint64_t word) { return word == 0; }))
            {
                return;
            }
        }
        set_depth(m_matching, depth, result);
    }

    block_table m_table;
    std::vector<engine_state> m_engines;

private:
    holder_slot new_slot()
    {
        if (!m_free_slots.empty())
        {
            holder_slot const slot = m_free_slots.back();
            m_free_slots.pop_back();
            return slot;
        }
        if (m_next_slot == std::numeric_limits<holder_slot>::max())
        {
            while (m_free_slots.empty() && !m_retired.empty())
            {
                sweep(m_table.size() + 1);
            }
            if (m_free_slots.empty())
            {
                throw error("the prefix index has no engine slot left");
            }
            return new_slot();
        }
        return m_next_slot++;
    }

    void sweep(std::size_t records)
    {
        if (!m_table.sweep(records, m_live))
        {
            return;
        }
        for (retired_slot& item : m_retired)
        {
            if (--item.m_passes_left == 0)
            {
                m_free_slots.push_back(item.m_slot);
            }
        }
        std::erase_if(m_retired, [](retired_slot const& item)
                      { return item.m_passes_left == 0; });
    }

    void set_depth(slot_set const& set, std::size_t depth,
                   cached_blocks& result) const
    {
        if (depth == 0)
        {
            return;
        }
        for (std::size_t word = 0; word < set.size(); ++word)
        {
            for (std::uint64_t bits = set[word]; bits != 0; bits &= bits - 1)
            {
                std::size_t const slot =
                    word * slots_per_word +
                    static_cast<std::size_t>(std::countr_zero(bits));
                result[m_owner[slot]] = static_cast<std::uint16_t>(depth);
            }
        }
    }

    slot_set m_live;
    slot_set m_matching;                ///< buffer of lookup()
    slot_set m_diverged;                ///< buffer of lookup()
    std::vector<engine_number> m_owner; ///< by slot
    std::vector<holder_slot> m_free_slots;
    std::vector<retired_slot> m_retired;
    holder_slot m_next_slot = 0;
};

prefix_index::prefix_index(byte_count max_memory)
    : m_impl(std::make_unique<impl>(max_memory))
{
}

prefix_index::~prefix_index() = default;

std::optional<snapshot_request>
prefix_index::apply(engine_number engine, incarnation number,
                    std::span<cache_event const> events)
{
    engine_state& state = m_impl->engine(engine);
    if (!state.m_incarnation_known || state.m_incarnation != number)
    {
        m_impl->require_snapshot(state, number);
    }
    if (state.m_sync == sync_state::awaiting_snapshot && !events.empty() &&
        events.front().m_seq == 1)
    {
        // The events are complete since the engine's start.
        state.m_sync = sync_state::in_sync;
        state.m_last_seq = 0;
    }
    for (cache_event const& event : events)
    {
        if (m_impl->engine(engine).m_sync != sync_state::in_sync)
        {
            break;
        }
        if (!m_impl->apply_event(engine, event))
        {
            m_impl->require_snapshot(m_impl->engine(engine), number);
        }
    }
    if (m_impl->engine(engine).m_sync == sync_state::in_sync)
    {
        return std::nullopt;
    }
    return snapshot_request{engine, number};
}

bool prefix_index::apply(engine_number engine, cache_snapshot const& snapshot)
{
    engine_state& state = m_impl->engine(engine);
    bool const is_other = state.m_incarnation_known &&
                          state.m_incarnation != snapshot.m_incarnation;
    bool const is_old = state.m_sync == sync_state::in_sync &&
                        snapshot.m_seq < state.m_last_seq;
    if (is_other || is_old)
    {
        return false;
    }
    m_impl->require_snapshot(state, snapshot.m_incarnation);
    state.m_sync = sync_state::in_sync;
    state.m_last_seq = snapshot.m_seq;
    m_impl->store(engine, snapshot.m_blocks);
    return true;
}

bool prefix_index::note_incarnation(engine_number engine, incarnation number)
{
    engine_state& state = m_impl->engine(engine);
    if (state.m_incarnation_known && state.m_incarnation == number)
    {
        return false;
    }
    m_impl->require_snapshot(state, number);
    return true;
}

void prefix_index::drop(engine_number engine)
{
    engine_state& state = m_impl->engine(engine);
    m_impl->retire_slot(state);
    state = engine_state();
}

void prefix_index::assume_stored(engine_number engine, block_chain const& chain)
{
    m_impl->engine(engine);
    m_impl->store(engine, chain.m_blocks);
}

void prefix_index::lookup(block_chain const& chain, cached_blocks& result)
{
    m_impl->lookup(chain, result);
}

std::int64_t prefix_index::last_seq(engine_number engine) const
{
    return engine < m_impl->m_engines.size()
               ? m_impl->m_engines[engine].m_last_seq
               : 0;
}

std::size_t prefix_index::blocks() const
{
    return m_impl->m_table.size();
}

std::size_t prefix_index::entries() const
{
    return m_impl->m_table.entries();
}

std::size_t prefix_index::memory_bytes() const
{
    return m_impl->m_table.memory_bytes();
}

} // namespace daisylead::prefix
