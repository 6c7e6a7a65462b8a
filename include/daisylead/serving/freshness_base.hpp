/** @file Age and validity of documents read from the store. */
#pragma once

#include <daisylead/base/unit_type.hpp>

#include <cstdint>
#include <optional>

namespace daisylead::serving
{

/** Revision and age of a document read from the store by this instance or by a
 *  peer. Times are of a clock that keeps running while the system is
 *  suspended. */
class freshness
{
public:
    /** Records a read that returned revision @p revision as the newest one.
     *  @param revision of the content; grows with each change
     *  @param read_at when the read was sent, or earlier
     *  @return whether the content must be replaced */
    bool note_read(std::uint64_t revision, time_point read_at);

    /** @return revision of the content; 0 before the first read. */
    std::uint64_t revision() const
    {
        return m_revision;
    }

    /** @return time since the newest read that confirmed the revision, or
     *          nothing before the first read. */
    std::optional<duration> age(time_point now) const;

    /** @return whether the age is below @p limit. */
    bool is_valid(time_point now, duration limit) const;

private:
    std::uint64_t m_revision = 0;
    std::optional<time_point> m_read_at;
};

/** Age of a document from which an instance reads the store itself because no
 *  newer read was reported by a peer. Staggered by rank, so that few read.
 *  @param rank of this instance, from 0
 *  @param base age for rank 0
 *  @param step additional age per rank
 *  @param max_delay upper limit, so that each instance reads in time even
 *          without peers */
duration store_read_delay(std::size_t rank, duration base, duration step,
                          duration max_delay);

} // namespace daisylead::serving
