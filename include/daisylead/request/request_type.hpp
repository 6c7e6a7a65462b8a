/** @file Basic types of a request's life cycle. */
#pragma once

#include <daisylead/access/key_digest_type.hpp>
#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daisylead::request
{

enum class endpoint
{
    chat_completions, ///< POST /v1/chat/completions
    completions,      ///< POST /v1/completions
    models,           ///< GET /v1/models
    service           ///< a configured path prefix
};

/** Properties of a request that decisions depend on; the body stays with the
 *  traffic thread. */
struct request_info
{
    request_id m_id;                             ///< unique in the fleet
    endpoint m_endpoint = endpoint::service;     ///< endpoint of the request
    std::string m_path;                          ///< path of the request target
    std::optional<access::key_digest> m_key;     ///< digest of the caller's key
    std::string m_model;                         ///< requested model or adapter
    std::shared_ptr<std::string const> m_prompt; ///< canonical prompt bytes
    bool m_stream = false; ///< the caller requests a streamed answer
    std::optional<token_count> m_max_tokens;      ///< generation limit
    std::optional<std::string> m_idempotency_key; ///< as sent by the caller
    std::string m_body_digest; ///< SHA-256 of method, target and body, hex
    std::optional<duration> m_deadline; ///< from arrival, as sent by the caller
};

/** A complete response, which can be stored or replayed. */
struct stored_response
{
    int m_status = 0;           ///< HTTP status
    std::string m_content_type; ///< content type of the body
    std::string m_body;         ///< body bytes
};

enum class attempt_outcome
{
    complete,         ///< the answer was received completely
    connect_failed,   ///< no byte was sent
    broken,           ///< the connection ended early or the answer is invalid
    timed_out,        ///< a timeout after the request may have been sent
    cancelled,        ///< cancelled by this instance
    weights_mismatch, ///< the engine serves another weights version
    rejected          ///< the engine refused the request because of its load
};

/** Result of one attempt at an upstream. */
struct attempt_result
{
    attempt_outcome m_outcome = attempt_outcome::complete; ///< how it ended
    int m_http_status = 0;        ///< 0 if no response header was received
    bool m_may_have_sent = false; ///< a byte may have reached the upstream
    token_count m_generated;      ///< answer tokens generated so far
    /** Set if it was received completely. */
    std::shared_ptr<stored_response const> m_response;
    std::string m_message; ///< for logs and explanations
};

/** Machine-readable reasons for refusing a request. */
enum class refusal_code
{
    malformed,
    no_key,
    unknown_key,
    not_permitted,
    unknown_model,
    unknown_route,
    key_reused,
    outcome_unknown,
    over_limit,
    overloaded,
    no_upstream,
    upstream_failed,
    not_ready,
    deadline_exceeded,
    quarantined,
    idempotency_key_missing
};

enum class run_outcome
{
    not_run, ///< no byte of the request reached an upstream
    unknown, ///< the request may have run
    done     ///< the request ran and the answer is known
};

/** The final answer to a request that gets no response of an upstream. */
struct refusal
{
    refusal_code m_code = refusal_code::malformed; ///< reason
    run_outcome m_outcome = run_outcome::not_run;  ///< reported to the caller
    std::optional<duration> m_retry_after;         ///< delay for Retry-After
    std::string m_message;                         ///< message for the caller
};

/** @return the HTTP status of a refusal. */
int http_status(refusal_code code);

/** @return the code as written in error bodies, for example "over_limit". */
std::string to_string(refusal_code code);

/** @return the value of X-Daisylead-Outcome. */
std::string to_string(run_outcome outcome);

/** @return the name used in logs and explanations. */
std::string to_string(attempt_outcome outcome);

} // namespace daisylead::request
