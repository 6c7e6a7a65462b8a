/** @file Known instances and the pings that watch them. */
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

/** Identity and timing. */
struct member_options
{
    instance_id m_self;        ///< own id
    incarnation m_incarnation; ///< own incarnation
    std::string m_address;     ///< own peer address, "IP:port"
    duration m_ping_interval = std::chrono::milliseconds(500); ///< of rounds
    duration m_ping_timeout = std::chrono::milliseconds(1000); ///< of a ping
    /** Between quorum-wide rounds; two of them fit into the fencing time. */
    duration m_quorum_round_interval = std::chrono::milliseconds(1500);
    /** Without table contact for this long, rounds go quorum-wide. It leaves
     *  half of the fencing time to collect a quorum. */
    duration m_table_contact_timeout = std::chrono::seconds(2);
    /** An instance that left the list and stays silent is forgotten after
     *  this time. */
    duration m_forget_after = std::chrono::seconds(30);
};

/** Pings of one round; bounds the cost of a node in fleets of any size. */
constexpr std::size_t pings_per_round = 8;
/** Pings of one round to instances that a caller of tick() waits for. */
constexpr std::size_t urgent_pings_per_round = 64;
/** Failed pings in a row after which an instance is silent. One may fail by a
 *  lost connection alone. */
constexpr int failures_until_silent = 2;

enum class member_status
{
    unknown, ///< never heard
    alive,   ///< answers, or sent something lately
    silent   ///< did not answer and sent nothing
};

/** What is known of an instance. */
struct member
{
    instance_id m_id;          ///< its id
    std::string m_address;     ///< "IP:port" of its peer protocol
    incarnation m_incarnation; ///< greatest seen
    member_status m_status = member_status::unknown; ///< whether it answers
    time_point m_status_since{};              ///< when m_status last changed
    std::optional<time_point> m_last_contact; ///< when a message last came
    config_version m_version;                 ///< newest version it confirmed
    instance_state m_state = instance_state::starting; ///< its own report
    bool m_listed = false;  ///< in the newest list of the platform
    bool m_leaving = false; ///< the platform is about to remove it
    int m_failures = 0;     ///< failed pings in a row
};

/** A ping to send. */
struct send_ping
{
    std::string m_address; ///< "IP:port"
    ping m_ping;           ///< message
};

/** Table of the known instances. Ids come from the platform's list, from
 *  received pings and from replies of the addresses in the settings. */
class member_table
{
public:
    explicit member_table(member_options options);

    /** @param addresses peers from the settings, "IP:port" */
    void set_peer_addresses(std::vector<std::string> const& addresses);

    /** A list came from the platform. While it fails, the last one stays. */
    void list_received(std::vector<table::listed_machine> const& machines,
                       time_point now);

    /** The table answered a request that was sent at this time. */
    void table_reached(time_point sent_at);

    /** @param version version in force; it goes out with every ping */
    void set_version(config_version version);

    /** @param state own state; it goes out with every ping */
    void set_state(instance_state state);

    /** Ends pings without an answer and starts a round if one is due.
     *  @param urgent instances whose version the caller waits for */
    std::vector<send_ping> tick(time_point now,
                                std::set<instance_id> const& urgent = {});

    /** @return when tick() is needed next. */
    time_point next_timer() const;

    /** Takes a ping. One of a superseded incarnation changes nothing here, and
     *  the reply tells its sender.
     *  @return reply to send back */
    ping_reply ping_received(ping const& message, time_point now);

    /** Takes the reply to a ping.
     *  @return evidence for the fence and the acceptance tracker; none if the
     *  ping is unknown or the reply comes from a superseded incarnation */
    std::optional<peer_contact> reply_received(ping_reply const& reply,
                                               time_point now);

    /** The transport could not deliver a ping. */
    void ping_failed(std::uint64_t number, time_point now);

    /** @return whether a message of this incarnation must be dropped. */
    bool is_superseded(instance_id const& sender, incarnation value) const;

    /** @return whether a newer incarnation of this instance was seen. It must
     *  stop admitting at once. */
    bool is_self_superseded() const;

    /** @return last known entry instances, the own one included. Until the
     *  first list of the platform, an address of the settings whose instance
     *  did not answer yet counts as one more instance, named by the address:
     *  an instance that knows nobody must not take itself for a quorum. */
    std::set<instance_id> instances() const;

    /** @return instances that answer and are not leaving, the own one included
     *  unless it drains. */
    std::set<instance_id> live_instances() const;

    /** @return an instance, or null if it is unknown. */
    member const* find(instance_id const& id) const;

    /** @return all other instances by id. */
    std::map<instance_id, member> const& members() const;

    /** @return the newest version that any instance reported, to fetch. */
    config_version newest_version() const;

private:
    struct open_ping
    {
        std::string m_address; ///< where it went
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
    std::set<std::string> m_seed_addresses; ///< settings, id not known yet
    bool m_has_list = false;                ///< a list of the platform came
    std::map<std::uint64_t, open_ping> m_open_pings;
    std::uint64_t m_next_number = 1;
    std::string m_rotation_cursor; ///< address that the rotation reached
    std::optional<time_point> m_table_sent_at;
    std::optional<time_point> m_last_round;
    time_point m_next_round{};
    incarnation m_newest_own_incarnation;
};

} // namespace daisylead::membership
