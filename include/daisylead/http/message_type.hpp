/** @file HTTP messages as the other packages see them. */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisylead::http
{

/** One header field. */
struct header
{
    std::string m_name;  ///< as received; names compare case-insensitively
    std::string m_value; ///< value without surrounding blanks
};

using header_list = std::vector<header>;

/** Body bytes shared between threads without a copy. */
using shared_body = std::shared_ptr<std::string const>;

/** Identifies a caller's connection within one server. */
using connection_id = std::uint64_t;

/** A request that was received whole. */
struct server_request
{
    std::string m_method;         ///< for example "POST"
    std::string m_path;           ///< target without the query
    std::string m_query;          ///< query without '?'
    header_list m_headers;        ///< all header fields
    shared_body m_body;           ///< never null
    connection_id m_connection{}; ///< connection it came over
};

/** @return whether two header names are the same. */
bool same_header_name(std::string_view a, std::string_view b);

/** @return the value of the first header of that name, if there is one. */
std::optional<std::string> find_header(header_list const& headers,
                                       std::string_view name);

} // namespace daisylead::http
