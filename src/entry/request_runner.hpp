/** @file Handling of one request of a caller. */
#pragma once

#include "caller_connection.hpp"
#include "crash_detector.hpp"
#include "fleet_state.hpp"
#include "silence_detector.hpp"
#include "stream_directory.hpp"

#include <daisylead/serving/event_splitter_base.hpp>

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace daisylead::entry
{

/** Handles one request: checks and places it, sends it to an upstream,
 *  retries it where that is permitted, and answers the caller. */
class request_runner
{
public:
    request_runner(fleet_state& state, upstream_connector& connector,
                   silence_detector& silence, crash_detector& crashes,
                   stream_directory& streams,
                   std::shared_ptr<caller_connection> caller,
                   http::request<http::string_body> request);

    /** @return whether the connection can be used for another request. */
    awaitable<bool> run();

private:
    /** How to proceed after an attempt. */
    enum class next_action
    {
        done,  ///< the caller has its final answer or has left
        retry, ///< try another upstream
        refuse ///< answer with m_refusal
    };

    /** An error answer of this instance. */
    struct refusal
    {
        int m_status = 503;
        std::string m_code;    ///< fixed error code for logs and callers
        std::string m_message; ///< error message for callers
        std::optional<duration> m_retry_after;
    };

    /** Times of an attempt for the log. */
    struct attempt_times
    {
        time_point m_began;                   ///< before the connect
        std::optional<time_point> m_sent;     ///< start of the request's bytes
        std::optional<time_point> m_answered; ///< first bytes of the answer
        std::optional<duration> m_outdated_for; ///< of the weights when sent
    };

    /** Handles the request up to its final answer. */
    awaitable<void> handle();
    /** Ends an attempt that was interrupted by an exception. */
    void end_failed_attempt();
    /** Answers after an exception. */
    awaitable<void> answer_failure();
    std::optional<refusal> check();
    /** @return whether what the configuration does not know may be new. */
    bool is_configuration_unsure(time_point now) const;
    std::optional<refusal> check_key(time_point now);
    std::optional<refusal> check_quota(time_point now);
    std::optional<refusal> check_quarantine(time_point now);
    std::optional<refusal> check_parts(time_point now);
    std::optional<refusal> check_before_send(time_point now);
    service_id choose_service() const;
    token_count upstream_capacity() const;
    /** @return whether the caller resumes a stream. */
    bool resumes_stream() const;
    /** Finds the service and the software version of a resumed stream. */
    awaitable<std::optional<refusal>> find_stream_origin();
    /** Before a stream that has begun goes on at another upstream.
     *  @return whether the version of its first one is known for sure */
    awaitable<bool> confirm_stream_origin();
    /** @return whether a stream may go on at the process that accepted the
     *          connection of the current attempt: nothing says that it is not
     *          the one in the record, and the record is new enough. */
    bool may_continue_at(serving::upstream_record const& upstream) const;
    void note_stream_begun(serving::upstream_record const& upstream);
    awaitable<std::optional<serving::placement>> wait_for_placement();
    awaitable<next_action> attempt(serving::placement const& place);
    /** Gives the connection of the current attempt back, when its call is done.
     *  It may serve another request at once, so neither the caller's close nor
     *  the silence detector may abort it any more. */
    void return_connection();
    /** The current attempt is no longer in flight at its upstream. */
    void end_count();
    /** @return whether an answer to this request with that status may have a
     *          body. */
    bool may_have_body(int status) const;
    awaitable<next_action> answer_whole(http_connection& upstream,
                                        answer_info const& info);
    awaitable<next_action>
    answer_stream(http_connection& upstream,
                  serving::upstream_record const& sender);
    /** Accounts for the event that is not complete yet.
     *  @return false if there is no room for it */
    awaitable<bool> hold_partial_event();
    /** @return whether an answer has the status and media type of the stream
     *          that the caller receives. */
    bool continues_stream(http_connection const& upstream) const;
    bool shows_begin() const;
    next_action after_failure(bool ran, std::string const& code);
    next_action after_timeout();
    request_header make_upstream_request(serving::placement const& place,
                                         std::chrono::milliseconds left);
    std::string cache_scope(std::int64_t weights) const;
    void set_kv_transfers(upstream_call& call);
    bool wants_save(std::string const& scope, std::string const& store);
    std::chrono::milliseconds time_left() const;
    duration suggested_retry_delay() const;
    awaitable<void> refuse(refusal const& reason);
    void note_attempt(serving::placement const& place, std::string outcome,
                      attempt_times const& times);
    nlohmann::json shared_part_ids() const;
    void log_end();

    fleet_state& m_state;
    upstream_connector& m_connector;
    silence_detector& m_silence_detector;
    crash_detector& m_crash_detector;
    stream_directory& m_streams;
    std::shared_ptr<caller_connection> m_caller;
    http::request<http::string_body> m_request; ///< its body is in m_body
    std::shared_ptr<std::string const> m_body;
    serving::request_description m_description;
    std::shared_ptr<serving::catalog_index const> m_catalog;
    serving::route m_route;
    organisation_id m_owner;
    bool m_isolated = false;
    int m_priority = 5;
    std::int64_t m_cost = 0;       ///< units charged to the organisation
    service_id m_service;          ///< chosen by the traffic split of the route
    std::uint64_t m_prefix = 0;    ///< hash of the shared prompt parts
    token_count m_prefix_tokens;   ///< size of the shared prompt parts
    request::suspect_id m_suspect; ///< identity for the quarantine
    /** Parts of the prompt that other requests may share. */
    std::vector<request::part_digest> m_shared_parts;
    time_point m_began;
    time_point m_deadline;
    std::set<upstream_id> m_tried;
    int m_sends = 0; ///< sends of which a byte may have left this instance
    int m_possible_runs = 0;   ///< sends that an upstream may have run
    int m_broken_attempts = 0; ///< attempts whose connection broke
    /** Upstreams that refused or timed out connections, or whose process is not
     *  known for sure. */
    int m_unreachable = 0;
    std::shared_ptr<http_connection> m_upstream; ///< of the current attempt
    instance_id m_via; ///< peer whose tunnel the attempt uses; empty: none
    /** Aborts the current attempt when the caller leaves. */
    std::optional<caller_watch> m_caller_watch;
    /** Upstream at which the current attempt is counted as in flight. */
    std::optional<upstream_id> m_counted_at;
    bool m_answer_begun = false; ///< the current attempt has bytes of an answer
    std::optional<silence_detector::watch>
        m_silence_watch;                 ///< of the current attempt
    std::optional<answer_memory> m_held; ///< by the current attempt
    serving::event_splitter m_splitter;
    bool m_stream_begun = false; ///< header was sent to the caller
    std::string m_stream_type;   ///< media type in that header
    /** Set once the stream must go on at upstreams of one version only. */
    std::optional<software_version> m_software;
    std::string m_software_source; ///< how m_software is known, for the log
    /** The processes of upstreams may have been replaced since service
     *  discovery was read. */
    bool m_needs_proven_target = false;
    serving::stream_origin m_origin;  ///< of the stream that has begun
    time_point m_origin_connected_at; ///< of the connection on which it began
    bool m_close_after = false; ///< close the connection after this answer
    std::optional<refusal> m_refusal;
    int m_status = 0;
    std::string m_end_reason; ///< outcome in the log and metrics
    duration m_wait_time{};   ///< time spent in wait_for_placement()
    nlohmann::json m_attempts = nlohmann::json::array();
};

} // namespace daisylead::entry
