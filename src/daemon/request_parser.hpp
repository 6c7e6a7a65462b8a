/** @file Parsing of callers' requests. */
#pragma once

#include <daisylead/http/message_type.hpp>
#include <daisylead/request/request_type.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <variant>

namespace daisylead::daemon
{

/** A caller's request, parsed as far as its endpoint needs. */
struct parsed_request
{
    request::request_info m_info; ///< what the control state needs
    nlohmann::json m_body;        ///< JSON body of a model request, else null
};

/** @return the request, or the refusal of a malformed one. */
std::variant<parsed_request, request::refusal>
parse_request(http::server_request const& received, request_id const& id);

/** @return the header fields that may go to a plain service: no credentials,
 *  no hop-by-hop fields. */
http::header_list forwardable_headers(http::header_list const& headers);

/** @return the query without parameters that may hold a key. */
std::string forwardable_query(std::string const& query);

} // namespace daisylead::daemon
