/** @file Control state of one instance. */
#pragma once

#include <daisylead/config/configuration_type.hpp>
#include <daisylead/core/action_type.hpp>
#include <daisylead/core/event_type.hpp>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daisylead::core
{

/** Identity and timing of the instance. */
struct control_options
{
    instance_id m_instance;           ///< id of this instance
    time_point m_started_at;          ///< when this process started
    incarnation m_incarnation;        ///< greater after each restart
    zone_id m_zone;                   ///< its availability zone
    region_id m_region;               ///< its region
    std::string m_peer_address;       ///< own peer address, "IP:port"
    std::vector<std::string> m_peers; ///< peers from the settings
    duration m_poll_interval = std::chrono::seconds(1); ///< of the table
    duration m_drain_delay = std::chrono::seconds(2);   ///< before closing
};

/** Hooks that vary between the daemon, replay and tests. */
struct control_hooks
{
    std::function<std::uint64_t()> m_random;    ///< uniform 64-bit numbers
    std::function<std::int64_t()> m_wall_clock; ///< Unix time in ms
    /** Counts an event; the label value may be empty. */
    std::function<void(std::string const& name, std::string const& label)>
        m_count;
    /** Observes a duration. */
    std::function<void(std::string const& name, duration)> m_observe;
};

/** Takes typed events with the current time and returns typed actions. It does
 *  no I/O, reads no clock and is used by one thread. */
class control
{
public:
    control(control_options const& options, control_hooks const& hooks);
    ~control();
    control(control const&) = delete;
    control& operator=(control const&) = delete;

    /** @param now current time; must not go back between calls */
    std::vector<action> handle(event const& item, time_point now);

    /** @return when a timer_due event is needed next. */
    time_point next_timer() const;

    /** @return whether the load balancer should send requests here. */
    bool is_ready(time_point now) const;

    /** @return the configuration in force; null before the first. */
    std::shared_ptr<config::configuration const> const& configuration() const;

    /** @return the steps of a request, if it is still known. */
    std::optional<nlohmann::json> explain(request_id const& request) const;

    /** @return the state as JSON, without keys or prompts. */
    nlohmann::json dump(time_point now) const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisylead::core
