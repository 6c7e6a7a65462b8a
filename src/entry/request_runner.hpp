/** @file The way of one caller's request through an entry instance. */
#pragma once

#include "caller_connection.hpp"
#include "fleet_state.hpp"
#include "silence_guard.hpp"

#include <daisylead/serving/event_splitter_base.hpp>

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace daisylead::entry
{

/** Runs one request: checks it, places it, sends it, tries it again where that
 *  is permitted, and answers it. */
class request_runner
{
public:
    request_runner(fleet_state& state, connection_pool& pool,
                   silence_guard& silence,
                   std::shared_ptr<caller_connection> caller,
                   http::request<http::string_body> request);

    /** @return whether the connection can take the next request. */
    awaitable<bool> run();

private:
    /** What follows from one attempt. */
    enum class verdict
    {
        answered, ///< the caller has its final answer, or has left
        again,    ///< another upstream may be tried
        refused   ///< m_refusal is the final answer
    };

    /** A final answer of this instance. */
    struct refusal
    {
        int m_status = 503;
        std::string m_code;    ///< fixed word for logs and callers
        std::string m_message; ///< for callers
        std::optional<duration> m_retry_after;
    };

    std::optional<refusal> check();
    std::optional<refusal> check_key(time_point now);
    std::optional<refusal> check_quota(time_point now);
    std::optional<refusal> check_quarantine(time_point now);
    service_id choose_service() const;
    token_count upstream_capacity() const;
    awaitable<std::optional<serving::placement>> place();
    awaitable<verdict> attempt(serving::placement const& place);
    awaitable<verdict> answer_whole(http_connection& upstream,
                                    answer_facts const& facts);
    awaitable<verdict> answer_stream(http_connection& upstream);
    verdict after_failure(bool ran, std::string const& code);
    verdict after_timeout();
    http::request<http::string_body>
    make_upstream_request(serving::placement const& place,
                          std::chrono::milliseconds left);
    std::string cache_scope(std::int64_t weights) const;
    bool wants_save(std::string const& scope);
    std::chrono::milliseconds time_left() const;
    duration retry_pause() const;
    awaitable<void> refuse(refusal const& reason);
    void note_attempt(serving::placement const& place, std::string outcome,
                      time_point began);
    void log_end();

    fleet_state& m_state;
    connection_pool& m_pool;
    silence_guard& m_silence;
    std::shared_ptr<caller_connection> m_caller;
    http::request<http::string_body> m_request;
    serving::request_description m_description;
    std::shared_ptr<serving::catalog_index const> m_catalog;
    serving::route m_route;
    organisation_id m_owner;
    bool m_isolated = false;
    int m_priority = 5;
    std::int64_t m_cost = 0;       ///< charged quota
    service_id m_service;          ///< chosen by the route's split
    std::uint64_t m_prefix = 0;    ///< hash of the shared parts of the prompt
    token_count m_prefix_tokens;   ///< their size
    request::suspect_id m_suspect; ///< for the quarantine
    time_point m_began;
    time_point m_deadline;
    std::set<upstream_id> m_tried;
    int m_sends = 0;       ///< requests of which a byte may have left
    int m_runs = 0;        ///< of these, those that may have run
    int m_unreachable = 0; ///< upstreams that could not be connected
    std::shared_ptr<http_connection> m_upstream; ///< of the current attempt
    std::optional<silence_guard::watch> m_watch; ///< of the current attempt
    serving::event_splitter m_cutter;
    bool m_stream_begun = false; ///< the caller has the header of the stream
    bool m_last_close = false;   ///< the connection ends with this answer
    std::optional<refusal> m_refusal;
    int m_status = 0;
    std::string m_end;   ///< fixed word for the log
    duration m_waited{}; ///< for a place
    nlohmann::json m_attempts = nlohmann::json::array();
};

} // namespace daisylead::entry
