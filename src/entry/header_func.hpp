/** @file Removal of hop-by-hop header fields. */
#pragma once

#include <boost/beast/http/fields.hpp>

namespace daisylead::entry
{

/** Removes hop-by-hop fields: framing, and the fields that Connection lists. */
void remove_connection_fields(boost::beast::http::fields& fields);

} // namespace daisylead::entry
