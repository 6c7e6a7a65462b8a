/** @file Compact hash table from blocks to the slots of their holders. */
#include "block_table.hpp"

#include <algorithm>
#include <bit>

namespace daisylead::prefix
{

namespace
{

constexpr std::size_t initial_homes = 1024;
/** Extra records behind the last home position, so that probing never wraps
 *  around. Deletion then moves records towards lower positions only, as the
 *  sweep does, so no record can move past the sweep and be missed. */
constexpr std::size_t tail_records = 128;
/** Probe sequences grow quickly above a load factor of about 0.8. */
constexpr std::size_t max_load_percent = 80;
constexpr std::size_t growth_percent = 120;
constexpr std::size_t percent = 100;
/** Number of epochs in which a full table replaces all its blocks. */
constexpr std::size_t epochs_per_table = 64;
constexpr std::size_t eviction_sample = 32;
constexpr std::size_t max_evictions_per_insertion = 4;
constexpr unsigned half_bits = 32;
constexpr unsigned short_bits = 16;
constexpr std::size_t no_position = static_cast<std::size_t>(-1);

} // namespace

block_table::block_table(std::size_t max_bytes)
    : m_records(initial_homes + tail_records), m_homes(initial_homes),
      m_max_bytes(max_bytes), m_sweep_position(m_records.size())
{
}

std::size_t block_table::home(block_hash block) const
{
    return static_cast<std::size_t>(((block >> half_bits) * m_homes) >>
                                    half_bits);
}

std::size_t block_table::find(block_hash block) const
{
    for (std::size_t at = home(block); at < m_records.size(); ++at)
    {
        record const& item = m_records[at];
        if (item.m_count == 0)
        {
            return no_position;
        }
        if (item.m_block == block)
        {
            return at;
        }
    }
    return no_position;
}

std::size_t block_table::insert(block_hash block)
{
    make_room();
    for (;;)
    {
        for (std::size_t at = home(block); at < m_records.size(); ++at)
        {
            if (m_records[at].m_count == 0)
            {
                m_records[at] = record{block, {}, 0, m_epoch};
                return at;
            }
        }
        // The tail is full, which is very unlikely at the maximum load.
        grow();
    }
}

void block_table::add(block_hash block, holder_slot slot, slot_set const& live)
{
    std::size_t at = find(block);
    if (at != no_position && purge_record(at, live))
    {
        erase_at(at);
        at = no_position;
    }
    if (at == no_position)
    {
        at = insert(block);
        ++m_block_count;
        advance_epoch();
    }
    record& item = m_records[at];
    item.m_epoch = m_epoch;
    if (item.m_count != large_set_marker)
    {
        auto const end = item.m_holders.begin() + item.m_count;
        if (std::find(item.m_holders.begin(), end, slot) != end)
        {
            return;
        }
        if (item.m_count < inline_holders)
        {
            item.m_holders[item.m_count++] = slot;
            ++m_entries;
            return;
        }
        convert_to_large(item);
    }
    holder_set& set = large_set_of(item);
    m_large_set_bytes -= set.memory_bytes();
    m_entries += set.add(slot) ? 1 : 0;
    m_large_set_bytes += set.memory_bytes();
}

void block_table::remove(block_hash block, holder_slot slot)
{
    std::size_t const at = find(block);
    if (at == no_position)
    {
        return;
    }
    record& item = m_records[at];
    if (item.m_count == large_set_marker)
    {
        holder_set& set = large_set_of(item);
        m_entries -= set.remove(slot) ? 1 : 0;
        if (set.size() == 0)
        {
            erase_at(at);
        }
        return;
    }
    auto const end = item.m_holders.begin() + item.m_count;
    auto const found = std::find(item.m_holders.begin(), end, slot);
    if (found == end)
    {
        return;
    }
    if (item.m_count == 1)
    {
        erase_at(at);
        return;
    }
    *found = *(end - 1);
    --item.m_count;
    --m_entries;
}

bool block_table::intersect(block_hash block, slot_set& set)
{
    std::size_t const at = find(block);
    if (at == no_position)
    {
        return false;
    }
    record& item = m_records[at];
    item.m_epoch = m_epoch;
    if (item.m_count == large_set_marker)
    {
        large_set_of(item).intersect(set, m_scratch);
        return true;
    }
    m_scratch.assign(set.size(), 0);
    for (std::size_t index = 0; index < item.m_count; ++index)
    {
        if (contains(set, item.m_holders[index]))
        {
            add_slot(m_scratch, item.m_holders[index]);
        }
    }
    set.swap(m_scratch);
    return true;
}

bool block_table::sweep(std::size_t count, slot_set const& live)
{
    bool finished = false;
    for (std::size_t visited = 0; visited < count; ++visited)
    {
        if (m_sweep_position == 0)
        {
            m_sweep_position = m_records.size();
            finished = true;
        }
        --m_sweep_position;
        if (m_records[m_sweep_position].m_count != 0 &&
            purge_record(m_sweep_position, live))
        {
            erase_at(m_sweep_position);
        }
    }
    return finished;
}

std::size_t block_table::memory_bytes() const
{
    return m_records.capacity() * sizeof(record) +
           m_large_sets.capacity() * sizeof(holder_set) + m_large_set_bytes +
           m_free_large_sets.capacity() * sizeof(std::uint32_t);
}

/** Erases a record and shifts later records of its run into the gap.
 *  @pre the records from the position up to the next free one are one run */
void block_table::erase_at(std::size_t position)
{
    if (m_records[position].m_count == large_set_marker)
    {
        release_large(m_records[position]);
    }
    else
    {
        m_entries -= m_records[position].m_count;
    }
    --m_block_count;
    std::size_t hole = position;
    for (std::size_t at = position + 1; at < m_records.size(); ++at)
    {
        if (m_records[at].m_count == 0)
        {
            break;
        }
        if (home(m_records[at].m_block) <= hole)
        {
            m_records[hole] = m_records[at];
            hole = at;
        }
    }
    m_records[hole].m_count = 0;
}

void block_table::grow()
{
    std::vector<record> old;
    old.swap(m_records);
    m_homes = m_homes * growth_percent / percent;
    m_records.resize(m_homes + tail_records);
    m_sweep_position = m_records.size();
    m_eviction_position = 0;
    for (record const& item : old)
    {
        if (item.m_count == 0)
        {
            continue;
        }
        std::size_t at = home(item.m_block);
        while (at + 1 < m_records.size() && m_records[at].m_count != 0)
        {
            ++at;
        }
        if (m_records[at].m_count == 0)
        {
            m_records[at] = item;
            continue;
        }
        // Drops the block if its run reaches the end of the tail; the table is
        // only a hint.
        record lost = item;
        m_entries -= lost.m_count == large_set_marker ? 0 : lost.m_count;
        if (lost.m_count == large_set_marker)
        {
            release_large(lost);
        }
        --m_block_count;
    }
}

/** Grows the table or evicts blocks, so that load factor and memory stay in
 *  their bounds after an insertion. */
void block_table::make_room()
{
    std::size_t const growth = m_records.size() * sizeof(record) *
                               (growth_percent - percent) / percent;
    if (is_full() && used_bytes() + growth <= m_max_bytes)
    {
        grow();
        return;
    }
    for (std::size_t evicted = 0; evicted < max_evictions_per_insertion &&
                                  (is_full() || used_bytes() > m_max_bytes);
         ++evicted)
    {
        evict_oldest_of_sample();
    }
}

bool block_table::is_full() const
{
    return (m_block_count + 1) * percent > m_homes * max_load_percent;
}

/** @return memory use without unused capacity and unused holder sets, which
 *  eviction cannot reduce. */
std::size_t block_table::used_bytes() const
{
    return m_records.size() * sizeof(record) + m_large_set_bytes +
           (m_large_sets.size() - m_free_large_sets.size()) *
               sizeof(holder_set);
}

/** Evicts the least recently used block of a sample. An exact LRU order would
 *  need 8 bytes per block; the epoch of a sample needs one byte. */
void block_table::evict_oldest_of_sample()
{
    std::size_t oldest = no_position;
    std::uint8_t oldest_age = 0;
    std::size_t seen = 0;
    for (std::size_t step = 0;
         step < m_records.size() && seen < eviction_sample; ++step)
    {
        m_eviction_position = (m_eviction_position + 1) % m_records.size();
        record const& item = m_records[m_eviction_position];
        if (item.m_count == 0)
        {
            continue;
        }
        ++seen;
        auto const item_age = static_cast<std::uint8_t>(m_epoch - item.m_epoch);
        if (oldest == no_position || item_age > oldest_age)
        {
            oldest = m_eviction_position;
            oldest_age = item_age;
        }
    }
    if (oldest != no_position)
    {
        erase_at(oldest);
    }
}

void block_table::advance_epoch()
{
    if (m_insertions_until_epoch == 0)
    {
        m_insertions_until_epoch = m_homes / epochs_per_table + 1;
        ++m_epoch;
    }
    --m_insertions_until_epoch;
}

/** Removes holders that are not live from a record.
 *  @return whether no holder is left, so that the caller must erase the record
 */
bool block_table::purge_record(std::size_t position, slot_set const& live)
{
    record& item = m_records[position];
    if (item.m_count == large_set_marker)
    {
        holder_set& set = large_set_of(item);
        m_entries -= set.purge(live);
        return set.size() == 0;
    }
    std::uint8_t kept = 0;
    for (std::uint8_t index = 0; index < item.m_count; ++index)
    {
        if (contains(live, item.m_holders[index]))
        {
            item.m_holders[kept++] = item.m_holders[index];
        }
    }
    if (kept == 0)
    {
        return true;
    }
    m_entries -= item.m_count - kept;
    item.m_count = kept;
    return false;
}

std::uint32_t block_table::large_set_index(record const& item) const
{
    return item.m_holders[0] |
           (static_cast<std::uint32_t>(item.m_holders[1]) << short_bits);
}

holder_set& block_table::large_set_of(record const& item)
{
    return m_large_sets[large_set_index(item)];
}

void block_table::convert_to_large(record& item)
{
    if (m_free_large_sets.empty())
    {
        m_free_large_sets.push_back(
            static_cast<std::uint32_t>(m_large_sets.size()));
        m_large_sets.emplace_back();
    }
    std::uint32_t const index = m_free_large_sets.back();
    m_free_large_sets.pop_back();
    holder_set& set = m_large_sets[index];
    for (holder_slot const slot : item.m_holders)
    {
        set.add(slot);
    }
    m_large_set_bytes += set.memory_bytes();
    item.m_count = large_set_marker;
    item.m_holders[0] = static_cast<std::uint16_t>(index);
    item.m_holders[1] = static_cast<std::uint16_t>(index >> short_bits);
}

void block_table::release_large(record& item)
{
    std::uint32_t const index = large_set_index(item);
    holder_set& set = m_large_sets[index];
    m_entries -= set.size();
    m_large_set_bytes -= set.memory_bytes();
    set = holder_set();
    m_free_large_sets.push_back(index);
    item.m_count = 0;
}

} // namespace daisylead::prefix
