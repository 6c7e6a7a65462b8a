/** @file Detection of requests on silent upstreams. */
#pragma once

#include "upstream_connector.hpp"

#include <daisylead/entry/adapter_type.hpp>
#include <daisylead/serving/silence_detector_func.hpp>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

namespace daisylead::entry
{

/** Why the detector closed the connection of an attempt. */
enum class abort_reason
{
    none,    ///< it did not
    silent,  ///< the upstream sends nothing
    outdated ///< not begun while the weights of the engine may be used
};

/** An attempt that waits for bytes of an upstream. */
struct watched_attempt
{
    upstream_id m_upstream;        ///< upstream of the attempt
    std::string m_request;         ///< request id, for the log
    token_count m_capacity;        ///< cache capacity of an engine; 0: unknown
    duration m_target{};           ///< target latency of its route
    bool m_repeatable = false;     ///< another upstream may run it
    std::function<void()> m_abort; ///< closes its connection
    time_point m_last_bytes_at{};  ///< time of the send or of the last bytes
    model_id m_model;              ///< empty: no prompt
    bool m_begun = false;          ///< bytes of the answer have come
    abort_reason m_aborted = abort_reason::none; ///< why m_abort was called
};

/** All watched attempts, and the times of their upstreams. */
struct watched_attempts
{
    struct upstream_times
    {
        time_point m_last_bytes_at; ///< last bytes of the answer to any request
        time_point m_last_probe_at; ///< last probe connection
    };

    std::list<watched_attempt> m_attempts;
    std::unordered_map<upstream_id, upstream_times> m_upstreams;
};

/** Checks all attempts at intervals, probes upstreams that send nothing, and
 *  closes the connections of attempts that another upstream should run, or that
 *  would begin on weights that are too old. */
class silence_detector
{
public:
    silence_detector(boost::asio::any_io_executor executor, fleet_state& state,
                     upstream_connector& connector);

    /** Starts the periodic checks. */
    void start();

    /** Registers an attempt with the detector for the lifetime of this
     *  object. */
    class watch
    {
    public:
        watch(silence_detector const& detector, watched_attempt attempt);
        ~watch();
        watch(watch const&) = delete;
        watch& operator=(watch const&) = delete;

        /** Bytes of the answer arrived. */
        void note_bytes();

        /** @return why the detector closed the connection. */
        abort_reason reason() const
        {
            return m_attempt->m_aborted;
        }

    private:
        /** Shared, since attempts may outlive the detector at shutdown. */
        std::shared_ptr<watched_attempts> m_watched;
        std::list<watched_attempt>::iterator m_attempt;
    };

private:
    awaitable<void> loop();
    void check(time_point now);
    void check_silence(watched_attempt& item, time_point now);
    static void abort(watched_attempt& item, abort_reason reason);
    awaitable<void> probe(upstream_id id);

    boost::asio::any_io_executor m_executor;
    fleet_state& m_state;
    upstream_connector& m_connector;
    serving::silence_options m_options;
    std::shared_ptr<watched_attempts> m_watched =
        std::make_shared<watched_attempts>();
};

} // namespace daisylead::entry
