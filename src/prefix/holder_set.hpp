/** @file Set of the engine incarnations that cache a block. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace daisylead::prefix
{

/** Number of one engine incarnation in holder sets. An engine gets a new slot
 *  after its entries were dropped. */
using holder_slot = std::uint16_t;

/** Set of holder slots as a bitmap. */
using slot_set = std::vector<std::uint64_t>;

constexpr unsigned slots_per_word = 64;

inline bool contains(slot_set const& set, holder_slot slot)
{
    std::size_t const word = slot / slots_per_word;
    return word < set.size() && ((set[word] >> (slot % slots_per_word)) & 1U);
}

/** Adds a slot; widens the bitmap if needed. */
void add_slot(slot_set& set, holder_slot slot);

/** Removes a slot, if it is in the set. */
void remove_slot(slot_set& set, holder_slot slot);

/** Slots of the holders of one block: a sorted list, or a bitmap if there are
 *  many. */
class holder_set
{
public:
    /** @return whether the slot was added; false if it was in the set. */
    bool add(holder_slot slot);

    /** @return whether the slot was removed; false if it was not in the set. */
    bool remove(holder_slot slot);

    /** Removes the slots that are not live.
     *  @return number of removed slots */
    std::size_t purge(slot_set const& live);

    /** Removes from a bitmap the slots that are not in this set.
     *  @param scratch buffer, overwritten */
    void intersect(slot_set& set, slot_set& scratch) const;

    /** @return number of slots. */
    std::size_t size() const
    {
        return m_count;
    }

    /** @return memory use outside the object itself. */
    std::size_t memory_bytes() const
    {
        return m_data.capacity() * sizeof(std::uint16_t);
    }

private:
    void list_to_bits();
    bool add_bit(holder_slot slot);

    std::vector<std::uint16_t> m_data; ///< slots, or 16-bit parts of bits
    std::uint32_t m_count = 0;
    bool m_is_bits = false;
};

} // namespace daisylead::prefix
