/** @file Logs as JSON lines. */
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace daisylead::telemetry
{

enum class severity
{
    debug,
    info,
    warning,
    error
};

enum class log_target
{
    standard_error,  ///< written at once
    standard_output, ///< written by a thread of its own; lines that it cannot
                     ///< write in time are dropped, so nobody waits for it
};

/** Sends log records to a standard stream, one JSON object on each line.
 *  @param level least severity that is written: debug, info, warning, error
 *  @param instance value of the "instance" field */
void start_logging(std::string const& level, std::string const& instance,
                   log_target target = log_target::standard_error);

/** Writes what has been logged, as far as that takes a short time only. */
void stop_logging();

/** Writes one record.
 *  @param event short fixed name of what happened
 *  @param fields further fields; never keys or prompts */
void log(severity level, std::string const& event,
         nlohmann::json const& fields);

} // namespace daisylead::telemetry
