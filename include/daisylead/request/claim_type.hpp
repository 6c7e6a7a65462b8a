/** @file Calls, actions and limits of claims on non-repeatable requests. */
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

/** A non-repeatable request that wants to run. */
struct claim_request
{
    request_id m_id;                ///< unique in the fleet
    organisation_id m_organisation; ///< owner of the idempotency key
    std::string m_key;              ///< idempotency key, any bytes
    std::string m_body_digest;      ///< see request_info::m_body_digest
    time_point m_deadline;          ///< of the caller
    std::int64_t m_wall_ms = 0; ///< wall-clock time in ms, kept for retention
};

/** Runs a table transaction; answered by claim_flow::on_transaction. */
struct claim_transact
{
    std::uint64_t m_call = 0;                 ///< names the call
    table::table_transaction m_transaction{}; ///< what to run
};

/** Reads table rows; answered by claim_flow::on_read. */
struct claim_read
{
    std::uint64_t m_call = 0;    ///< names the call
    table::table_read m_query{}; ///< what to read
};

/** Writes an object; answered by claim_flow::on_object_written. */
struct claim_write_object
{
    std::uint64_t m_call = 0; ///< names the call
    std::string m_name{};     ///< name of the object
    std::string m_content{};  ///< bytes of the object
};

/** Reads an object; answered by claim_flow::on_object_read. */
struct claim_read_object
{
    std::uint64_t m_call = 0; ///< names the call
    std::string m_name{};     ///< name of the object
};

/** Permits one send, which must follow at once. Not a final answer: the result
 *  of the attempt must be reported by claim_flow::on_attempt. */
struct permit_send
{
    request_id m_request; ///< the request
    /** An HTTP client may resend on its own when a reused connection fails. */
    bool m_fresh_connection = true;
};

/** Final: answer with the response of the attempt that just ended. */
struct deliver_response
{
    request_id m_request; ///< the request
};

/** Final: answer with the response of an earlier run. */
struct replay_response
{
    request_id m_request;                                ///< the request
    std::shared_ptr<stored_response const> m_response{}; ///< never null
};

/** Final: answer with a refusal. */
struct refuse_claim
{
    request_id m_request; ///< the request
    refusal m_refusal{};  ///< the answer
};

using claim_action =
    std::variant<claim_transact, claim_read, claim_write_object,
                 claim_read_object, permit_send, deliver_response,
                 replay_response, refuse_claim>;

/** Identity of the claimant and limits. */
struct claim_options
{
    instance_id m_instance;                     ///< id of this instance
    incarnation m_incarnation;                  ///< changes with each start
    std::chrono::milliseconds m_batch_delay{3}; ///< collects table writes
    /** A claim that is older is not used for a send. It bounds how long a
     *  paused instance can hold an unused claim, and must stay far below the
     *  retention time of claim rows. */
    std::chrono::milliseconds m_max_claim_age{5000};
    std::chrono::milliseconds m_store_timeout{120000}; ///< retries of a store
    std::size_t m_max_keys = 4096;       ///< idempotency keys in progress
    std::size_t m_max_waiters = 64;      ///< requests of one key
    std::size_t m_max_releases = 1024;   ///< claims to release later
    std::size_t m_max_sent_calls = 4096; ///< keys whose call was sent
    std::size_t m_max_store_bytes = 16U << 20U; ///< responses being stored
};

/** Decisions that are made elsewhere. */
struct claim_hooks
{
    std::function<std::uint64_t()> m_random; ///< uniform 64-bit numbers
    /** Tells whether a claimant may still be running. False only if it is known
     *  to be dead. */
    std::function<bool(instance_id const&, incarnation)> m_is_instance_alive;
};

} // namespace daisylead::request
