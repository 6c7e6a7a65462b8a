/** @file Decoding of what engines report. */
#pragma once

#include <daisylead/core/event_type.hpp>
#include <daisylead/http/client_base.hpp>

namespace daisylead::daemon
{

/** @return the event for the answer to GET /engine/load. */
core::load_read_ended decode_load(upstream_id const& upstream,
                                  http::client_response const& response);

/** @return the event for the answer to GET /engine/cache_events; incarnation 0
 *  if it could not be read. */
core::cache_events_read
decode_cache_events(upstream_id const& upstream,
                    http::client_response const& response);

/** @return the event for the answer to GET /engine/cache_snapshot. */
core::cache_snapshot_read
decode_cache_snapshot(upstream_id const& upstream,
                      http::client_response const& response);

/** @return the event for the answer to GET /engine/orders. */
core::engine_state_read
decode_engine_state(std::uint64_t read, http::client_response const& response);

/** @return the event for the answer to POST /engine/orders. */
core::order_ended decode_order(std::uint64_t order,
                               http::client_response const& response);

/** @return the body of POST /engine/orders. */
std::string encode_order(orders::send_order const& order);

} // namespace daisylead::daemon
