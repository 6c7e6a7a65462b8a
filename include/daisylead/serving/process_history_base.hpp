/** @file Processes that service discovery listed under the id of an upstream.
 */
#pragma once

#include <daisylead/serving/catalog_type.hpp>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace daisylead::serving
{

/** A process that runs, or ran, under the id of an upstream. */
struct upstream_process
{
    upstream_id m_upstream;
    std::int64_t m_started = 0;  ///< Unix ms
    software_version m_software; ///< what it runs
};

/** Whether a connection is known to reach a process. */
enum class process_proof
{
    proven,      ///< it reaches a process with that software
    not_listed,  ///< its record was not read after the connection was made
    ended,       ///< the process had ended before the connection was made
    contradicted ///< it may reach a process with other software
};

/** Result of a check, with what decided it. */
struct process_check
{
    process_proof m_proof = process_proof::not_listed;
    /** When the process was listed for the first and the last time; nothing if
     *  it is not known. */
    std::optional<time_point> m_first_listed;
    std::optional<time_point> m_last_listed;
    /** A process with other software that contradicts it. */
    std::optional<upstream_process> m_other;
    std::optional<time_point> m_other_first_listed;
};

/** Times of a process_history. */
struct process_history_options
{
    /** Time after its last listing in which a process is known. */
    duration m_max_age;
    /** Time in which a process that serves has written its record, and the
     *  record of one that has ended is no longer listed. */
    duration m_settle_time;
    /** Largest difference between the times of day of two machines. */
    duration m_max_clock_difference;
};

/** Records which processes were listed under each id, also after they are gone.
 *  An upstream may start again under its id, with other software, while the
 *  record of its former process is still listed. */
class process_history
{
public:
    /** @return the time of day, Unix ms, at a time. */
    using unix_time_hook = std::function<std::int64_t(time_point)>;

    process_history(process_history_options const& options,
                    unix_time_hook to_unix);

    /** Records a list.
     *  @param read_at when its read was sent
     *  @param now when it was received or later */
    void note_list(std::vector<upstream_record> const& list, time_point read_at,
                   time_point now);

    /** A process no longer accepts connections.
     *  @param at when it was tried
     *  @return whether that was not known */
    bool note_ended(upstream_id const& upstream, std::int64_t started,
                    time_point at);

    /** Checks that the software of the process is that of a connection to its
     *  id: the process was still listed after the connection was made, and no
     *  process with other software that was listed under the id may have been
     *  there by then.
     *  @param connected_at when the connection was made
     *  @param is_vouched another instance has proof; only the second condition
     *  is checked */
    process_check check(upstream_process const& process,
                        time_point connected_at, bool is_vouched = false) const;

    /** @return whether check() proves it. */
    bool is_proven(upstream_process const& process,
                   time_point connected_at) const
    {
        return check(process, connected_at).m_proof == process_proof::proven;
    }

private:
    /** A process of one upstream. */
    struct listing
    {
        std::int64_t m_started; ///< Unix ms
        software_version m_software;
        time_point m_first_listed;
        time_point m_first_known;  ///< when that list was received
        time_point m_listed_since; ///< in all lists from here on
        time_point m_last_listed;  ///< up to here
        /** When it was first found not to accept connections. */
        std::optional<time_point> m_ended_at;
    };

    using listings = std::vector<listing>;

    /** @return the listing of a process, or the end. */
    template <class Listings>
    static auto find(Listings& known, std::int64_t started,
                     software_version const& software);

    /** @param own the process that the connection is said to reach; null: not
     *         known
     *  @return whether a connection to the id may have reached @p other */
    bool may_have_reached(listing const& other, listing const* own,
                          upstream_process const& process,
                          time_point connected_at) const;

    /** @return whether a process is known to have ended by @p time. A record
     *          that is listed for long after that is one of a process that
     *          serves. */
    bool has_ended(listing const& item, time_point time) const;

    /** @return whether a connection that was made after the end of @p own
     *          reached a process with its software. */
    static bool has_equal_successor(listings const& all, listing const& own,
                                    time_point connected_at);

    process_history_options m_options;
    unix_time_hook m_to_unix;
    time_point m_read_at; ///< of the newest list
    std::map<upstream_id, listings> m_listings;
    time_point m_next_sweep;
};

} // namespace daisylead::serving
