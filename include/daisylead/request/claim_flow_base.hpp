/** @file At-most-once execution: idempotency keys are claimed in the table
 *  before a request is sent. */
#pragma once

#include <daisylead/request/claim_type.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace daisylead::request
{

/** Manages the idempotency claims of one instance. Each request gets exactly
 *  one final action (deliver, replay or refuse), unless its caller
 *  disconnected. A send is permitted only while the table row of the key holds
 *  a token of this object that no earlier send has used, so a call runs at most
 *  once. "Not run" is answered only if the send was not permitted or failed
 *  before its first byte. A claim is never transferred to another instance.
 *
 *  Performs no I/O and reads no clock. Each call returns the actions to
 *  execute, in order. */
class claim_flow
{
public:
    using actions = std::vector<claim_action>;

    /** @param hooks both must be set */
    claim_flow(claim_options options, claim_hooks hooks);
    ~claim_flow();
    claim_flow(claim_flow const&) = delete;
    claim_flow& operator=(claim_flow const&) = delete;

    /** Begins a request. Called after admission, because the send has to follow
     *  the permit at once.
     *  @pre the id is not in use */
    actions begin(claim_request const& request, time_point now);

    /** Handles the reply to a claim_transact. */
    actions on_transaction(std::uint64_t call,
                           table::transaction_reply const& reply,
                           time_point now);

    /** Handles the reply to a claim_read. */
    actions on_read(std::uint64_t call, table::read_reply const& reply,
                    time_point now);

    /** Handles the reply to a claim_read_object.
     *  @param content nothing if the read failed */
    actions on_object_read(std::uint64_t call,
                           std::optional<std::string> const& content,
                           time_point now);

    /** Handles the reply to a claim_write_object. */
    actions on_object_written(std::uint64_t call, bool stored, time_point now);

    /** Handles the result of a permitted send. A send that was permitted but
     *  not started is reported as connect_failed. */
    actions on_attempt(request_id const& request, attempt_result const& result,
                       time_point now);

    /** Handles the disconnect of a caller. A permitted send continues, and its
     *  result must still be reported. */
    actions caller_gone(request_id const& request, time_point now);

    /** Executes expired timers. */
    actions on_timer(time_point now);

    /** @return the time of the next on_timer call, or nothing if no timer is
     *  set. */
    std::optional<time_point> next_timer() const;

    /** @return number of idempotency keys in progress, for metrics. */
    std::size_t keys_in_progress() const;

    /** @return number of claims whose release is pending, for metrics. */
    std::size_t releases_pending() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisylead::request
