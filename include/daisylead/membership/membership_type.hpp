/** @file Messages of the failure detection between instances. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <cstdint>
#include <string>

namespace daisylead::membership
{

enum class instance_state
{
    starting, ///< has no configuration yet
    serving,  ///< admits requests
    fenced,   ///< admits nothing until it reaches the table or a
              ///< quorum
    draining  ///< finishes its requests before it exits
};

/** Heartbeat to a peer: reports the sender's state and asks for the peer's. */
struct ping
{
    instance_id m_sender;       ///< instance that pings
    incarnation m_incarnation;  ///< its incarnation; greater after a restart
    std::string m_address;      ///< its peer address, "IP:port"
    std::uint64_t m_number = 0; ///< echoed in the reply
    config_version m_version;   ///< newest version in force at the sender
    instance_state m_state = instance_state::starting; ///< sender's state
};

/** Reply to a ping. */
struct ping_reply
{
    instance_id m_sender;       ///< instance that replies
    incarnation m_incarnation;  ///< its incarnation
    std::uint64_t m_number = 0; ///< of the ping
    config_version m_version;   ///< newest version in force at the peer
    instance_state m_state = instance_state::starting; ///< peer's state
    /** Greatest known incarnation of the pinging instance. If it is greater
     *  than that of the ping, the pinging process has been superseded. */
    incarnation m_known_incarnation;
};

} // namespace daisylead::membership
