/** @file Processes that service discovery listed under the id of an upstream.
 */
#pragma once

#include <daisylead/serving/catalog_type.hpp>

#include <map>
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

/** Records which processes were listed under each id, also after they are gone.
 *  An upstream may start again under its id, with other software, while the row
 *  of its former process is still known. */
class process_history
{
public:
    /** @param max_age time after its last listing in which a process is known
     */
    explicit process_history(duration max_age);

    /** Records a list.
     *  @param read_at when its read was sent */
    void note_list(std::vector<upstream_record> const& list,
                   time_point read_at);

    /** @return whether the software of the process is that of a connection to
     *          its id that was made at @p connected_at: the process was still
     *          listed later, and is_contradicted() does not hold */
    bool is_proven(upstream_process const& process,
                   time_point connected_at) const;

    /** @return whether a process with other software has been listed under the
     *          id since the row of this one appeared, or ever if that row is
     *          not known */
    bool is_contradicted(upstream_process const& process) const;

private:
    /** A process of one upstream. */
    struct listing
    {
        std::int64_t m_started; ///< Unix ms
        software_version m_software;
        time_point m_first_listed;
        time_point m_last_listed;
    };

    using listings = std::vector<listing>;

    /** @return the listing of a process, or the end. */
    template <class Listings>
    static auto find(Listings& known, std::int64_t started,
                     software_version const& software);

    duration m_max_age;
    std::map<upstream_id, listings> m_listings;
    time_point m_next_sweep;
};

} // namespace daisylead::serving
