/** @file State and steps of claim_flow. */
#pragma once

#include "claim_memory.hpp"
#include "claim_row.hpp"
#include "release_list.hpp"
#include "row_writer.hpp"

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
        return m_entries.size();
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
        bool m_joined = false;
        bool m_silent = false; ///< its caller is gone
    };

    /** A key in progress. All requests have the same digest. */
    struct entry
    {
        std::string m_row;               ///< name of the row
        claim_row m_claim;               ///< own claim
        stage m_stage = stage::claiming; ///< what is awaited
        std::int64_t m_version = 0;      ///< of the row while owned
        time_point m_begun;              ///< start of the claim
        int m_claims = 0;                ///< claims tried so far
        std::vector<waiter> m_requests;  ///< the front one is sent
        duration m_delay{};              ///< until the next try
        time_point m_due;                ///< of a read or store
        bool m_busy = false;             ///< a read or store runs
        claim_row m_found;               ///< done row being fetched
        std::shared_ptr<stored_response const> m_response; ///< if it came
        std::size_t m_stored_bytes = 0; ///< held for the store
        time_point m_store_until;       ///< end of the retries
    };

    using entry_map = std::unordered_map<std::string, entry>;

    enum class call_kind
    {
        read_back,
        poll,
        release_read,
        fetch_object,
        store_object
    };

    struct call_part
    {
        call_kind m_kind;    ///< what the answer is for
        std::string m_row;   ///< row concerned
        std::string m_token; ///< token of the claim concerned
    };

    // Claims.
    void start_claim(entry& item, std::int64_t version, time_point now);
    void take_claim_result(write_result const& result, time_point now);
    void take_owned(entry& item, std::int64_t version, time_point now);
    void permit_front(entry& item, time_point now);
    void take_other_row(entry& item, table::table_row const& row,
                        time_point now);
    void take_foreign_claim(entry& item, claim_row const& found,
                            time_point now);
    void take_read_back(entry& item, table::table_row const* row, bool ok,
                        time_point now);
    void wait_for_other(entry& item, time_point now);
    void take_poll(entry& item, table::table_row const* row, bool ok,
                   time_point now);
    void expire_waiters(entry& item, time_point now);

    // Outcomes.
    void take_done_row(entry& item, claim_row const& found, time_point now);
    void release_unsent(entry& item, time_point now);
    void store_outcome(entry& item, time_point now);
    void try_store(entry& item, time_point now);
    void retry_store(entry& item, time_point now);
    void take_store_result(write_result const& result, time_point now);

    // Answers.
    void refuse(request_id const& request, refusal answer);
    void refuse_all(entry& item, refusal const& answer);
    void refuse_by_snapshot(entry& item, refusal const& answer);
    void replay_all(entry& item,
                    std::shared_ptr<stored_response const> const& response);
    void join(entry& item, claim_request const& request, time_point now);
    bool answer_from_memory(claim_request const& request,
                            std::string const& row);
    refusal unreached(entry const& item) const;

    // Bookkeeping.
    entry* find(std::string const& row);
    entry* find_claim(std::string const& row, std::string const& token);
    void forget(entry& item);
    void schedule(entry const& item, time_point due);
    void wake(entry& item, time_point now);
    void run_releases(time_point now);
    void read_later(call_kind kind, std::string const& row,
                    std::string const& token);
    void run_reads();
    void take_read_part(call_part const& part, table::table_row const* row,
                        bool ok, time_point now);

    claim_options m_options;
    claim_hooks m_hooks;
    std::uint64_t m_next_call = 1;
    std::uint64_t m_next_token = 1;
    row_writer m_writer;
    release_list m_releases;
    claim_memory m_memory;
    entry_map m_entries;                                ///< by row
    std::unordered_map<request_id, std::string> m_rows; ///< row of a request
    std::unordered_map<std::uint64_t, std::vector<call_part>> m_calls;
    std::vector<call_part> m_reads; ///< for the next read
    std::set<std::pair<time_point, std::string>> m_timers; ///< rows to wake
    std::size_t m_stored_bytes = 0; ///< of responses being stored
    actions m_actions;
};

} // namespace daisylead::request
