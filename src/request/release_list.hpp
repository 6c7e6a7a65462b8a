/** @file Unused claims whose rows have to be deleted. */
#pragma once

#include <daisylead/base/unit_type.hpp>
#include <daisylead/table/table_type.hpp>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisylead::request
{

/** A claim whose token will never be used for a send. */
struct release_item
{
    std::string m_row;           ///< table row of the claim
    std::string m_token;         ///< token of the claim
    std::int64_t m_version = 0;  ///< row version; 0: not known
    int m_tries = 0;             ///< tries so far, for the backoff
    int m_absent_reads = 0;      ///< reads that did not find the claim
    time_point m_due;            ///< time of the next try
    bool m_call_pending = false; ///< a try is in flight
};

/** Bounded list of releases that are retried with exponential backoff. A row
 *  that remains because the list was full costs availability only: requests
 *  with its key are answered "unknown". */
class release_list
{
public:
    explicit release_list(std::size_t max_items);

    /** Adds a claim; ignores it if the list is full.
     *  @param version row version; 0: the row may be written later or never */
    void add(std::string row, std::string token, std::int64_t version,
             time_point now);

    bool contains(std::string const& token) const
    {
        return m_items.contains(token);
    }

    std::size_t size() const
    {
        return m_items.size();
    }

    /** @return the items that are due; they count as in flight until their
     *  result is reported. An item with a known version is deleted, otherwise
     *  its row is read first. */
    std::vector<release_item> take_due(time_point now);

    /** Handles the result of a delete. */
    void on_deleted(std::string const& token, table::transaction_status status,
                    time_point now);

    /** Handles the result of a read.
     *  @param ok whether a reply was received
     *  @param version row version if the row holds the token, else 0 */
    void on_read(std::string const& token, bool ok, std::int64_t version,
                 time_point now);

    std::optional<time_point> next_timer() const;

private:
    void schedule_retry(release_item& item, time_point now);

    std::size_t m_max_items;
    std::unordered_map<std::string, release_item> m_items; ///< by token
};

} // namespace daisylead::request
