/** @file List of upstreams from service discovery, with its recent changes. */
#pragma once

#include <daisylead/serving/fleet_news_type.hpp>

#include <deque>
#include <unordered_map>

namespace daisylead::serving
{

/** Upstreams from service discovery, sorted by id, with a history of changes,
 *  so that peers are sent differences instead of the full list. */
class upstream_list
{
public:
    /** Replaces the list by a full one, in any order.
     *  @return whether the digest changed */
    bool replace(std::vector<upstream_record> records);

    /** Applies the changes sent by a peer.
     *  @param digest of the peer's list
     *  @return whether the result has that digest; otherwise the list is
     *          unchanged */
    bool apply(upstream_changes const& changes, std::uint64_t digest);

    /** @return changes from the list with that digest to this one, or the full
     *          list if that digest is not in the history. */
    upstream_changes changes_since(std::uint64_t digest) const;

    /** @return digest of the list; 0 before the first one. */
    std::uint64_t digest() const
    {
        return m_digest;
    }

    std::vector<upstream_record> const& records() const
    {
        return m_records;
    }

    /** @return position of the upstream, or nothing if it is not listed. */
    std::optional<std::uint16_t> position_of(upstream_id const& id) const;

    /** @return requests in flight by position in the list, without upstreams
     *          that are not listed. */
    load_news to_news(in_flight_counts const& counts) const;

    /** @return requests in flight by upstream, or nothing if the positions
     *          refer to another list. */
    std::optional<in_flight_counts> from_news(load_news const& news) const;

private:
    struct history_entry
    {
        std::uint64_t m_from = 0; ///< digest before the change
        upstream_changes m_changes;
    };

    void take(std::vector<upstream_record> records, std::uint64_t digest);

    std::vector<upstream_record> m_records;
    std::unordered_map<upstream_id, std::uint16_t> m_positions;
    std::uint64_t m_digest = 0;
    /** Oldest first; the last one results in m_records. */
    std::deque<history_entry> m_history;
};

} // namespace daisylead::serving
