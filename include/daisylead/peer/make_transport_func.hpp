/** @file Transport by Cap'n Proto RPC. */
#pragma once

#include <daisylead/peer/transport_base.hpp>

#include <memory>

namespace daisylead::peer
{

/** Listens on @p address and starts the transport's thread.
 *  @param address "IP:port"
 *  @param on_message runs on the transport's thread
 *  @throws daisylead::error if the address cannot be used */
std::unique_ptr<transport> make_transport(std::string const& address,
                                          message_hook on_message);

} // namespace daisylead::peer
