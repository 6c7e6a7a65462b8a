/** @file Lease of the right to send orders to engines. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <cstdint>
#include <optional>

namespace daisylead::serving
{

/** Durations of the lease. */
struct order_lease_options
{
    duration m_duration = std::chrono::milliseconds(1600); ///< of each renewal
    /** Time that a successor waits after the lease ends; at least the time that
     *  must separate the orders of two holders. */
    duration m_handover = std::chrono::milliseconds(3300);
    /** Time before the end of the lease in which no order is sent, as its
     *  delivery may take that long. */
    duration m_margin = std::chrono::milliseconds(400);
};

/** The lease row as read from the store. */
struct lease_row_state
{
    /** Row version, see make_store_revision(); 0: the row does not exist. */
    std::uint64_t m_version = 0;
    instance_id m_holder; ///< instance that wrote it; empty: released
    /** Lower bound of the time since the write was sent, by the clock of the
     *  store. */
    duration m_age{};
    /** For a released row: time between the last order and the release. */
    duration m_quiet{};
    std::uint64_t m_era = 0; ///< era of the store in the answer with the row
};

/** Lease on a row of the store that is written conditionally on its version.
 *  The holder renews it while it has orders to send. A successor acquires it
 *  once the row has not changed for the lease duration plus the handover. Times
 *  are of a clock that keeps running while the system is suspended. */
class order_lease
{
public:
    order_lease(instance_id self, order_lease_options options);

    /** Records a read of the row.
     *  @param read_at when the response arrived */
    void note_row(lease_row_state const& row, time_point read_at);

    /** The store came back from an older copy, whose row may name an earlier
     *  holder. Nobody acquires the lease until the last holder's has ended.
     *  @param noted_at when this instance learnt of it */
    void note_store_restored(time_point noted_at);

    /** The store is known not to have come back from an older copy since then.
     *  Before, its row may have lost the writes of a holder that still sends
     *  orders. A row that this process wrote shows that it has not. */
    void note_store_known_since(time_point since)
    {
        m_store_known_since = since;
    }

    /** @return whether the row should be read now. */
    bool wants_read(time_point now) const;

    /** @return row version to use as the condition of a write, if the lease may
     *          be acquired or should be renewed now. */
    std::optional<std::uint64_t> write_due(time_point now) const;

    /** Records a successful conditional write.
     *  @param sent_at when the write was sent */
    void note_written(std::uint64_t version, time_point sent_at);

    /** Records a release; a successor waits only for the rest of the handover
     *  since the last order. */
    void note_released();

    /** Records a write whose condition failed or whose outcome is unknown. */
    void note_write_failed(time_point now);

    /** @return the fencing token, if an order may be sent now. */
    std::optional<std::uint64_t> token(time_point now) const;

    /** @return whether the row names this instance as its holder. */
    bool is_last_holder() const
    {
        return m_row.m_version != 0 && m_row.m_holder == m_self;
    }

private:
    instance_id m_self;
    order_lease_options m_options;
    lease_row_state m_row;
    bool m_known = false; ///< m_row is up to date; not so after a failed write
    /** Latest time at which m_row can have been written. */
    time_point m_changed_at;
    std::optional<std::uint64_t> m_token;
    time_point m_held_until;
    bool m_row_is_own = false;               ///< this process wrote m_row
    std::optional<time_point> m_restored_at; ///< of the store
    std::optional<time_point> m_store_known_since;
};

} // namespace daisylead::serving
