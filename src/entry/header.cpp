/** @file Removal of hop-by-hop header fields. */
#include "header_func.hpp"

#include <boost/beast/http/rfc7230.hpp>

#include <string>
#include <vector>

namespace daisylead::entry
{

void remove_connection_fields(boost::beast::http::fields& fields)
{
    namespace http = boost::beast::http;
    std::vector<std::string> named;
    auto const range = fields.equal_range(http::field::connection);
    for (auto it = range.first; it != range.second; ++it)
    {
        for (auto const& token : http::token_list(it->value()))
        {
            std::string const name(token);
            // X- fields describe the request; a Connection field of the caller
            // must not remove them.
            if (!boost::beast::iequals(name.substr(0, 2), "X-"))
            {
                named.push_back(name);
            }
        }
    }
    for (std::string const& name : named)
    {
        fields.erase(name);
    }
    for (char const* name :
         {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
          "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding",
          "Upgrade", "Content-Length", "Expect"})
    {
        fields.erase(name);
    }
}

} // namespace daisylead::entry
