/** @file Table of the upstreams, and selection of one for a request. */
#pragma once

#include <daisylead/config/configuration_type.hpp>
#include <daisylead/routing/upstream_type.hpp>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace daisylead::routing
{

/** Parameters of the table and of the selection. */
struct table_options
{
    /** Assumed prefill rate of an upstream until it is measured. */
    token_rate m_default_prefill_rate{8000};
    /** Requests of this instance per upstream. */
    std::int64_t m_max_in_flight = 64;
    /** Cost of an upstream in another availability zone: a round trip, with
     *  0.5 to 1 ms in each direction. */
    duration m_zone_cost = std::chrono::milliseconds(2);
    /** Weight of prefill time relative to waiting time. Recomputed blocks also
     *  take prefill time and cache memory from later requests. In replay, 1
     *  without a rank cost copies hot prefixes to all engines until the caches
     *  thrash, and 12 makes waits at engines with hot prefixes too long. */
    double m_recompute_weight = 2;
    /** Average wait at which the weight of waiting relative to recomputation
     *  is halved; it decreases further with longer waits. Otherwise an
     *  overload copies prefixes to all engines, which makes it worse. */
    duration m_half_weight_wait = std::chrono::milliseconds(700);
    /** Cost of each doubling of an engine's rank by rendezvous hashing of the
     *  prefix. It makes all instances copy a hot prefix to the same few
     *  engines, including instances that have no cache data yet. */
    duration m_rank_cost = std::chrono::milliseconds(300);
    /** Costs within this margin of the lowest count as equal; smaller
     *  differences are within the error of the delayed load reports. */
    duration m_near_equal = std::chrono::milliseconds(10);
    /** Number of leading blocks that rendezvous hashing uses as the prefix. Too
     *  few place all prompts of an organisation on one engine; too many
     *  separate prompts that share most of their prefix. In replay, 8 is best
     *  for estimated_ttft and for bounded_rendezvous. */
    std::size_t m_rendezvous_blocks = 8;
    /** Time for which a peer's report that an upstream is leaving is valid. If
     *  it is true, the load report or the instance list confirms it. */
    duration m_peer_report_lifetime = std::chrono::seconds(10);
    /** Maximum estimated wait at the chosen engine. Above it the request is
     *  held: it stays in the admission queue, which is served in fair order
     *  and from which it can still be refused or removed. */
    duration m_max_wait = std::chrono::milliseconds(500);
    policy m_policy = policy::estimated_ttft; ///< selection rule
};

/** Keeps the state of each upstream, merged from all sources, and selects an
 *  upstream for a request. */
class upstream_table
{
public:
    /** @param options parameters
     *  @param random returns uniform 64-bit random numbers */
    upstream_table(table_options options,
                   std::function<std::uint64_t()> random);
    ~upstream_table();
    upstream_table(upstream_table const&) = delete;
    upstream_table& operator=(upstream_table const&) = delete;

    /** Changes the parameters, for example with a new configuration. */
    void set_options(table_options options);

    /** Applies the inventory of a configuration. The numbers of upstreams that
     *  remain do not change.
     *  @return numbers of the removed upstreams; the caller has to remove them
     *          from the prefix index before it adds new ones */
    std::vector<upstream_number>
    apply_configuration(std::span<config::upstream const> upstreams);

    /** Applies the instance list.
     *  @param leaving upstreams that are leaving according to the list */
    void apply_instance_list(std::span<upstream_id const> leaving);

    /** Applies a load report, unless a newer one was applied before.
     *  @return whether the upstream restarted, that is, has a new incarnation;
     *          the caller has to pass the incarnation to
     *          prefix_index::note_incarnation in any case */
    bool apply_load_report(upstream_id const& id, load_report const& report,
                           time_point now);

    /** Records that a peer reported the upstream as leaving. */
    void note_peer_leaving(upstream_id const& id, time_point now);

    /** Records a refused connection. The upstream gets no new work until a load
     *  report that is newer arrives or a probe after the penalty succeeds. */
    void note_refused(upstream_id const& id, time_point now);

    /** Records an attempt that failed because of the upstream. */
    void note_failed(upstream_id const& id, time_point now);

    /** Records a request that was sent.
     *  @param uncached prompt tokens that the engine has to compute
     *  @return number that identifies this send; 0 if the upstream is not known
     */
    send_number note_sent(upstream_id const& id, token_count uncached,
                          time_point now);

    /** Records the first token and updates the measured prefill rate. */
    void note_first_token(send_number number, time_point now);

    /** Records the end of an attempt. Unknown numbers are ignored.
     *  @param succeeded whether it succeeded; success of a probe ends the
     *         penalty of the upstream */
    void note_ended(send_number number, bool succeeded);

    /** Selects an upstream. The state changes only with note_sent(). An
     *  upstream whose penalty is over gets one request at a time as a probe.
     *  @param max_explained maximum number of candidates to return for
     *         explanations; 0: no explanation */
    choice choose(choice_request const& request, time_point now,
                  std::size_t max_explained = 0);

    /** @return number of the upstream; none if it is not in the inventory */
    std::optional<upstream_number> number_of(upstream_id const& id) const;

    /** @return whether any source reports the upstream as leaving, or it is not
     *  in the inventory */
    bool is_leaving(upstream_id const& id, time_point now) const;

    /** @return minimum estimated wait before a prefill starts, over the engines
     *  that are configured for the model. Used for early refusal. */
    duration shortest_wait(model_id const& model, time_point now) const;

    /** @return state of all upstreams as JSON */
    nlohmann::json dump(time_point now) const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

/** Same as table.choose(). */
choice choose_upstream(upstream_table& table, choice_request const& request,
                       time_point now, std::size_t max_explained = 0);

} // namespace daisylead::routing
