/** @file Strong types for quantities, and the time types of the library. */
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>

namespace daisylead
{

/** Points of the monotonic clock; the decision library never reads it. */
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/** A 64-bit quantity of one unit, with the arithmetic of that unit. */
template <class Tag>
class quantity
{
public:
    constexpr quantity() = default;

    explicit constexpr quantity(std::int64_t value) : m_value(value) {}

    constexpr std::int64_t value() const
    {
        return m_value;
    }

    constexpr auto operator<=>(quantity const&) const = default;

    constexpr quantity operator+(quantity other) const
    {
        return quantity(m_value + other.m_value);
    }

    constexpr quantity operator-(quantity other) const
    {
        return quantity(m_value - other.m_value);
    }

    constexpr quantity& operator+=(quantity other)
    {
        m_value += other.m_value;
        return *this;
    }

    constexpr quantity& operator-=(quantity other)
    {
        m_value -= other.m_value;
        return *this;
    }

private:
    std::int64_t m_value = 0;
};

template <class Tag>
std::ostream& operator<<(std::ostream& stream, quantity<Tag> const& amount)
{
    return stream << amount.value();
}

using token_count = quantity<struct token_count_tag>; ///< tokens
using token_rate = quantity<struct token_rate_tag>;   ///< tokens per second
using byte_count = quantity<struct byte_count_tag>;   ///< bytes
using config_version = quantity<struct config_version_tag>; ///< 0: none
using fence_number = quantity<struct fence_number_tag>;     ///< 0: none
using incarnation = quantity<struct incarnation_tag>; ///< changes on restart

} // namespace daisylead

template <class Tag>
struct std::hash<daisylead::quantity<Tag>>
{
    std::size_t operator()(daisylead::quantity<Tag> amount) const noexcept
    {
        return std::hash<std::int64_t>{}(amount.value());
    }
};
