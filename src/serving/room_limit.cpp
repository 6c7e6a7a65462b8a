/** @file How full an engine's memory may get for a request. */
#include <daisylead/serving/room_limit_func.hpp>

#include <algorithm>
#include <map>

namespace daisylead::serving
{

std::vector<request_class> request_classes(catalog const& content,
                                           service_id const& service)
{
    std::map<int, milliseconds> targets;
    for (route const& item : content.m_routes)
    {
        bool const leads_there =
            std::any_of(item.m_split.begin(), item.m_split.end(),
                        [&service](traffic_share const& share)
                        { return share.m_service == service; });
        if (item.m_prompted && leads_there)
        {
            milliseconds& longest = targets[item.m_priority];
            longest = std::max(longest, item.m_target_latency);
        }
    }
    std::vector<request_class> classes;
    classes.reserve(targets.size());
    for (auto const& [priority, target] : targets)
    {
        classes.push_back({priority, target});
    }
    return classes;
}

double room_limit(std::vector<request_class> const& classes, int priority,
                  milliseconds target, duration drain_time)
{
    duration room = target;
    for (request_class const& other : classes)
    {
        if (other.m_priority > priority)
        {
            room += other.m_target_latency;
        }
    }
    return 1 + std::chrono::duration<double>(room) /
                   std::chrono::duration<double>(drain_time);
}

} // namespace daisylead::serving
