/** @file Header fields that concern one connection only. */
#pragma once

#include <boost/beast/http/fields.hpp>

namespace daisylead::entry
{

/** Removes the fields of one connection: framing, and what the field
 *  Connection names. */
void remove_connection_fields(boost::beast::http::fields& fields);

} // namespace daisylead::entry
