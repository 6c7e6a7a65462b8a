/** @file In-memory table service for tests. */
#pragma once

#include <daisylead/table/table_type.hpp>

#include <map>
#include <string>

namespace daisylead::request::testing
{

/** Table whose row versions are never reused. */
class fake_table
{
public:
    table::table_row current(std::string const& row) const
    {
        auto const found = m_rows.find(row);
        return found == m_rows.end() ? table::table_row{row, 0, {}}
                                     : found->second;
    }

    table::read_reply read(table::table_read const& query) const
    {
        table::read_reply reply{true, {}};
        for (std::string const& row : query.m_rows)
        {
            if (m_rows.contains(row))
            {
                reply.m_rows.push_back(current(row));
            }
        }
        return reply;
    }

    table::transaction_reply run(table::table_transaction const& run)
    {
        table::transaction_reply reply;
        for (table::table_condition const& item : run.m_conditions)
        {
            if (current(item.m_row).m_version != item.m_version)
            {
                reply.m_rows.push_back(current(item.m_row));
            }
        }
        if (!reply.m_rows.empty())
        {
            reply.m_status = table::transaction_status::conflict;
            return reply;
        }
        reply.m_status = table::transaction_status::committed;
        for (table::table_put const& item : run.m_puts)
        {
            m_rows[item.m_row] = {item.m_row, ++m_version, item.m_value};
            reply.m_rows.push_back({item.m_row, m_version, {}});
        }
        for (std::string const& row : run.m_deletes)
        {
            m_rows.erase(row);
        }
        return reply;
    }

private:
    std::map<std::string, table::table_row> m_rows;
    std::int64_t m_version = 0;
};

} // namespace daisylead::request::testing
