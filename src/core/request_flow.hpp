/** @file Life cycle of requests. */
#pragma once

#include "explanation_log.hpp"
#include "limit_gate.hpp"
#include "outbox.hpp"
#include "upstream_watch.hpp"

#include <daisylead/access/access_table_base.hpp>
#include <daisylead/admission/admission_queue_base.hpp>
#include <daisylead/config/configuration_type.hpp>
#include <daisylead/core/control_base.hpp>
#include <daisylead/core/event_type.hpp>
#include <daisylead/prefix/block_chain_type.hpp>
#include <daisylead/request/claim_flow_base.hpp>
#include <daisylead/request/quarantine_base.hpp>
#include <daisylead/request/retry_policy_base.hpp>

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace daisylead::core
{

/** Takes each request from its arrival to its final answer: checks, limit,
 *  queue, claim, attempts. */
class request_flow
{
public:
    /** The references must outlive this object. */
    request_flow(control_options const& options, control_hooks const& hooks,
                 outbox& actions, upstream_watch& upstreams, limit_gate& limits,
                 explanation_log& explanations,
                 membership::member_table const& members);

    /** Takes a new version; requests of revoked keys end. */
    void apply(std::shared_ptr<config::configuration const> const& next,
               time_point now);

    /** @param may_admit whether the fence is open */
    void on(request_arrived const& item, bool may_admit, time_point now);
    void on(caller_gone const& item, time_point now);
    void on(first_token_received const& item, time_point now);
    void on(attempt_ended const& item, time_point now);
    void on(limit_decision const& item, time_point now);
    void on(transaction_ended const& item, time_point now);
    void on(table_read_ended const& item, time_point now);
    void on(object_read_ended const& item, time_point now);
    void on(object_write_ended const& item, time_point now);

    /** The engine has a new incarnation, or refuses connections.
     *  @param crash the life that ended */
    void on_upstream_crash(request::upstream_incarnation const& crash,
                           time_point now);

    /** News of a peer on requests that crashed upstreams. */
    void on_news(peer::quarantine_news const& news, time_point now);

    /** Ends the streams and queued requests of keys, because this instance
     *  could not learn for too long whether their keys were revoked. */
    void end_keyed_requests(time_point now);

    /** While the table is out of reach, calls that need a claim are refused
     *  at once. */
    void set_table_reachable(bool reachable);

    void on_timer(time_point now);

    /** @return when on_timer() is needed next, if at all. */
    std::optional<time_point> next_timer() const;

    /** @return requests without a final answer. */
    std::size_t open_requests() const
    {
        return m_requests.size();
    }

    /** @return claims whose outcome is not stored yet. Releases of unused
     * claims are not waited for: they can take long while the table is down. */
    std::size_t open_claims() const
    {
        return m_claims.keys_in_progress();
    }

    nlohmann::json dump() const;

private:
    enum class phase
    {
        reserving, ///< waits for the limit
        queued,    ///< waits for an upstream
        claiming,  ///< waits for the claim, or its outcome is being stored
        running    ///< an attempt is under way
    };

    struct state
    {
        request::request_info m_info;
        phase m_phase = phase::reserving;
        organisation_id m_organisation;
        config::route const* m_route = nullptr; ///< of m_configuration
        model_id m_model;                       ///< base model
        weights_version m_weights;
        adapter_id m_adapter;
        weights_version m_adapter_weights;
        prefix::block_chain m_chain;
        token_count m_prompt_tokens;
        token_count m_max_tokens;
        token_count m_reserved;
        token_count m_generated;
        int m_priority = 0;
        time_point m_arrived;
        time_point m_deadline;
        bool m_claimed = false;      ///< runs under a claim
        bool m_may_have_run = false; ///< an attempt may have been sent
        std::vector<upstream_id> m_tried;
        std::vector<upstream_id> m_excluded; ///< not for the next attempt
        time_point m_not_before{};           ///< delay of a retry
        int m_broken_attempts = 0;           ///< may have crashed an upstream
        bool m_must_run_alone = false;       ///< suspected of a crash
        int m_attempts = 0;
        attempt_id m_attempt;
        upstream_id m_upstream;
        routing::send_number m_send = 0;
        std::optional<time_point> m_unserved_since;
        /** Keeps m_route valid when the configuration changes. */
        std::shared_ptr<config::configuration const> m_configuration;
    };

    using states = std::unordered_map<request_id, state>;

    // Checks: they only test and return the refusal, if there is one.
    std::optional<request::refusal> check_route(state& item) const;
    std::optional<request::refusal> check_access(state& item) const;
    std::optional<request::refusal> check_model(state& item) const;

    void prepare_model(state& item) const;
    void prepare_service(state& item) const;
    int priority_of(state const& item) const;
    void list_permitted_models(state const& item);
    bool needs_claim(state const& item) const;
    bool is_repeatable(state const& item) const;

    void enqueue(state& item, time_point now);
    void refuse_queued(std::vector<admission::refused_request> const& refused,
                       time_point now);
    void dispatch(time_point now);
    bool can_start(state& item, time_point now);
    routing::choice choose(state const& item, time_point now);
    void start(state& item, time_point now);
    void begin_claim(state& item, time_point now);
    void begin_attempt(state& item, routing::choice const& chosen,
                       time_point now);
    void run_claim_actions(request::claim_flow::actions const& actions,
                           time_point now);
    void permit(request_id const& id, time_point now);
    void note_attempt_end(state& item, request::attempt_result const& result,
                          time_point now);
    bool prepare_retry(state& item, request::attempt_result const& result,
                       time_point now);
    std::vector<upstream_id> usable_upstreams(state const& item,
                                              time_point now) const;
    void retry(state& item, time_point now);
    std::optional<request::refusal> check_quarantine(state& item,
                                                     time_point now);
    void spread(std::vector<request::quarantine_update> const& news);
    request::upstream_incarnation life_of(upstream_id const& id) const;
    request::refusal give_up(state const& item,
                             request::attempt_result const& result,
                             time_point now);
    void refuse(request_id const& id, request::refusal const& answer,
                time_point now);
    void finish(request_id const& id, time_point now);
    void revoke(state& item, time_point now);
    state* find(request_id const& id);

    control_options m_options;
    control_hooks m_hooks;
    outbox& m_actions;
    upstream_watch& m_upstreams;
    limit_gate& m_limits;
    explanation_log& m_explanations;
    membership::member_table const& m_members;
    std::shared_ptr<config::configuration const> m_configuration;
    access::access_table m_access;
    admission::admission_queue m_queue;
    request::claim_flow m_claims;
    request::retry_policy m_retries;
    request::quarantine m_quarantine;
    states m_requests;
    time_point m_next_dispatch{};
    bool m_table_reachable = true;
};

} // namespace daisylead::core
