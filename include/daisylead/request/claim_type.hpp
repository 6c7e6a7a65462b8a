/** @file Requests, actions and options of idempotency claims. */
#pragma once

#include <daisylead/request/request_type.hpp>
#include <daisylead/table/table_type.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace daisylead::request
{

/** A non-repeatable request, which needs a claim before it is sent. */
struct claim_request
{
    request_id m_id;                ///< unique in the fleet
    organisation_id m_organisation; ///< owner of the idempotency key
    std::string m_key;              ///< idempotency key, any bytes
    std::string m_body_digest;      ///< see request_info::m_body_digest
    time_point m_deadline;          ///< deadline of the caller
    /** Wall-clock time in ms, stored for the retention of claim rows. */
    std::int64_t m_wall_ms = 0;
};

/** Executes a table transaction; the reply goes to claim_flow::on_transaction.
 */
struct claim_transact
{
    std::uint64_t m_call = 0;                 ///< id of the call
    table::table_transaction m_transaction{}; ///< transaction to execute
};

/** Reads table rows; the reply goes to claim_flow::on_read. */
struct claim_read
{
    std::uint64_t m_call = 0;    ///< id of the call
    table::table_read m_query{}; ///< rows to read
};

/** Writes an object; the reply goes to claim_flow::on_object_written. */
struct claim_write_object
{
    std::uint64_t m_call = 0; ///< id of the call
    std::string m_name{};     ///< object name
    std::string m_content{};  ///< content of the object
};

/** Reads an object; the reply goes to claim_flow::on_object_read. */
struct claim_read_object
{
    std::uint64_t m_call = 0; ///< id of the call
    std::string m_name{};     ///< object name
};

/** Permits one send, which must follow at once. Not a final action: the result
 *  of the attempt must be reported to claim_flow::on_attempt. */
struct permit_send
{
    request_id m_request; ///< the request
    /** Requires a new connection, because an HTTP client may resend on its own
     *  when a reused connection fails. */
    bool m_fresh_connection = true;
};

/** Final action: answer with the response of the attempt that just ended. */
struct deliver_response
{
    request_id m_request; ///< the request
};

/** Final action: answer with the stored response of an earlier run. */
struct replay_response
{
    request_id m_request;                                ///< the request
    std::shared_ptr<stored_response const> m_response{}; ///< never null
};

/** Final action: answer with a refusal. */
struct refuse_claim
{
    request_id m_request; ///< the request
    refusal m_refusal{};  ///< the answer
};

using claim_action =
    std::variant<claim_transact, claim_read, claim_write_object,
                 claim_read_object, permit_send, deliver_response,
                 replay_response, refuse_claim>;

/** Identity of the claimant and limits of claim_flow. */
struct claim_options
{
    instance_id m_instance; ///< id of this instance
    /** Incarnation of this instance; new at each start. */
    incarnation m_incarnation;
    std::chrono::milliseconds m_batch_delay{3}; ///< delay to batch table writes
    /** Maximum age of a claim that may be used for a send. It bounds how long a
     *  paused instance can hold an unused claim, and must stay far below the
     *  retention time of claim rows. */
    std::chrono::milliseconds m_max_claim_age{5000};
    /** Time limit for retries of a store. */
    std::chrono::milliseconds m_store_timeout{120000};
    std::size_t m_max_keys = 4096;  ///< limit of idempotency keys in progress
    std::size_t m_max_waiters = 64; ///< limit of requests per key
    std::size_t m_max_releases = 1024;   ///< limit of pending releases
    std::size_t m_max_sent_calls = 4096; ///< limit of remembered sent calls
    /** Limit of response bytes that wait for their store. */
    std::size_t m_max_store_bytes = 16U << 20U;
};

/** Functions that the owner of a claim_flow provides. */
struct claim_hooks
{
    std::function<std::uint64_t()> m_random; ///< uniform 64-bit numbers
    /** Returns whether a claimant may still be running; false only if it is
     *  known to be dead. */
    std::function<bool(instance_id const&, incarnation)> m_is_instance_alive;
};

} // namespace daisylead::request
