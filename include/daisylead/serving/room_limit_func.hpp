/** @file How full an engine's memory may get for a request. */
#pragma once

#include <daisylead/serving/catalog_type.hpp>

#include <vector>

namespace daisylead::serving
{

/** Requests to one service that have the same priority. */
struct request_class
{
    int m_priority = 0;              ///< 0 is the most urgent
    milliseconds m_target_latency{}; ///< longest of its routes
};

/** @return the classes of prompted requests to a service, most urgent
 *          first. */
std::vector<request_class> request_classes(catalog const& content,
                                           service_id const& service);

/** Max. fraction of an engine's memory that the requests there may need. What
 *  exceeds 1 waits at the engine, which admits by priority: a request waits for
 *  those of its own class and of more urgent ones. Each class gets as much
 *  waiting room as it can use within its latency target, beyond that of all
 *  less urgent classes, so that these never fill the room of an urgent one.
 *
 *  Designed for bursts of a less urgent kind with long prompts, which fill the
 *  memory of the engines before their slots.
 *  @param classes see request_classes()
 *  @param priority of the request
 *  @param target its latency target
 *  @param drain_time time in which an engine serves as much as its memory
 *         holds */
double room_limit(std::vector<request_class> const& classes, int priority,
                  milliseconds target, duration drain_time);

} // namespace daisylead::serving
