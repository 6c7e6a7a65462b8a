/** @file Exit codes of the operator command. */
#pragma once

namespace daisylead::ctl
{

constexpr int exit_done = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;
constexpr int exit_findings = 3;    ///< the document has problems
constexpr int exit_conflict = 4;    ///< another version is in force
constexpr int exit_committed = 5;   ///< not confirmed everywhere yet
constexpr int exit_unreachable = 6; ///< no instance answered

} // namespace daisylead::ctl
