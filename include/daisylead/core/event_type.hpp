/** @file Events that the control state takes. */
#pragma once

#include <daisylead/core/operation_type.hpp>
#include <daisylead/orders/order_type.hpp>
#include <daisylead/peer/message_type.hpp>
#include <daisylead/prefix/cache_event_type.hpp>
#include <daisylead/request/request_type.hpp>
#include <daisylead/routing/upstream_type.hpp>
#include <daisylead/table/table_type.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisylead::core
{

/** A caller's request was received and parsed. */
struct request_arrived
{
    request::request_info m_request; ///< the request
};

/** The caller closed its connection. */
struct caller_gone
{
    request_id m_request; ///< request whose caller left
};

/** The first bytes of a stream came. */
struct first_token_received
{
    request_id m_request; ///< its request
    attempt_id m_attempt; ///< the attempt
};

/** An attempt at an upstream ended. */
struct attempt_ended
{
    request_id m_request;             ///< its request
    attempt_id m_attempt;             ///< the attempt
    request::attempt_result m_result; ///< how it ended
};

/** Answer to run_transaction. */
struct transaction_ended
{
    operation_id m_operation;           ///< of the action
    table::transaction_reply m_reply{}; ///< outcome
};

/** Answer to read_table. */
struct table_read_ended
{
    operation_id m_operation;    ///< of the action
    table::read_reply m_reply{}; ///< rows, if it succeeded
};

/** Answer to read_object. */
struct object_read_ended
{
    operation_id m_operation;               ///< of the action
    std::optional<std::string> m_content{}; ///< absent if it failed
};

/** Answer to write_object. */
struct object_write_ended
{
    operation_id m_operation; ///< of the action
    bool m_stored = false;    ///< whether the store confirmed it
};

/** Answer to list_instances. */
struct machines_listed
{
    /** Absent if the list could not be read. */
    std::optional<std::vector<table::listed_instance>> m_machines;
};

/** Answer to send_to_peer. */
struct peer_replied
{
    operation_id m_operation;               ///< of the action
    std::optional<peer::message> m_reply{}; ///< absent if none came in time
};

/** A message of another instance. */
struct peer_message_received
{
    std::uint64_t m_reply_token = 0; ///< for reply_to_peer
    peer::message m_message{};       ///< content
};

/** Answer to read_load. */
struct load_read_ended
{
    upstream_id m_upstream; ///< the engine
    /** Absent if it could not be read. */
    std::optional<routing::load_report> m_report{};
    bool m_refused = false; ///< the connection was refused
};

/** Answer to read_cache_events. */
struct cache_events_read
{
    upstream_id m_upstream;                      ///< the engine
    incarnation m_incarnation;                   ///< of the engine
    std::vector<prefix::cache_event> m_events{}; ///< in order
};

/** Answer to read_cache_snapshot. */
struct cache_snapshot_read
{
    upstream_id m_upstream; ///< the engine
    /** Absent if it could not be read. */
    std::optional<prefix::cache_snapshot> m_snapshot{};
};

/** Answer to orders::read_state. */
struct engine_state_read
{
    std::uint64_t m_read = 0; ///< of the action
    /** Absent if it could not be read. */
    std::optional<orders::engine_state> m_state{};
};

/** Answer to orders::send_order. */
struct order_ended
{
    std::uint64_t m_order = 0; ///< of the action
    orders::order_outcome m_outcome = orders::order_outcome::unknown; ///< end
};

/** An operator publishes a configuration. */
struct publish_requested
{
    std::uint64_t m_token = 0; ///< for answer_operator
    config_version m_expected; ///< version that the change is based on
    std::string m_text{};      ///< TOML document
};

/** The operator or the platform asks this instance to shut down gracefully. */
struct drain_requested
{
};

/** A timer that next_timer() announced is due. */
struct timer_due
{
};

using event =
    std::variant<request_arrived, caller_gone, first_token_received,
                 attempt_ended, transaction_ended, table_read_ended,
                 object_read_ended, object_write_ended, machines_listed,
                 peer_replied, peer_message_received, load_read_ended,
                 cache_events_read, cache_snapshot_read, engine_state_read,
                 order_ended, publish_requested, drain_requested, timer_due>;

} // namespace daisylead::core
