/** @file This instance's share of the fleet-wide retry budget. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <deque>
#include <unordered_map>

namespace daisylead::serving
{

/** Fleet-wide retry budget in a sliding window. */
struct retry_budget
{
    double m_ratio = 0.2; ///< retries per request
    double m_extra = 0;   ///< additional retries per window, over all instances
    duration m_window = std::chrono::seconds(10); ///< length of the window
};

/** Counts requests and retries by service. The ratio applies to the requests of
 *  this instance and the additional retries are divided by the number of
 *  instances, so the fleet stays within the budget without communication. */
class retry_throttle
{
public:
    explicit retry_throttle(retry_budget budget);

    /** @param instances live instances, at least 1 */
    void set_instances(std::size_t instances);

    /** Records a request of a caller for the service. */
    void note_request(service_id const& service, time_point now);

    /** @return whether one more retry is within the budget; if so, it is
     *          counted. */
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
