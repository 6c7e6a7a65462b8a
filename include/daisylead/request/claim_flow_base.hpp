/** @file At most once: claims on idempotency keys before a request is sent. */
#pragma once

#include <daisylead/request/claim_type.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace daisylead::request
{

/** Claims of one instance. Each request that begins gets exactly one final
 *  action (deliver, replay or refuse), unless its caller is gone. A send is
 *  permitted only while the table row of the key holds a token of this object
 *  that was never used for a send, so a call runs at most once. "Not run" is
 *  answered only to a request whose send was not permitted or failed before its
 *  first byte. A claim is never transferred to another instance.
 *
 *  Pure logic: does no I/O and reads no clock. All calls return the actions to
 *  carry out, in order. */
class claim_flow
{
public:
    using actions = std::vector<claim_action>;

    /** @param hooks both must be set */
    claim_flow(claim_options options, claim_hooks hooks);
    ~claim_flow();
    claim_flow(claim_flow const&) = delete;
    claim_flow& operator=(claim_flow const&) = delete;

    /** Begins a request, after admission so that the send can follow at once.
     *  @pre the id is not in use */
    actions begin(claim_request const& request, time_point now);

    /** Takes the answer to a claim_transact. */
    actions on_transaction(std::uint64_t call,
                           table::transaction_reply const& reply,
                           time_point now);

    /** Takes the answer to a claim_read. */
    actions on_read(std::uint64_t call, table::read_reply const& reply,
                    time_point now);

    /** Takes the answer to a claim_read_object; nothing if it failed. */
    actions on_object_read(std::uint64_t call,
                           std::optional<std::string> const& content,
                           time_point now);

    /** Takes the answer to a claim_write_object. */
    actions on_object_written(std::uint64_t call, bool stored, time_point now);

    /** Takes the result of the send that was permitted. A send that was
     *  permitted but not begun is reported as connect_failed. */
    actions on_attempt(request_id const& request, attempt_result const& result,
                       time_point now);

    /** The caller needs no answer any more. A send that was permitted goes on,
     *  and its result must still be reported. */
    actions caller_gone(request_id const& request, time_point now);

    /** Does what is due. */
    actions on_timer(time_point now);

    /** @return when on_timer is needed next, if at all. */
    std::optional<time_point> next_timer() const;

    /** @return idempotency keys in progress, for metrics. */
    std::size_t keys_in_progress() const;

    /** @return claims that wait for their release, for metrics. */
    std::size_t releases_pending() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisylead::request
