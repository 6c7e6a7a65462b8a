/** @file Parser and serialiser of lease rows. */
#include "lease/lease_row.hpp"

#include <nlohmann/json.hpp>

namespace daisylead::lease
{

namespace
{

/** Token of a row that cannot be parsed; it is not empty, so the row does not
 *  count as free. */
constexpr char const* unreadable_token = "unreadable";

} // namespace

observed_lease parse_row(table::table_row const& row)
{
    observed_lease result;
    result.m_claim.m_row = row.m_row;
    result.m_version = row.m_version;
    if (row.m_version == 0)
    {
        return result;
    }
    try
    {
        nlohmann::json const value = nlohmann::json::parse(row.m_value);
        result.m_claim.m_fence =
            fence_number(value.at("fence").get<std::int64_t>());
        result.m_claim.m_token = value.at("token").get<std::string>();
        result.m_claim.m_holder =
            instance_id(value.at("holder").get<std::string>());
        result.m_sequence = value.at("sequence").get<std::int64_t>();
    }
    catch (nlohmann::json::exception const&)
    {
        result.m_claim.m_token = unreadable_token;
    }
    return result;
}

std::string serialise_row(lease_claim const& claim, std::int64_t sequence)
{
    return nlohmann::json{{"fence", claim.m_fence.value()},
                          {"token", claim.m_token},
                          {"holder", claim.m_holder.value()},
                          {"sequence", sequence}}
        .dump();
}

} // namespace daisylead::lease
