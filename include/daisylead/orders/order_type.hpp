/** @file Orders to engines and what engines report. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <chrono>
#include <map>
#include <string>
#include <variant>

namespace daisylead::orders
{

/** Term of the order lease: lets one instance at a time send orders. */
struct order_term
{
    fence_number m_fence;     ///< fencing number, grows with each term
    time_point m_valid_until; ///< end of the lease, local monotonic clock
    /** When the lease of any earlier holder has ended. */
    time_point m_previous_end;
};

/** Response of an engine to GET /engine/orders. */
struct engine_state
{
    bool m_loading = false;                        ///< weights are being loaded
    std::map<std::string, std::string> m_versions; ///< by model or adapter
};

enum class order_kind
{
    load_model,  ///< load the weights of a model
    load_adapter ///< load an adapter of a model
};

/** Model or adapter that an engine shall have loaded. */
struct order_item
{
    order_kind m_kind = order_kind::load_model; ///< what to load
    std::string m_name;                         ///< model or adapter
    std::string m_model;                        ///< base model
    std::string m_version;                      ///< of the weights

    bool operator==(order_item const&) const = default;
};

/** Order to send; its outcome goes to order_planner::on_order(). */
struct send_order
{
    std::uint64_t m_order = 0; ///< echoed to on_order()
    upstream_id m_upstream;    ///< the engine
    std::string m_address;     ///< its "IP:port"
    fence_number m_fence;      ///< of the term
    order_item m_item;         ///< what to load
    /** The caller checks its clock right before the send. From this time on it
     *  does not send the order and reports not_sent. */
    time_point m_send_before;
    std::chrono::milliseconds m_timeout{0}; ///< of the whole call
};

/** State of an engine to read; the result goes to order_planner::on_state().
 */
struct read_state
{
    std::uint64_t m_read = 0; ///< echoed to on_state()
    upstream_id m_upstream;   ///< the engine
    std::string m_address;    ///< its "IP:port"
};

/** Lease to release, since an engine has seen a newer term. */
struct end_term
{
    fence_number m_fence; ///< of the term that ended
};

using order_action = std::variant<send_order, read_state, end_term>;

enum class order_outcome
{
    accepted,    ///< the engine executes it
    refused,     ///< the engine returned an error
    stale_fence, ///< the engine has seen a newer term
    not_sent,    ///< no byte was sent
    unknown      ///< sent, without a response
};

} // namespace daisylead::orders
