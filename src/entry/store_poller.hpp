/** @file Polls the store for configuration and service discovery. */
#pragma once

#include "fleet_exchange.hpp"

#include <map>

namespace daisylead::entry
{

/** Reads the store when no peer has confirmed the documents recently, and
 *  sends changes to the peers. */
class store_poller
{
public:
    store_poller(boost::asio::any_io_executor const& executor,
                 fleet_state& state, fleet_exchange& exchange);

    /** Starts polling. */
    void start();

    /** Reads service discovery now unless a read that was sent at @p after or
     *  later is known. Several callers share one read.
     *  @return false if no read succeeded in a short time */
    awaitable<bool> confirm_upstreams(time_point after);

private:
    awaitable<void> read_upstreams_now();
    awaitable<void> rules_loop();
    awaitable<void> upstreams_loop();
    awaitable<void> members_loop();
    awaitable<void> blocked_parts_loop();
    awaitable<void> store_blocked_parts();
    awaitable<void> erase_unblocked_parts();
    awaitable<void> kv_store_loop(std::size_t index);
    duration read_due_age(time_point now) const;
    duration dependent_max_age() const;
    std::chrono::milliseconds read_retry_delay(time_point now) const;
    std::chrono::milliseconds absent_retry_delay() const;
    static std::chrono::milliseconds poll_pause(duration time_until_due);
    void note_store_read(std::optional<document_read> const& read, bool& lost,
                         std::string const& what);

    boost::asio::any_io_executor m_executor;
    fleet_state& m_state;
    fleet_exchange& m_exchange;
    /** When this instance learnt of blocked prompt parts. */
    std::map<request::part_digest, time_point> m_unstored_since;
    /** Cancelled at the end of a read for confirm_upstreams(). */
    boost::asio::steady_timer m_confirmed;
    bool m_confirming = false;  ///< such a read is in progress
    time_point m_confirm_began; ///< when the last one was sent
};

} // namespace daisylead::entry
