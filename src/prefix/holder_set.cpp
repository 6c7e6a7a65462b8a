/** @file Set of the engine incarnations that cache a block. */
#include "holder_set.hpp"

#include <algorithm>
#include <bit>

namespace daisylead::prefix
{

namespace
{

/** Above this number of slots, a bitmap needs less memory and time. */
constexpr std::size_t max_list_size = 64;
constexpr unsigned bits_per_part = 16;
constexpr std::size_t parts_per_word = 4;

std::uint64_t word_at(std::vector<std::uint16_t> const& data, std::size_t word)
{
    std::uint64_t value = 0;
    for (std::size_t part = 0; part < parts_per_word; ++part)
    {
        std::size_t const position = word * parts_per_word + part;
        if (position < data.size())
        {
            value |= static_cast<std::uint64_t>(data[position])
                     << (part * bits_per_part);
        }
    }
    return value;
}

} // namespace

void add_slot(slot_set& set, holder_slot slot)
{
    std::size_t const word = slot / slots_per_word;
    if (word >= set.size())
    {
        set.resize(word + 1);
    }
    set[word] |= std::uint64_t{1} << (slot % slots_per_word);
}

void remove_slot(slot_set& set, holder_slot slot)
{
    std::size_t const word = slot / slots_per_word;
    if (word < set.size())
    {
        set[word] &= ~(std::uint64_t{1} << (slot % slots_per_word));
    }
}

bool holder_set::add(holder_slot slot)
{
    if (m_is_bits)
    {
        return add_bit(slot);
    }
    auto const place = std::lower_bound(m_data.begin(), m_data.end(), slot);
    if (place != m_data.end() && *place == slot)
    {
        return false;
    }
    m_data.insert(place, slot);
    ++m_count;
    if (m_data.size() > max_list_size)
    {
        list_to_bits();
    }
    return true;
}

bool holder_set::add_bit(holder_slot slot)
{
    std::size_t const part = slot / bits_per_part;
    if (part >= m_data.size())
    {
        m_data.resize(part + 1);
    }
    auto const bit = static_cast<std::uint16_t>(1U << (slot % bits_per_part));
    bool const added = (m_data[part] & bit) == 0;
    m_data[part] = static_cast<std::uint16_t>(m_data[part] | bit);
    m_count += added ? 1 : 0;
    return added;
}

bool holder_set::remove(holder_slot slot)
{
    bool removed = false;
    if (!m_is_bits)
    {
        auto const place = std::lower_bound(m_data.begin(), m_data.end(), slot);
        removed = place != m_data.end() && *place == slot;
        if (removed)
        {
            m_data.erase(place);
        }
    }
    else if (slot / bits_per_part < m_data.size())
    {
        std::uint16_t& part = m_data[slot / bits_per_part];
        auto const bit =
            static_cast<std::uint16_t>(1U << (slot % bits_per_part));
        removed = (part & bit) != 0;
        part = static_cast<std::uint16_t>(part & ~bit);
    }
    m_count -= removed ? 1 : 0;
    return removed;
}

std::size_t holder_set::purge(slot_set const& live)
{
    std::size_t const before = m_count;
    if (!m_is_bits)
    {
        std::erase_if(m_data, [&](std::uint16_t slot)
                      { return !contains(live, slot); });
        m_count = static_cast<std::uint32_t>(m_data.size());
        return before - m_count;
    }
    m_count = 0;
    for (std::size_t part = 0; part < m_data.size(); ++part)
    {
        std::size_t const word = part / parts_per_word;
        std::uint64_t const mask = word < live.size() ? live[word] : 0;
        m_data[part] = static_cast<std::uint16_t>(
            m_data[part] & (mask >> ((part % parts_per_word) * bits_per_part)));
        m_count += static_cast<std::uint32_t>(std::popcount(m_data[part]));
    }
    return before - m_count;
}

void holder_set::intersect(slot_set& set, slot_set& scratch) const
{
    if (m_is_bits)
    {
        for (std::size_t word = 0; word < set.size(); ++word)
        {
            set[word] &= word_at(m_data, word);
        }
        return;
    }
    scratch.assign(set.size(), 0);
    for (holder_slot const slot : m_data)
    {
        if (contains(set, slot))
        {
            add_slot(scratch, slot);
        }
    }
    set.swap(scratch);
}

void holder_set::list_to_bits()
{
    std::vector<std::uint16_t> const slots = std::move(m_data);
    m_data.clear();
    m_count = 0;
    m_is_bits = true;
    for (holder_slot const slot : slots)
    {
        add_bit(slot);
    }
}

} // namespace daisylead::prefix
