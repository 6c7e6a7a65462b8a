/** @file State of all upstreams as one instance knows it. */
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

/** Constants of the table and the choice. */
struct table_options
{
    /** Prefill speed until it is measured, tokens per second. */
    token_rate m_default_prefill_rate{8000};
    std::int64_t m_max_in_flight = 64; ///< per upstream, of this instance
    /** Cost of another availability zone: two one-way delays of 0.5 to 1 ms,
     *  there and back. */
    duration m_zone_cost = std::chrono::milliseconds(2);
    /** Weight of recomputation against waiting. Recomputed blocks also take
     *  prefill time and cache memory from later requests. In replay, 1 without
     *  a rank cost copies hot prefixes to all engines until the caches thrash,
     *  and 12 makes the waits at engines with hot prefixes too long. */
    double m_recompute_weight = 2;
    /** At this average wait, waiting counts half as much against
     *  recomputation; at longer ones, less. Otherwise an overload copies
     *  prefixes everywhere, which makes it worse. */
    duration m_half_weight_wait = std::chrono::milliseconds(700);
    /** Cost for each doubling of the rank by rendezvous hashing of the prefix.
     *  All instances then copy a hot prefix to the same few further engines;
     *  an instance that knows nothing of the caches sends it to the same
     *  engine as the others. */
    duration m_rank_cost = std::chrono::milliseconds(300);
    /** Estimates within this of the best count as equal; finer differences
     *  are below the error of the lagging load reports. */
    duration m_near_equal = std::chrono::milliseconds(10);
    /** Leading blocks that rendezvous hashing takes as the prefix. Few
     *  put all prompts of an organisation on one engine, and many put prompts
     *  apart that share most of their prefix. In replay, 8 is best for this
     *  policy and for the baseline. */
    std::size_t m_rendezvous_blocks = 8;
    /** How long a peer's report that an upstream is leaving counts; its own
     *  report or the list repeat it if it is true. */
    duration m_peer_report_lifetime = std::chrono::seconds(10);
    /** If the chosen engine's estimated wait is longer, the request is held:
     *  it stays in the admission queue, where its place is fair and where it
     *  can still be refused or removed. */
    duration m_max_wait = std::chrono::milliseconds(500);
    policy m_policy = policy::estimated_ttft; ///< see policy
};

/** State of each upstream, from all sources, and the choice among them. */
class upstream_table
{
public:
    /** @param options constants
     *  @param random uniform 64-bit numbers */
    upstream_table(table_options options,
                   std::function<std::uint64_t()> random);
    ~upstream_table();
    upstream_table(upstream_table const&) = delete;
    upstream_table& operator=(upstream_table const&) = delete;

    /** Changes the constants, for example with a new configuration. */
    void set_options(table_options options);

    /** Takes the inventory. Numbers of upstreams that stay do not change.
     *  @return numbers of upstreams that were removed; the caller drops them
     *          from the prefix index before it enters new ones */
    std::vector<upstream_number>
    apply_configuration(std::span<config::upstream const> upstreams);

    /** @param leaving upstreams that the instance list calls leaving */
    void apply_instance_list(std::span<upstream_id const> leaving);

    /** Takes a load report.
     *  @return whether it names a new incarnation; the caller passes it to
     *          prefix_index::note_incarnation in any case */
    bool apply_load_report(upstream_id const& id, load_report const& report,
                           time_point now);

    /** A peer says that the upstream is leaving. */
    void note_peer_leaving(upstream_id const& id, time_point now);

    /** A connection was refused: no new work until a report says otherwise or
     *  a probe after the penalty succeeds. */
    void note_refused(upstream_id const& id, time_point now);

    /** An attempt failed for a reason that lies with the upstream. */
    void note_failed(upstream_id const& id, time_point now);

    /** A request was sent.
     *  @param uncached prompt tokens that the engine has to compute
     *  @return number for the other notes on this send */
    send_number note_sent(upstream_id const& id, token_count uncached,
                          time_point now);

    /** The first token came; the prefill speed is measured. */
    void note_first_token(send_number number, time_point now);

    /** The attempt ended, in whatever way. Unknown numbers are ignored.
     *  @param succeeded ends a penalty of the upstream */
    void note_ended(send_number number, bool succeeded);

    /** Chooses an upstream. The choice takes effect with note_sent(); an
     *  upstream whose penalty is over gets one request as a probe.
     *  @param max_explained number of candidates to return for explanations */
    choice choose(choice_request const& request, time_point now,
                  std::size_t max_explained = 0);

    /** @return number of the upstream, if it is in the inventory. */
    std::optional<upstream_number> number_of(upstream_id const& id) const;

    /** @return whether new work may be sent, as far as leaving sources say. */
    bool is_leaving(upstream_id const& id, time_point now) const;

    /** @return estimate of the shortest wait before a prefill starts among the
     *          engines that serve the model, for early refusal. */
    duration shortest_wait(model_id const& model, time_point now) const;

    /** @return the state as JSON. */
    nlohmann::json dump(time_point now) const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

/** Same as table.choose(). */
choice choose_upstream(upstream_table& table, choice_request const& request,
                       time_point now, std::size_t max_explained = 0);

} // namespace daisylead::routing
