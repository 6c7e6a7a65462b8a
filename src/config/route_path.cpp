/** @file Checks of route paths. */
#include "route_path.hpp"

#include <string>

namespace daisylead::config
{

namespace
{

/** Paths of the model interface, which routes must leave free. */
constexpr std::string_view reserved_path = "/v1/";

} // namespace

bool collides_with_reserved(std::string_view path)
{
    return path.starts_with(reserved_path) || reserved_path.starts_with(path);
}

bool is_plain_path(std::string_view path)
{
    if (!path.starts_with('/') ||
        path.find_first_of("?#%\\") != std::string_view::npos)
    {
        return false;
    }
    for (char const item : path)
    {
        if (item <= ' ' || item > '~')
        {
            return false;
        }
    }
    std::string const closed = std::string(path) + "/";
    return path.find("//") == std::string_view::npos &&
           closed.find("/./") == std::string::npos &&
           closed.find("/../") == std::string::npos;
}

} // namespace daisylead::config
