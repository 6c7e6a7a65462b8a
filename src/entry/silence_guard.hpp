/** @file Requests on upstreams that fell silent. */
#pragma once

#include "fleet_state.hpp"

#include <daisylead/entry/adapter_type.hpp>
#include <daisylead/serving/silence_detector_func.hpp>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

namespace daisylead::entry
{

/** A request at an upstream that waits for bytes. */
struct open_attempt
{
    upstream_id m_upstream;      ///< where it is
    std::string m_address;       ///< "IP:port"
    std::string m_request;       ///< id, for the log
    token_count m_capacity;      ///< memory of an engine; 0: unknown
    duration m_target{};         ///< of its route
    bool m_repeatable = false;   ///< another upstream may run it
    std::function<void()> m_end; ///< ends its connection
    time_point m_heard{};        ///< when it was sent or its last bytes came
    bool m_ended = false;        ///< m_end was called
};

/** All such requests and what is known of their upstreams. */
struct open_requests
{
    struct upstream_times
    {
        time_point m_heard;  ///< bytes to any request
        time_point m_probed; ///< last connection for a test
    };

    std::list<open_attempt> m_attempts;
    std::unordered_map<upstream_id, upstream_times> m_upstreams;
};

/** Looks at all requests at intervals, tests upstreams that send nothing, and
 *  ends the connections of requests that another upstream should run. */
class silence_guard
{
public:
    silence_guard(boost::asio::any_io_executor executor, fleet_state& state);

    /** Starts the checks. */
    void start();

    /** A request that is looked after for the life of this object. */
    class watch
    {
    public:
        watch(silence_guard const& guard, open_attempt attempt);
        ~watch();
        watch(watch const&) = delete;
        watch& operator=(watch const&) = delete;

        /** Bytes of the answer came. */
        void note_bytes();

        /** @return whether the connection was ended for its silence. */
        bool is_ended() const
        {
            return m_attempt->m_ended;
        }

    private:
        /** Shared, since requests end after the guard at shutdown. */
        std::shared_ptr<open_requests> m_open;
        std::list<open_attempt>::iterator m_attempt;
    };

private:
    awaitable<void> loop();
    void check(time_point now);
    awaitable<void> probe(upstream_id id, std::string address);

    boost::asio::any_io_executor m_executor;
    fleet_state& m_state;
    serving::silence_options m_options;
    std::shared_ptr<open_requests> m_open = std::make_shared<open_requests>();
};

} // namespace daisylead::entry
