/** @file Implementation of claim_flow. */
#pragma once

#include "claim_row.hpp"
#include "release_list.hpp"
#include "row_writer.hpp"
#include "sent_call_cache.hpp"

#include <daisylead/request/claim_flow_base.hpp>

#include <set>
#include <unordered_map>
#include <utility>

namespace daisylead::request
{

/** Implementation of claim_flow. */
class claim_flow::impl
{
public:
    impl(claim_options options, claim_hooks hooks);

    void begin(claim_request const& request, time_point now);
    void on_transaction(std::uint64_t call,
                        table::transaction_reply const& reply, time_point now);
    void on_read(std::uint64_t call, table::read_reply const& reply,
                 time_point now);
    void on_object_read(std::uint64_t call,
                        std::optional<std::string> const& content,
                        time_point now);
    void on_object_written(std::uint64_t call, bool stored, time_point now);
    void on_attempt(request_id const& request, attempt_result const& result,
                    time_point now);
    void caller_gone(request_id const& request, time_point now);
    void on_timer(time_point now);
    std::optional<time_point> next_timer() const;

    /** Starts due releases, writes and reads, and returns all pending actions.
     */
    actions take_actions(time_point now);

    std::size_t keys_in_progress() const
    {
        return m_keys.size();
    }

    std::size_t releases_pending() const
    {
        return m_releases.size();
    }

private:
    enum class stage
    {
        claiming,       ///< a write of the claim is in flight
        reading_back,   ///< the reply to the write was lost; the row is being
                        ///< read
        waiting,        ///< another instance holds the claim; the row is polled
        permitted,      ///< the first request may be sent
        fetching,       ///< an object with the stored body is being read
        storing_object, ///< the body of the response is being written
        storing         ///< the outcome is being written
    };

    struct waiter
    {
        request_id m_id;         ///< the request
        time_point m_wait_until; ///< end of the wait for another instance's run
        /** It joined while a read or write was in flight, whose reply may
         *  describe a state from before this request began. */
        bool m_joined_late = false;
        bool m_caller_gone = false; ///< its caller disconnected
    };

    /** State of an idempotency key in progress. All its requests have the same
     *  digest. */
    struct key_state
    {
        std::string m_row;               ///< table row of the key
        claim_row m_claim;               ///< claim of this instance
        stage m_stage = stage::claiming; ///< current step
        /** Row version while this instance owns the claim. */
        std::int64_t m_version = 0;
        time_point m_claim_started_at; ///< when the claim was started
        int m_claim_tries = 0;         ///< claims that were tried so far
        /** Waiting requests; the first one is sent. */
        std::vector<waiter> m_requests;
        duration m_retry_delay{};    ///< backoff before the next poll or store
        time_point m_due;            ///< time of the next poll or store
        bool m_call_pending = false; ///< a poll or store is in flight
        claim_row m_done_row;        ///< done row whose body is being fetched
        /** Response to store, if any. */
        std::shared_ptr<stored_response const> m_response;
        /** Response bytes that wait for the store. */
        std::size_t m_stored_bytes = 0;
        time_point m_store_deadline; ///< when retries of the store end
    };

    using key_map = std::unordered_map<std::string, key_state>;

    enum class call_kind
    {
        read_back,
        poll,
        release_read,
        fetch_object,
        store_object
    };

    struct call_context
    {
        call_kind m_kind;    ///< purpose of the call
        std::string m_row;   ///< table row of the call
        std::string m_token; ///< token of the claim
    };

    // Claims.
    void start_claim(key_state& item, std::int64_t version, time_point now);
    void on_claim_result(write_result const& result, time_point now);
    void on_claim_acquired(key_state& item, std::int64_t version,
                           time_point now);
    void permit_front(key_state& item, time_point now);
    void on_existing_row(key_state& item, table::table_row const& row,
                         time_point now);
    void on_foreign_claim(key_state& item, claim_row const& found,
                          time_point now);
    void on_read_back(key_state& item, table::table_row const* row, bool ok,
                      time_point now);
    void wait_for_other(key_state& item, time_point now);
    void on_poll_reply(key_state& item, table::table_row const* row, bool ok,
                       time_point now);
    void expire_waiters(key_state& item, time_point now);

    // Outcomes.
    void on_done_row(key_state& item, claim_row const& found, time_point now);
    void release_unsent(key_state& item, time_point now);
    void store_outcome(key_state& item, time_point now);
    void try_store(key_state& item, time_point now);
    void retry_store(key_state& item, time_point now);
    void on_store_result(write_result const& result, time_point now);

    // Answers.
    void refuse(request_id const& request, refusal answer);
    void refuse_all(key_state& item, refusal const& answer);
    /** Refuses the requests that waited when the row was read with @p answer,
     *  and those that joined later with an unknown outcome. */
    void refuse_by_snapshot(key_state& item, refusal const& answer);
    void replay_all(key_state& item,
                    std::shared_ptr<stored_response const> const& response);
    void join(key_state& item, claim_request const& request, time_point now);
    bool answer_from_sent_calls(claim_request const& request,
                                std::string const& row);
    refusal table_unreachable(key_state const& item) const;

    // Bookkeeping.
    key_state* find(std::string const& row);
    key_state* find_claim(std::string const& row, std::string const& token);
    void erase_key(key_state& item);
    void schedule(key_state const& item, time_point due);
    void run_key_timers(key_state& item, time_point now);
    void submit_releases(time_point now);
    void queue_read(call_kind kind, std::string const& row,
                    std::string const& token);
    void submit_reads();
    void on_row_read(call_context const& context, table::table_row const* row,
                     bool ok, time_point now);

    claim_options m_options;
    claim_hooks m_hooks;
    std::uint64_t m_next_call = 1;
    std::uint64_t m_next_token = 1;
    row_writer m_writer;
    release_list m_releases;
    sent_call_cache m_sent_calls;
    key_map m_keys;                                     ///< by row name
    std::unordered_map<request_id, std::string> m_rows; ///< row name by request
    std::unordered_map<std::uint64_t, std::vector<call_context>> m_calls;
    std::vector<call_context> m_queued_reads; ///< rows for the next read call
    /** Row names by timer. */
    std::set<std::pair<time_point, std::string>> m_timers;
    std::size_t m_stored_bytes = 0; ///< total over all keys
    actions m_actions;
};

} // namespace daisylead::request
