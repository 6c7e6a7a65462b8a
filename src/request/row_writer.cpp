/** @file Batches of conditional row writes. */
#include "row_writer.hpp"

#include <algorithm>
#include <utility>

namespace daisylead::request
{

namespace
{

using table::table_row;
using table::transaction_status;

/** Bounds the rows that are written again when one of them conflicts. */
constexpr std::size_t max_batch_writes = 64;

table::table_transaction make_transaction(std::vector<row_write> const& writes)
{
    table::table_transaction transaction;
    for (row_write const& write : writes)
    {
        transaction.m_conditions.push_back({write.m_row, write.m_version});
        if (write.m_value)
        {
            transaction.m_puts.push_back({write.m_row, *write.m_value});
        }
        else
        {
            transaction.m_deletes.push_back(write.m_row);
        }
    }
    return transaction;
}

table_row const* find_row(std::vector<table_row> const& rows,
                          std::string const& name)
{
    auto const found =
        std::find_if(rows.begin(), rows.end(),
                     [&](table_row const& row) { return row.m_row == name; });
    return found == rows.end() ? nullptr : &*found;
}

/** A put needs the new row version; without it the commit counts as unknown. */
transaction_status committed_status(row_write const& write,
                                    table_row const* row)
{
    bool const usable = !write.m_value || row != nullptr;
    return usable ? transaction_status::committed : transaction_status::unknown;
}

} // namespace

row_writer::row_writer(duration batch_delay, std::uint64_t& next_call)
    : m_batch_delay(batch_delay), m_next_call(next_call)
{
}

void row_writer::submit(row_write write, time_point now,
                        std::vector<claim_action>& output)
{
    bool const same_row = std::any_of(m_batch.begin(), m_batch.end(),
                                      [&](row_write const& other)
                                      { return other.m_row == write.m_row; });
    if (same_row || m_batch.size() >= max_batch_writes)
    {
        flush(output);
    }
    if (m_batch.empty())
    {
        m_due = now + m_batch_delay;
    }
    m_batch.push_back(std::move(write));
}

void row_writer::flush_due(time_point now, std::vector<claim_action>& output)
{
    if (m_due && *m_due <= now)
    {
        flush(output);
    }
}

void row_writer::flush(std::vector<claim_action>& output)
{
    m_due.reset();
    send_transaction(std::exchange(m_batch, {}), output);
}

void row_writer::send_transaction(std::vector<row_write> writes,
                                  std::vector<claim_action>& output)
{
    if (writes.empty())
    {
        return;
    }
    std::uint64_t const call = m_next_call++;
    output.emplace_back(claim_transact{call, make_transaction(writes)});
    m_in_flight.emplace(call, std::move(writes));
}

std::vector<write_result>
row_writer::on_reply(std::uint64_t call, table::transaction_reply const& reply,
                     std::vector<claim_action>& output)
{
    auto in_flight = m_in_flight.extract(call);
    if (!in_flight)
    {
        return {};
    }
    std::vector<row_write> writes = std::move(in_flight.mapped());
    if (reply.m_status == transaction_status::conflict)
    {
        return on_conflict(std::move(writes), reply.m_rows, output);
    }
    std::vector<write_result> results;
    for (row_write& write : writes)
    {
        table_row const* row = find_row(reply.m_rows, write.m_row);
        transaction_status status = reply.m_status;
        if (status == transaction_status::committed)
        {
            status = committed_status(write, row);
        }
        results.push_back(
            {std::move(write), status, row != nullptr ? *row : table_row{}});
    }
    return results;
}

std::vector<write_result>
row_writer::on_conflict(std::vector<row_write> writes,
                        std::vector<table_row> const& rows,
                        std::vector<claim_action>& output)
{
    std::vector<write_result> results;
    std::vector<row_write> remaining;
    for (row_write& write : writes)
    {
        table_row const* row = find_row(rows, write.m_row);
        if (row == nullptr)
        {
            remaining.push_back(std::move(write));
            continue;
        }
        results.push_back(
            {std::move(write), transaction_status::conflict, *row});
    }
    if (!results.empty())
    {
        send_transaction(std::move(remaining), output);
        return results;
    }
    // A conflict that names none of these rows would be retried for ever.
    for (row_write& write : remaining)
    {
        results.push_back({std::move(write), transaction_status::unknown, {}});
    }
    return results;
}

} // namespace daisylead::request
