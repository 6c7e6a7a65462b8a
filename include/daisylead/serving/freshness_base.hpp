/** @file How long knowledge of the configuration stays valid. */
#pragma once

#include <daisylead/base/unit_type.hpp>

#include <cstdint>
#include <optional>

namespace daisylead::serving
{

/** Age of a document that was read from the store, by this instance or by a
 *  peer. Times come from a clock that counts suspension of the machine. */
class freshness
{
public:
    /** A read proved that revision @p revision was the newest.
     *  @param revision of the content; grows with each change
     *  @param read_at when the call was sent, or earlier
     *  @return whether the content has to be replaced */
    bool note_read(std::uint64_t revision, time_point read_at);

    /** @return revision of the content; 0 before the first. */
    std::uint64_t revision() const
    {
        return m_revision;
    }

    /** @return time since the newest proof; nothing before the first. */
    std::optional<duration> age(time_point now) const;

    /** @return whether the proof is younger than @p limit. */
    bool is_valid(time_point now, duration limit) const;

private:
    std::uint64_t m_revision = 0;
    std::optional<time_point> m_read_at;
};

/** Delay after which an instance reads the store itself because no newer proof
 *  has come from a peer.
 *  @param rank of this instance among the live ones, from 0
 *  @param base age at which the first instance reads
 *  @param step further age for each rank
 *  @param max_delay upper limit, so that each instance reads in time alone */
duration store_read_delay(std::size_t rank, duration base, duration step,
                          duration max_delay);

} // namespace daisylead::serving
