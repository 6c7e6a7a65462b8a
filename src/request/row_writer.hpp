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

/** A write of one row under a condition on the same row. */
struct row_write
{
    write_purpose m_purpose = write_purpose::claim; ///< why it is written
    std::string m_row;                              ///< name of the row
    std::string m_token;                  ///< token of the claim it belongs to
    std::int64_t m_version = 0;           ///< condition; 0: absent
    std::optional<std::string> m_value{}; ///< new value; nothing: delete
};

/** What became of a write. */
struct write_result
{
    row_write m_write;                  ///< the write
    table::transaction_status m_status; ///< its own status
    table::table_row m_row{};           ///< new version, or the other row
};

/** Collects writes for a few milliseconds. The rows whose condition fails are
 *  reported; the rest of their transaction is run again without them. */
class row_writer
{
public:
    /** @param next_call counter of the calls, shared with other callers */
    row_writer(duration batch_delay, std::uint64_t& next_call);

    /** Adds a write. Transactions that are complete are added to @p output. */
    void submit(row_write write, time_point now,
                std::vector<claim_action>& output);

    /** Runs the collected writes if they are due. */
    void flush_due(time_point now, std::vector<claim_action>& output);

    /** Takes an answer.
     *  @return the writes whose outcome is now settled */
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
