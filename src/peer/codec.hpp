/** @file Translation between peer messages and Cap'n Proto. */
#pragma once

#include "generated/peer.capnp.h"

#include <daisylead/peer/message_type.hpp>

namespace daisylead::peer
{

/** Writes @p content into @p builder. */
void encode(message const& content, wire::Message::Builder builder);

/** @return the message in @p reader; an unknown kind becomes an empty body. */
message decode(wire::Message::Reader reader);

/** @return size of the message on the wire without RPC framing, bytes. */
std::size_t encoded_size(message const& content);

} // namespace daisylead::peer
