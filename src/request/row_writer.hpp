/** @file Conditional writes of single rows, batched into transactions. */
#pragma once

#include <daisylead/request/claim_type.hpp>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisylead::request
{

enum class write_purpose
{
    claim,  ///< inserts a claim
    store,  ///< stores an outcome
    release ///< deletes a claim
};

/** A write of one row, conditional on the version of the same row. */
struct row_write
{
    write_purpose m_purpose = write_purpose::claim; ///< purpose of the write
    std::string m_row;                              ///< row name
    std::string m_token;                            ///< token of the claim
    std::int64_t m_version = 0; ///< expected version; 0: the row is absent
    std::optional<std::string> m_value{}; ///< new value; nothing: delete
};

/** Result of a write. */
struct write_result
{
    row_write m_write;                  ///< the write
    table::transaction_status m_status; ///< status of this write alone
    table::table_row m_row{}; ///< new version, or the row that conflicts
};

/** Collects writes for a few milliseconds and submits them as one transaction.
 *  After a conflict it reports the rows whose condition failed and submits the
 *  other writes again. */
class row_writer
{
public:
    /** @param next_call counter of call ids, shared with other callers */
    row_writer(duration batch_delay, std::uint64_t& next_call);

    /** Adds a write to the current batch. A batch that is full or already has a
     *  write of this row is first appended to @p output as a transaction. */
    void submit(row_write write, time_point now,
                std::vector<claim_action>& output);

    /** Submits the collected writes if the batch delay is over. */
    void flush_due(time_point now, std::vector<claim_action>& output);

    /** Handles the reply to a transaction.
     *  @return the writes whose status is now final */
    std::vector<write_result> on_reply(std::uint64_t call,
                                       table::transaction_reply const& reply,
                                       std::vector<claim_action>& output);

    std::optional<time_point> next_timer() const
    {
        return m_due;
    }

private:
    void send_transaction(std::vector<row_write> writes,
                          std::vector<claim_action>& output);
    void flush(std::vector<claim_action>& output);
    std::vector<write_result>
    on_conflict(std::vector<row_write> writes,
                std::vector<table::table_row> const& rows,
                std::vector<claim_action>& output);

    duration m_batch_delay;
    std::uint64_t& m_next_call;
    std::vector<row_write> m_batch;
    std::optional<time_point> m_due;
    std::unordered_map<std::uint64_t, std::vector<row_write>> m_in_flight;
};

} // namespace daisylead::request
