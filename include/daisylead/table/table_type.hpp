/** @file Requests to the platform's services and their replies. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace daisylead::table
{

/** A row. Its version grows with every write and is never reused. */
struct table_row
{
    std::string m_row;          ///< name
    std::int64_t m_version = 0; ///< 0 if the row is absent
    std::string m_value;        ///< JSON text; empty if the row is absent
};

/** Condition that a row has the expected version. */
struct table_condition
{
    std::string m_row;          ///< name
    std::int64_t m_version = 0; ///< expected version; 0: absent
};

/** Writes a row. */
struct table_put
{
    std::string m_row;   ///< name
    std::string m_value; ///< JSON text
};

/** Executes all writes if all conditions hold, otherwise none. */
struct table_transaction
{
    std::vector<table_condition> m_conditions; ///< checked before the writes
    std::vector<table_put> m_puts;             ///< rows to write
    std::vector<std::string> m_deletes;        ///< rows to delete
};

enum class transaction_status
{
    committed,   ///< all writes were applied
    conflict,    ///< a condition did not hold; nothing was written
    not_applied, ///< the service could not be reached; nothing was written
    unknown ///< no valid reply was received; the writes may have been applied
};

/** Reply to a transaction. */
struct transaction_reply
{
    transaction_status m_status = transaction_status::unknown; ///< outcome
    /** After committed: the written rows with their new versions, without
     *  values. After conflict: the rows whose condition failed. */
    std::vector<table_row> m_rows;
};

/** Reads single rows and all rows whose names begin with a prefix. */
struct table_read
{
    std::vector<std::string> m_rows;     ///< names
    std::vector<std::string> m_prefixes; ///< name prefixes
};

/** Reply to a read; absent rows are omitted. */
struct read_reply
{
    bool m_ok = false;             ///< false: no valid reply was received
    std::vector<table_row> m_rows; ///< rows found
};

enum class instance_role
{
    entry,   ///< an instance of daisylead
    upstream ///< an engine or a service
};

/** An entry of the platform's instance list, which lags behind the actual
 *  state. */
struct listed_instance
{
    std::string m_id;                            ///< instance or upstream id
    instance_role m_role = instance_role::entry; ///< kind of process
    std::string m_peer;     ///< peer protocol "IP:port"; only for role entry
    std::string m_zone;     ///< availability zone
    std::string m_region;   ///< region
    bool m_leaving = false; ///< will be removed soon
};

} // namespace daisylead::table
