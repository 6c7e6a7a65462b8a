/** @file The commands of the operator command. */
#pragma once

#include "operator_client.hpp"
#include "options.hpp"

namespace daisylead::ctl
{

/** Runs a command.
 *  @return the exit code
 *  @throws findings_error, unreachable_error, error */
int run(command_line const& line);

/** Creates a key, puts it in force and prints it once. */
int add_key(operator_client& client, command_line const& line);

/** Removes the one key that matches. */
int revoke_key(operator_client& client, command_line const& line);

} // namespace daisylead::ctl
