/** @file Identification of operations between actions and their replies. */
#pragma once

#include <cstdint>

namespace daisylead::core
{

/** Part of the control state that started an operation. */
enum class component
{
    config_follower,
    config_publisher,
    membership,
    leases,
    limits,
    claims,
    orders,
    quarantine
};

/** Comes back unchanged with the reply of an operation. */
struct operation_id
{
    component m_component = component::membership; ///< who asked
    std::uint64_t m_number = 0;                    ///< unique per component
};

} // namespace daisylead::core
