/** @file Answers to operators who publish a configuration. */
#pragma once

#include <daisylead/base/error_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace daisylead::core
{

/** Identifies one call of an operator. */
using operator_token = std::uint64_t;

enum class publish_status
{
    accepted,  ///< in force on every instance that may serve
    committed, ///< committed; not yet confirmed everywhere
    conflict,  ///< another version won
    invalid,   ///< the document has findings
    failed     ///< not committed, or the outcome is not known
};

/** @return the status as it stands in answers, for example "accepted". */
std::string to_string(publish_status status);

/** Answer to an operator who published a configuration. */
struct publish_answer
{
    operator_token m_token = 0;                       ///< the call
    publish_status m_status = publish_status::failed; ///< outcome
    config_version m_version; ///< version committed, or the one that won
    std::vector<finding> m_findings{};        ///< of an invalid document
    std::string m_message{};                  ///< text for the operator
    std::vector<std::string> m_outstanding{}; ///< instances not confirmed
};

} // namespace daisylead::core
