/** @file Claims that will not be used and have to be deleted. */
#pragma once

#include <daisylead/base/unit_type.hpp>
#include <daisylead/table/table_type.hpp>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisylead::request
{

/** A claim whose token is never used for a send. */
struct release_item
{
    std::string m_row;           ///< name of the row
    std::string m_token;         ///< token of the claim
    std::int64_t m_version = 0;  ///< version of the row; 0: not known
    int m_tries = 0;             ///< tries so far, for the delay
    int m_absent_reads = 0;      ///< reads that did not find the claim
    time_point m_due;            ///< next try
    bool m_call_pending = false; ///< a try is under way
};

/** Bounded list of releases with exponential delays. A row that stays because
 *  the list was full costs availability only: its key is answered "unknown". */
class release_list
{
public:
    explicit release_list(std::size_t max_items);

    /** Adds a claim; drops it if the list is full.
     *  @param version of its row; 0: it may be written later or never */
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

    /** @return the items to try now; they are busy until reported. A known
     *  version asks for a delete, otherwise the row has to be read. */
    std::vector<release_item> take_due(time_point now);

    /** Takes the outcome of a delete. */
    void on_deleted(std::string const& token, table::transaction_status status,
                    time_point now);

    /** Takes the outcome of a read.
     *  @param ok whether an answer came
     *  @param version of the row if it holds the token, else 0 */
    void on_read(std::string const& token, bool ok, std::int64_t version,
                 time_point now);

    std::optional<time_point> next_timer() const;

private:
    void schedule_retry(release_item& item, time_point now);

    std::size_t m_max_items;
    std::unordered_map<std::string, release_item> m_items; ///< by token
};

} // namespace daisylead::request
