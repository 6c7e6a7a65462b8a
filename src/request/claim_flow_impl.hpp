/** @file State and steps of claim_flow. */
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

/** Implementation of claim_flow; see there. */
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

    /** Starts what became due and hands out the actions. */
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
        claiming,       ///< the claim is being written
        reading_back,   ///< the answer to the write was lost
        waiting,        ///< another instance holds the claim
        permitted,      ///< the front request may be sent
        fetching,       ///< an object with the stored body is being read
        storing_object, ///< the body of the response is being written
        storing         ///< the outcome is being written
    };

    struct waiter
    {
        request_id m_id;         ///< the request
        time_point m_wait_until; ///< end of its wait for another run
        /** It came when a read or write was already under way, whose answer
         *  tells nothing of the time after that. */
        bool m_joined_late = false;
        bool m_caller_gone = false; ///< its caller is gone
    };

    /** A key in progress. All requests have the same digest. */
    struct key_state
    {
        std::string m_row;               ///< name of the row
        claim_row m_claim;               ///< own claim
        stage m_stage = stage::claiming; ///< what is awaited
        std::int64_t m_version = 0;      ///< of the row while owned
        time_point m_claim_started_at;   ///< start of the claim
        int m_claim_tries = 0;           ///< claims tried so far
        std::vector<waiter> m_requests;  ///< the front one is sent
        duration m_retry_delay{};        ///< until the next try
        time_point m_due;                ///< of a read or store
        bool m_call_pending = false;     ///< a read or store runs
        claim_row m_done_row;            ///< done row being fetched
        std::shared_ptr<stored_response const> m_response; ///< if it came
        std::size_t m_stored_bytes = 0; ///< held for the store
        time_point m_store_deadline;    ///< end of the retries
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
        call_kind m_kind;    ///< what the answer is for
        std::string m_row;   ///< row concerned
        std::string m_token; ///< token of the claim concerned
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
    key_map m_keys;                                     ///< by row
    std::unordered_map<request_id, std::string> m_rows; ///< row of a request
    std::unordered_map<std::uint64_t, std::vector<call_context>> m_calls;
    std::vector<call_context> m_queued_reads; ///< for the next read
    std::set<std::pair<time_point, std::string>> m_timers; ///< rows to wake
    std::size_t m_stored_bytes = 0; ///< of responses being stored
    actions m_actions;
};

} // namespace daisylead::request
