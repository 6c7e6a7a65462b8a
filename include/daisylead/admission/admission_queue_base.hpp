/** @file Fair queue of requests that wait for an upstream. */
#pragma once

#include <daisylead/access/key_digest_type.hpp>
#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace daisylead::admission
{

/** A request in the queue. */
struct queued_request
{
    request_id m_id;                         ///< unique
    organisation_id m_organisation;          ///< empty on open routes
    std::optional<access::key_digest> m_key; ///< API key of the call
    int m_priority = 0;                      ///< 0 is the most urgent
    token_count m_cost;        ///< prompt and expected generated tokens
    time_point m_latest_start; ///< deadline minus the expected service time
};

/** Parameters of the queue. */
struct queue_options
{
    std::size_t m_max_queued = 256; ///< requests of all organisations
    /** How far a request of priority 0 lets its organisation run ahead of the
     *  fair share, in tokens at weight 1. Each further priority level halves
     *  it. It bounds the advantage of an organisation that marks all its
     *  requests as urgent. */
    token_count m_urgent_lead{16384};
    /** Interval of calls to expire(). */
    duration m_check_interval = std::chrono::milliseconds(100);
    duration m_min_retry_after = std::chrono::seconds(1);
    duration m_max_retry_after = std::chrono::seconds(30);
};

/** Why the queue refused a request. */
enum class refusal_reason
{
    wait_exceeds_deadline, ///< could not start by m_latest_start
    queue_full             ///< its organisation had the longest weighted queue
};

/** A request that was refused and is not queued. */
struct refused_request
{
    request_id m_id;             ///< the request
    refusal_reason m_reason{};   ///< why
    duration m_estimated_wait{}; ///< at the time of refusal
    duration m_retry_after{};    ///< delay before a retry
};

/** Queue with start-time fair queueing of tokens among organisations, in
 *  proportion to their weights. The requests of an organisation are ordered by
 *  priority, then by arrival. The queue starts no timers; see next_timer(). */
class admission_queue
{
public:
    explicit admission_queue(queue_options options);
    ~admission_queue();
    admission_queue(admission_queue const&) = delete;
    admission_queue& operator=(admission_queue const&) = delete;

    /** Changes the parameters, for example with a new configuration. */
    void set_options(queue_options options);

    /** Sets the weight of an organisation. @pre weight >= 1 */
    void set_weight(organisation_id const& organisation, int weight);

    /** Queues a request.
     *  @pre its id is not queued
     *  @return refused requests: this one, or the last ones of the longest
     *          queue if the queue is full, or none */
    std::vector<refused_request> push(queued_request request, time_point now);

    /** Removes the next request in fair order that can be started.
     *  @param can_start called for the first requests of each organisation in
     *         fair order, so that an organisation that waits for a busy model
     *         does not block the others
     *  @return the removed request; none if none can be started */
    std::optional<queued_request>
    pop(time_point now,
        std::function<bool(queued_request const&)> const& can_start);

    /** Removes a request whose caller has disconnected.
     *  @return whether it was queued */
    bool remove(request_id const& id);

    /** Removes the requests of a revoked key.
     *  @return removed requests, which did not run */
    std::vector<request_id> remove_key(access::key_digest const& key);

    /** Removes all requests of an organisation.
     *  @return removed requests, which did not run */
    std::vector<request_id>
    remove_organisation(organisation_id const& organisation);

    /** Refuses requests that cannot start in time according to the current
     *  estimate, so that they are not kept until their deadline. */
    std::vector<refused_request> expire(time_point now);

    /** @return when expire() and then pop() have to be called next; none if the
     *          queue is empty. Timed calls are needed because the waits at the
     *          engines decrease without an event. */
    std::optional<time_point> next_timer() const;

    /** @return estimated wait of a request that would be queued now; zero until
     *          a service rate has been measured or a stall is seen */
    duration estimated_wait(organisation_id const& organisation, int priority,
                            time_point now) const;

    /** @return number of queued requests */
    std::size_t size() const;

    /** @return number of queued requests and tokens by organisation, as JSON */
    nlohmann::json dump() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisylead::admission
