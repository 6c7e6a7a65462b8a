/** @file Table of the entry instances and failure detection by pings. */
#pragma once

#include <daisylead/membership/admission_fence_base.hpp>
#include <daisylead/membership/membership_type.hpp>
#include <daisylead/table/table_type.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace daisylead::membership
{

/** Identity of this instance and timing of its pings. */
struct member_options
{
    instance_id m_self;        ///< own id
    incarnation m_incarnation; ///< own incarnation
    std::string m_address;     ///< own peer address, "IP:port"
    duration m_ping_interval = std::chrono::milliseconds(500); ///< of rounds
    duration m_ping_timeout = std::chrono::milliseconds(1000); ///< of one ping
    /** Between rounds that ping a whole quorum; two of them fit into the
     *  fencing time. */
    duration m_quorum_round_interval = std::chrono::milliseconds(1500);
    /** After this time without table contact, rounds ping a whole quorum. It
     *  leaves half of the fencing time to reach one. */
    duration m_table_contact_timeout = std::chrono::seconds(2);
    /** An instance that is no longer listed is removed after it has been silent
     *  for this time. */
    duration m_forget_after = std::chrono::seconds(30);
};

/** Pings of one round; bounds the cost per instance at any size of the fleet.
 */
constexpr std::size_t pings_per_round = 8;
/** Pings of one round to the urgent instances of tick(). */
constexpr std::size_t urgent_pings_per_round = 64;
/** Consecutive failed pings after which an instance is silent. A single ping
 *  may fail because its connection was lost. */
constexpr int failures_until_silent = 2;

enum class member_status
{
    unknown, ///< no message from it yet
    alive,   ///< a message came since its last failed pings
    silent   ///< failures_until_silent pings have failed
};

/** Record of another entry instance. */
struct member
{
    instance_id m_id;          ///< its id
    std::string m_address;     ///< "IP:port" of its peer protocol
    incarnation m_incarnation; ///< greatest seen
    member_status m_status = member_status::unknown; ///< result of the pings
    time_point m_status_since{};              ///< when m_status last changed
    std::optional<time_point> m_last_contact; ///< last message
    config_version m_version;                 ///< newest version in force there
    instance_state m_state = instance_state::starting; ///< as reported by it
    bool m_listed = false;  ///< in the newest list of the platform
    bool m_leaving = false; ///< about to be removed
    int m_failures = 0;     ///< consecutive failed pings
};

/** A ping to send. */
struct send_ping
{
    std::string m_address; ///< "IP:port"
    ping m_ping;           ///< message
};

/** Table of the known entry instances. Their ids come from the platform's list,
 *  from received pings, and from replies of the peer addresses in the settings.
 */
class member_table
{
public:
    explicit member_table(member_options options);

    /** @param addresses peers from the settings, "IP:port" */
    void set_peer_addresses(std::vector<std::string> const& addresses);

    /** Applies a list of the platform. The last one stays valid while the
     *  platform does not answer. */
    void list_received(std::vector<table::listed_instance> const& machines,
                       time_point now);

    /** Records that the table answered a request that was sent at this time. */
    void table_reached(time_point sent_at);

    /** @param version version in force, sent with every ping; a lower one is
     *  ignored */
    void set_version(config_version version);

    /** @param state state of this instance, sent with every ping */
    void set_state(instance_state state);

    /** Fails the pings that timed out and starts a round if one is due.
     *  @param urgent instances to ping in each round, because the caller waits
     *  for their version
     *  @return pings to send */
    std::vector<send_ping> tick(time_point now,
                                std::set<instance_id> const& urgent = {});

    /** @return when to call tick() next. */
    time_point next_timer() const;

    /** Handles a ping. One from a superseded incarnation changes nothing, and
     *  the reply contains the newer incarnation.
     *  @return reply to send back */
    ping_reply ping_received(ping const& message, time_point now);

    /** Handles the reply to a ping.
     *  @return contact for the admission fence and the acceptance tracker;
     *  absent if the ping is unknown or the reply comes from a superseded
     *  incarnation or from this instance */
    std::optional<peer_contact> reply_received(ping_reply const& reply,
                                               time_point now);

    /** Handles a ping that the transport could not deliver. */
    void ping_failed(std::uint64_t number, time_point now);

    /** @return whether a newer incarnation of the sender is known, so that the
     *  message must be dropped. */
    bool is_superseded(instance_id const& sender, incarnation value) const;

    /** @return whether a newer incarnation of this instance was seen. This
     *  process must then stop admitting requests at once. */
    bool is_self_superseded() const;

    /** @return last known entry instances, including this one. Until the first
     *  list of the platform, each address of the settings that has not answered
     *  yet counts as an instance with the address as id; otherwise an instance
     *  that knows no peer would be a quorum on its own. */
    std::set<instance_id> instances() const;

    /** @return instances that are alive and neither leaving nor draining,
     *  including this one unless it is draining. */
    std::set<instance_id> live_instances() const;

    /** @return record of another instance, or null if it is unknown. */
    member const* find(instance_id const& id) const;

    /** @return records of all other instances by id. */
    std::map<instance_id, member> const& members() const;

    /** @return newest version that any instance has in force. */
    config_version newest_version() const;

private:
    struct open_ping
    {
        std::string m_address; ///< receiver
        time_point m_sent_at;  ///< when it was sent
    };

    member* add_member(instance_id const& id, std::string const& address);
    void note_contact(member& item, time_point now);
    void note_failure(std::string const& address, time_point now);
    void set_status(member& item, member_status status, time_point now);
    void remove_departed(time_point now);
    void expire_pings(time_point now);
    bool is_table_contact_lost(time_point now) const;
    bool has_open_ping(std::string const& address) const;
    std::vector<std::string> rotated_addresses();
    std::vector<std::string> select_round(std::set<instance_id> const& urgent,
                                          bool is_quorum_wide);
    std::vector<std::string>
    quorum_round(std::vector<std::string> addresses,
                 std::set<std::string> const& silent_addresses);
    std::set<std::string> addresses_with(member_status status) const;
    send_ping start_ping(std::string const& address, time_point now);
    void raise_incarnation(member& item, incarnation value);

    member_options m_options;
    config_version m_version;
    instance_state m_state = instance_state::starting;
    std::map<instance_id, member> m_members;
    std::set<std::string> m_seed_addresses; ///< of the settings, id unknown
    bool m_has_list = false;                ///< from the platform
    std::map<std::uint64_t, open_ping> m_open_pings;
    std::uint64_t m_next_number = 1;
    std::string m_rotation_cursor; ///< last pinged address
    std::optional<time_point> m_table_sent_at;
    std::optional<time_point> m_last_round;
    time_point m_next_round{};
    incarnation m_newest_own_incarnation;
};

} // namespace daisylead::membership
