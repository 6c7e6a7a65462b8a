/** @file The list of service discovery and its latest changes. */
#pragma once

#include <daisylead/serving/fleet_news_type.hpp>

#include <deque>
#include <unordered_map>

namespace daisylead::serving
{

/** Upstreams as listed, sorted by id, with what changed lately, so that peers
 *  get differences instead of the whole list. */
class upstream_list
{
public:
    /** Takes a whole list, in any order.
     *  @return whether it differs in what matters */
    bool replace(std::vector<upstream_record> records);

    /** Takes the differences that a peer sent.
     *  @param digest of the list of the peer
     *  @return whether the result has that digest; else nothing is taken */
    bool apply(upstream_changes const& changes, std::uint64_t digest);

    /** @return what leads from a list with that digest to this one; the whole
     *          list if that one is not known. */
    upstream_changes changes_since(std::uint64_t digest) const;

    /** @return of the list; 0 before the first. */
    std::uint64_t digest() const
    {
        return m_digest;
    }

    std::vector<upstream_record> const& records() const
    {
        return m_records;
    }

    /** @return requests by position in the list; upstreams that are not listed
     *          are left out. */
    load_news to_news(in_flight_counts const& counts) const;

    /** @return requests by upstream; nothing if the positions refer to another
     *          list. */
    std::optional<in_flight_counts> from_news(load_news const& news) const;

private:
    struct history_entry
    {
        std::uint64_t m_from = 0; ///< digest before
        upstream_changes m_changes;
    };

    void take(std::vector<upstream_record> records, std::uint64_t digest);

    std::vector<upstream_record> m_records;
    std::unordered_map<upstream_id, std::uint16_t> m_positions;
    std::uint64_t m_digest = 0;
    std::deque<history_entry>
        m_history; ///< oldest first; the last one leads to m_records
};

} // namespace daisylead::serving
