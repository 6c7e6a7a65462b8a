/** @file Actions that the control state asks for. */
#pragma once

#include <daisylead/core/operation_type.hpp>
#include <daisylead/core/publish_type.hpp>
#include <daisylead/orders/order_type.hpp>
#include <daisylead/peer/message_type.hpp>
#include <daisylead/request/request_type.hpp>
#include <daisylead/table/table_type.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace daisylead::core
{

/** Sends the request to an upstream. */
struct start_attempt
{
    request_id m_request;            ///< the request
    attempt_id m_attempt;            ///< unique id of this attempt
    upstream_id m_upstream;          ///< chosen upstream
    std::string m_address;           ///< its "IP:port"
    organisation_id m_organisation;  ///< empty on routes open to all
    bool m_engine = false;           ///< engine protocol, else plain service
    bool m_fresh_connection = false; ///< see http::client_request
    std::string m_model;             ///< model or adapter to name to the engine
    std::string m_cache_salt;        ///< scope of the engine's prompt cache
    std::string m_weights_version;   ///< version the engine must serve
    std::vector<std::string> m_blocks; ///< hash chain of the prompt, hex
    int m_priority = 0;                ///< 0 is the most urgent
    token_count m_max_tokens;          ///< generation limit
    duration m_timeout{};              ///< time left until the deadline
};

/** Cancels an attempt; its end is reported as cancelled. */
struct cancel_attempt
{
    request_id m_request; ///< its request
    attempt_id m_attempt; ///< the attempt
};

/** Delivers the answer of the last attempt and ends the request. */
struct complete_request
{
    request_id m_request; ///< the request
};

/** Answers the request with the stored answer of an earlier run. */
struct replay_answer
{
    request_id m_request;                                       ///< the request
    std::shared_ptr<request::stored_response const> m_response; ///< not null
};

/** Answers the request with a refusal, or a stream with an error event. */
struct refuse_request
{
    request_id m_request;       ///< the request
    request::refusal m_refusal; ///< final answer
};

/** Answers GET /v1/models. */
struct list_models
{
    request_id m_request;              ///< the request
    std::vector<std::string> m_models; ///< permitted models and adapters
};

/** Runs a transaction of the platform's table. */
struct run_transaction
{
    operation_id m_operation;                 ///< for the answer
    table::table_transaction m_transaction{}; ///< what to do
};

/** Reads rows of the platform's table. */
struct read_table
{
    operation_id m_operation;    ///< for the answer
    table::table_read m_query{}; ///< what to read
};

/** Reads an object. */
struct read_object
{
    operation_id m_operation; ///< for the answer
    std::string m_name{};     ///< object
};

/** Writes an object. */
struct write_object
{
    operation_id m_operation; ///< for the answer
    std::string m_name{};     ///< object
    std::string m_content{};  ///< its content
};

/** Reads the platform's list of instances and upstreams. */
struct list_instances
{
};

/** Sends a message to another instance. */
struct send_to_peer
{
    operation_id m_operation;              ///< for the answer
    std::string m_address{};               ///< "IP:port"
    peer::message m_message{};             ///< content
    std::chrono::milliseconds m_timeout{}; ///< until the reply
};

/** Answers a message of another instance. */
struct reply_to_peer
{
    std::uint64_t m_reply_token = 0; ///< of the message
    peer::message m_message{};       ///< content
};

/** Reads an engine's load report. */
struct read_load
{
    upstream_id m_upstream; ///< the engine
    std::string m_address;  ///< its "IP:port"
};

/** Reads an engine's cache events. */
struct read_cache_events
{
    upstream_id m_upstream;   ///< the engine
    std::string m_address;    ///< its "IP:port"
    std::int64_t m_after = 0; ///< last sequence number known
};

/** Reads an engine's whole cache. */
struct read_cache_snapshot
{
    upstream_id m_upstream; ///< the engine
    std::string m_address;  ///< its "IP:port"
};

/** Answers an operator who published a configuration. */
struct answer_operator
{
    publish_answer m_answer; ///< outcome
};

/** From now on each response closes its connection. */
struct close_connections
{
};

/** The graceful shutdown has ended; the process may exit. */
struct drained
{
};

/** Writes a log record. */
struct write_log
{
    bool m_warning = false; ///< else informational
    std::string m_event;    ///< short fixed name
    std::string m_detail;   ///< text without keys and prompts
    request_id m_request{}; ///< if it concerns one
};

using action =
    std::variant<start_attempt, cancel_attempt, complete_request, replay_answer,
                 refuse_request, list_models, run_transaction, read_table,
                 read_object, write_object, list_instances, send_to_peer,
                 reply_to_peer, read_load, read_cache_events,
                 read_cache_snapshot, orders::send_order, orders::read_state,
                 answer_operator, close_connections, drained, write_log>;

} // namespace daisylead::core
