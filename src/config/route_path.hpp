/** @file Checks of route paths. */
#pragma once

#include <string_view>

namespace daisylead::config
{

/** @return whether requests under @p path and under /v1/ can be the same. */
bool collides_with_reserved(std::string_view path);

/** Other spellings of the same path would let a caller reach a route under the
 *  access rules of another one.
 *  @return whether @p path is absolute and has one spelling only. */
bool is_plain_path(std::string_view path);

} // namespace daisylead::config
