/** @file Compact hash table from blocks to the slots of their holders. */
#pragma once

#include "holder_set.hpp"

#include <daisylead/prefix/block_chain_type.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace daisylead::prefix
{

/** Hash table with open addressing, linear probing and 16-byte records. Up to
 *  three holders are stored in the record, more in a holder_set. Deletion
 *  shifts later records back, so there are no tombstones. */
class block_table
{
public:
    /** @param max_bytes bound on memory_bytes(), approximately */
    explicit block_table(std::size_t max_bytes);

    /** Adds a holder to a block; evicts old blocks if the table is full.
     *  @param live slots in use; other holders of the block are removed */
    void add(block_hash block, holder_slot slot, slot_set const& live);

    /** Removes a holder from a block, if the table has both. */
    void remove(block_hash block, holder_slot slot);

    /** Marks the block as recently used and restricts the set to its holders.
     *  @return false if the block is unknown; the set is then unchanged */
    bool intersect(block_hash block, slot_set& set);

    /** Removes holders that are not live from the next records of a circular
     *  pass.
     *  @param count number of records to visit
     *  @return true if this call finished a pass over the whole table */
    bool sweep(std::size_t count, slot_set const& live);

    /** @return number of blocks. */
    std::size_t size() const
    {
        return m_block_count;
    }

    /** @return number of (block, holder) entries. */
    std::size_t entries() const
    {
        return m_entries;
    }

    /** @return memory use of the records and the holder sets. */
    std::size_t memory_bytes() const;

private:
    static constexpr std::size_t inline_holders = 3;

    struct record
    {
        block_hash m_block = 0;
        std::array<holder_slot, inline_holders> m_holders{};
        std::uint8_t m_count = 0; ///< 0: free; see large_set_marker
        std::uint8_t m_epoch = 0; ///< of the last use, see m_epoch
    };

    /** Value of record::m_count if m_holders[0..1] are an index into
     *  m_large_sets. */
    static constexpr std::uint8_t large_set_marker =
        std::numeric_limits<std::uint8_t>::max();

    std::size_t home(block_hash block) const;
    std::size_t find(block_hash block) const;
    std::size_t insert(block_hash block);
    void erase_at(std::size_t position);
    void grow();
    void make_room();
    bool is_full() const;
    std::size_t used_bytes() const;
    void evict_oldest_of_sample();
    void advance_epoch();
    bool purge_record(std::size_t position, slot_set const& live);

    std::uint32_t large_set_index(record const& item) const;
    holder_set& large_set_of(record const& item);
    void convert_to_large(record& item);
    void release_large(record& item);

    std::vector<record> m_records;
    std::size_t m_homes = 0; ///< records that are a home position
    std::size_t m_max_bytes;
    std::size_t m_block_count = 0;
    std::size_t m_entries = 0;
    std::size_t m_sweep_position; ///< sweep() visits the record below it next
    std::size_t m_eviction_position = 0;
    std::size_t m_insertions_until_epoch = 0;
    std::uint8_t m_epoch = 0; ///< coarse time, counted in insertions
    std::vector<holder_set> m_large_sets;
    std::vector<std::uint32_t> m_free_large_sets;
    std::size_t m_large_set_bytes = 0;
    slot_set m_scratch; ///< buffer of intersect()
};

} // namespace daisylead::prefix
