/** @file Transport of messages between instances. */
#pragma once

#include <daisylead/peer/message_type.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace daisylead::peer
{

/** Takes the reply of a peer; nothing if none came in time. */
using reply_hook = std::function<void(std::optional<message>)>;

/** Handles a message of a peer; the second argument sends the reply and must
 *  be called at most once, from any thread. */
using message_hook = std::function<void(message, std::function<void(message)>)>;

/** Sends messages to other instances and hands theirs to a hook. */
class transport
{
public:
    transport() = default;
    transport(transport const&) = delete;
    transport& operator=(transport const&) = delete;
    virtual ~transport() = default;

    /** Sends a message; may be called from any thread.
     *  @param address "IP:port" of the peer
     *  @param timeout until the reply
     *  @param on_reply runs on the transport's thread, at most once */
    virtual void send(std::string const& address, message content,
                      std::chrono::milliseconds timeout,
                      reply_hook on_reply) = 0;

    /** Stops the transport; the hooks of open sends are not called. */
    virtual void stop() = 0;
};

/** Makes the transport of a process.
 *  @param on_message runs on the transport's thread */
using transport_factory = std::function<std::unique_ptr<transport>(
    std::string const& address, message_hook on_message)>;

} // namespace daisylead::peer
