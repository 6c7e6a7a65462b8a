/** @file Results of the operator command, as text or JSON. */
#pragma once

#include "operator_client.hpp"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace daisylead::ctl
{

/** Prints findings: as lines on the standard error output, or as JSON on the
 *  standard output. */
void print_findings(std::vector<finding> const& findings, bool json);

/** Prints the outcome of a change.
 *  @param extra further fields of the JSON form, an object
 *  @return the exit code */
int print_outcome(apply_result const& result, bool json,
                  nlohmann::json const& extra);

} // namespace daisylead::ctl
