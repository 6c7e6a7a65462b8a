/** @file Retries that this instance may send, as its part of a fleet budget. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <deque>
#include <unordered_map>

namespace daisylead::serving
{

/** Fleet-wide budget of repeated sends in a sliding window. */
struct retry_budget
{
    double m_ratio = 0.2; ///< repeated sends per request
    double m_extra = 0;   ///< further sends in a window, over all instances
    duration m_window = std::chrono::seconds(10); ///< length of the window
};

/** Counts requests and repeated sends by service. The ratio counts on what this
 *  instance saw itself, the extra is divided by the number of instances, so the
 *  sum over all instances stays within the budget without messages. */
class retry_throttle
{
public:
    explicit retry_throttle(retry_budget budget);

    /** @param instances live instances, at least 1 */
    void set_instances(std::size_t instances);

    /** A caller's request for the service came. */
    void note_request(service_id const& service, time_point now);

    /** @return whether one more send is within the budget; if so, it counts. */
    bool take(service_id const& service, time_point now);

private:
    struct window
    {
        std::deque<time_point> m_requests;
        std::deque<time_point> m_repeats;
    };

    void drop_old(window& counts, time_point now) const;

    retry_budget m_budget;
    std::size_t m_instances = 1;
    std::unordered_map<service_id, window> m_windows;
};

} // namespace daisylead::serving
