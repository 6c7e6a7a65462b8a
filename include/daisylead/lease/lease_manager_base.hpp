/** @file Acquisition, renewal and release of leases on table rows. */
#pragma once

#include <daisylead/lease/lease_voter_base.hpp>
#include <daisylead/table/table_type.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace daisylead::lease
{

/** Identity of this instance and timing of its leases. */
struct lease_options
{
    instance_id m_self;                         ///< own id
    incarnation m_incarnation;                  ///< own incarnation
    duration m_lease_time = default_lease_time; ///< lifetime of a lease
    duration m_margin = default_lease_margin;   ///< see default_lease_margin
    /** Between renewals; three of them fit into the lease time. */
    duration m_renew_interval = std::chrono::seconds(1);
    /** After this time without a reply, a transaction's outcome is unknown. */
    duration m_transaction_timeout = std::chrono::seconds(3);
    /** After this time without a successful renewal, the lease is extended by
     *  confirmations of the peers. */
    duration m_renewal_timeout = std::chrono::milliseconds(1500);
    /** Between rounds of confirmation for a newly written lease. */
    duration m_acquisition_round_interval = std::chrono::milliseconds(500);
    /** Between rounds that extend leases while the table is unreachable; three
     *  of them fit into the lease time. */
    duration m_extension_round_interval = std::chrono::seconds(1);
    /** After a longer time between reads, the expiry of foreign leases starts
     *  over. Longer than a read that times out plus the read interval. */
    duration m_max_read_gap = std::chrono::seconds(3);
    /** Delay per rank in the rendezvous order of the row before an instance
     *  tries to acquire it; spreads the rows over the live instances. */
    duration m_rank_delay = std::chrono::seconds(1);
};

/** Callbacks of the lease manager. */
struct lease_hooks
{
    std::function<std::string()> m_make_token; ///< returns a new unique token
};

/** Transaction to send; its outcome goes to transaction_done(). */
struct lease_transaction
{
    std::uint64_t m_number = 0;             ///< echoed to transaction_done()
    table::table_transaction m_transaction; ///< conditions and writes
};

/** Request to send to a peer; its reply goes to reply_received(). */
struct send_lease_confirm
{
    instance_id m_to;                ///< peer to ask
    lease_confirm_request m_message; ///< request
};

using lease_action = std::variant<lease_transaction, send_lease_confirm>;
using lease_actions = std::vector<lease_action>;

/** A lease that this instance holds. */
struct lease_grant
{
    fence_number m_fence;     ///< fencing number
    time_point m_acquired_at; ///< when it became the holder
    time_point m_until;       ///< expiry unless it is renewed
};

/** Acquires, renews and releases the leases of a set of rows.
 *
 *  An instance holds a lease if it wrote the row within the lease time and a
 *  quorum has confirmed it since it acquired the row. While the table is
 *  unreachable, confirmations of a quorum extend the lease. The lease time
 *  starts before a request is sent. The lease of another instance expires once
 *  its row has not changed for the lease time plus margin by the local clock.
 */
class lease_manager
{
public:
    lease_manager(lease_options options, lease_hooks hooks,
                  time_point started_at);

    /** @param rows names of the rows to acquire; all others are dropped without
     *  a release */
    void set_rows(std::set<std::string> const& rows);

    /** @param known last known entry instances, the own one included
     *  @param live instances that can hold leases, the own one included if it
     *  may acquire any */
    void set_members(std::set<instance_id> known, std::set<instance_id> live);

    /** Handles a read of the table, which the caller starts about every second.
     *  @param rows existing rows; absent ones are omitted
     *  @param sent_at when the read was sent */
    void table_read(std::vector<table::table_row> const& rows,
                    time_point sent_at, time_point now);

    /** Handles the outcome of a lease_transaction. */
    void transaction_done(std::uint64_t number,
                          table::transaction_reply const& reply,
                          time_point now);

    /** Handles a request of a holder.
     *  @pre the sender's incarnation is not superseded
     *  @return reply to send back */
    lease_confirm_reply confirm_requested(lease_confirm_request const& request,
                                          time_point now);

    /** Handles the reply of a peer to a send_lease_confirm. */
    void reply_received(lease_confirm_reply const& reply, time_point now);

    /** Starts the acquisitions, renewals, releases and rounds that are due. */
    lease_actions tick(time_point now);

    /** @return when to call tick() next. */
    time_point next_timer() const;

    /** Releases all leases. They count as not held from this call on; tick()
     *  then writes the rows. */
    void release_all(time_point now);

    /** @return whether all releases have been written. */
    bool is_released() const;

    /** @return the lease on the row, if this instance holds it at this time. */
    std::optional<lease_grant> held(std::string const& row,
                                    time_point now) const;

    /** @return holder according to the last read of the table, as a receiver of
     *  messages; it may have lost the lease since. */
    std::optional<instance_id> holder(std::string const& row) const;

private:
    enum class row_state
    {
        not_owned, ///< free or held by another instance
        acquiring, ///< the write is open or its outcome unknown
        owned,     ///< written by this instance, maybe not confirmed
        releasing  ///< owned, to be released
    };

    struct lease_row
    {
        observed_lease m_observed;      ///< newest version read
        bool m_is_read = false;         ///< m_observed is valid
        time_point m_unchanged_since{}; ///< when that version was seen
        row_state m_state = row_state::not_owned; ///< state of the own lease
        lease_claim m_claim;                      ///< own lease
        time_point m_unknown_since{}; ///< when a write's outcome became unknown
        std::int64_t m_sequence = 0;  ///< of the last own write
        /** Send times of own writes without a known outcome, by sequence. */
        std::map<std::int64_t, time_point> m_writes;
        bool m_confirmed = false;   ///< by a quorum since the acquisition
        time_point m_acquired_at{}; ///< when it became the holder
        /** Send time of the last committed write. */
        std::optional<time_point> m_written_at;
        /** Start of the last round that a quorum confirmed. */
        std::optional<time_point> m_quorum_at;
    };

    struct open_transaction
    {
        time_point m_sent_at;                       ///< when it was sent
        std::map<std::string, std::int64_t> m_rows; ///< sequence; 0: release
    };

    struct confirm_round
    {
        time_point m_sent_at;              ///< when it was sent
        std::vector<lease_claim> m_claims; ///< leases to confirm
        /** Peers that confirmed, by row. */
        std::map<std::string, std::set<instance_id>> m_confirmed;
    };

    void observe(lease_row& item, observed_lease const& seen, time_point now);
    void own_write_committed(lease_row& item, std::int64_t sequence,
                             std::int64_t version, time_point now);
    static void drop_lease(lease_row& item);
    void transaction_committed(open_transaction const& sent,
                               table::transaction_reply const& reply,
                               time_point now);
    void expire_transactions(time_point now);
    void mark_outcome_unknown(open_transaction const& sent, time_point now);
    bool has_open_transaction(std::string const& row) const;
    bool may_acquire(std::string const& row, lease_row const& item,
                     time_point now) const;
    std::size_t rendezvous_rank(std::string const& row) const;
    void start_acquisitions(time_point now, lease_actions& actions);
    void start_renewals(time_point now, lease_actions& actions);
    void start_releases(time_point now, lease_actions& actions);
    void start_round(time_point now, lease_actions& actions);
    std::vector<lease_claim> claims_to_confirm(time_point now) const;
    void add_write(lease_row& item, lease_claim const& claim, time_point now,
                   lease_transaction& transaction);
    void send(lease_transaction transaction, time_point now,
              lease_actions& actions);
    void count_confirmations(lease_confirm_reply const& reply,
                             confirm_round& round, time_point now);
    std::optional<time_point> valid_until(lease_row const& item) const;

    lease_options m_options;
    lease_hooks m_hooks;
    lease_voter m_voter;
    std::map<std::string, lease_row> m_rows;
    std::set<instance_id> m_known;
    std::set<instance_id> m_live;
    std::map<std::uint64_t, open_transaction> m_transactions;
    std::map<std::uint64_t, confirm_round> m_rounds;
    std::uint64_t m_next_number = 1;
    time_point m_next_renewal{};
    time_point m_next_round{};
    time_point m_next_tick{};
    std::optional<time_point> m_last_read;
    bool m_releasing = false;
};

} // namespace daisylead::lease
