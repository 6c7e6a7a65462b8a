/** @file Rows with versions and conditional transactions. */
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace daisylead::standin
{

/** The table of the platform; requests and replies as in section 7.5. */
class table
{
public:
    /** Applies a transaction if all its conditions hold.
     *  @throws nlohmann::json::exception if it is malformed; nothing is applied
     *  @return the reply; its member "committed" tells whether it was applied
     */
    nlohmann::json transact(nlohmann::json const& body);

    /** @throws nlohmann::json::exception if the query is malformed */
    nlohmann::json read(nlohmann::json const& body) const;

private:
    struct row
    {
        std::int64_t m_version = 0;
        nlohmann::json m_value;
    };

    nlohmann::json row_json(std::string const& name) const;
    bool holds(nlohmann::json const& condition) const;

    std::map<std::string, row> m_rows;
    std::int64_t m_last_version = 0; ///< of all rows, so none is reused
};

} // namespace daisylead::standin
