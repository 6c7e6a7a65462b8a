/** @file Table rows of claims: names and values. */
#pragma once

#include <daisylead/request/request_type.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace daisylead::request
{

/** Content of a claim row. */
struct claim_row
{
    std::string m_digest;       ///< digest of the request
    std::string m_token;        ///< unique for each claim
    instance_id m_claimant;     ///< instance that may send
    incarnation m_incarnation;  ///< of the claimant
    bool m_done = false;        ///< the outcome is known
    bool m_ended = false;       ///< the run ended and its outcome is not known
    std::int64_t m_wall_ms = 0; ///< wall-clock time of the claim in ms
    int m_status = 0;           ///< HTTP status; 0: no response was stored
    std::string m_content_type; ///< of the response
    std::optional<std::string> m_body; ///< body, if it is kept in the row
    std::string m_object; ///< object with the body, if it is not in the row
};

/** @return the row of a key. Bytes other than unreserved URL characters are
 *  escaped, so different pairs have different rows. */
std::string claim_row_name(organisation_id const& organisation,
                           std::string_view key);

/** @return the row's value as JSON text. */
std::string encode(claim_row const& row);

/** @return the row, or nothing if the value is not a claim. */
std::optional<claim_row> parse_claim_row(std::string const& value);

/** @return whether a body can stand in a row: UTF-8 and not too large. */
bool fits_in_row(std::string const& body);

/** @return the name of the object that holds a body. */
std::string object_name(std::string_view body);

} // namespace daisylead::request
