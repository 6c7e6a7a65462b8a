/** @file Names and values of claim rows in the table. */
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
    std::string m_token;        ///< unique per claim
    instance_id m_claimant;     ///< instance that may send
    incarnation m_incarnation;  ///< incarnation of the claimant
    bool m_done = false;        ///< the call ran to completion
    bool m_ended = false;       ///< the run ended with an unknown outcome
    std::int64_t m_wall_ms = 0; ///< wall-clock time of the claim in ms
    int m_status = 0;           ///< HTTP status; 0: no response was stored
    std::string m_content_type; ///< content type of the response
    /** Response body, if it is stored in the row. */
    std::optional<std::string> m_body;
    std::string m_object; ///< name of the object with the body otherwise
};

/** @return the row name of a key. Bytes other than unreserved URL characters
 *  are escaped, so distinct pairs have distinct rows. */
std::string claim_row_name(organisation_id const& organisation,
                           std::string_view key);

/** @return the row's value as JSON text. */
std::string encode(claim_row const& row);

/** @return the row, or nothing if the value is not a claim. */
std::optional<claim_row> parse_claim_row(std::string const& value);

/** @return whether a body can be stored in a row: valid UTF-8 and within the
 *  size limit. */
bool fits_in_row(std::string const& body);

/** @return the name of the object that holds a body. */
std::string object_name(std::string_view body);

} // namespace daisylead::request
