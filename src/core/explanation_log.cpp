/** @file What was decided for each request. */
#include "explanation_log.hpp"

#include <utility>

namespace daisylead::core
{

namespace
{

/** A request takes some ten steps for each attempt. */
constexpr std::size_t max_steps = 64;

} // namespace

explanation_log::explanation_log(std::size_t max_requests)
    : m_max_requests(max_requests)
{
}

void explanation_log::add(request_id const& request, time_point now,
                          std::string name, nlohmann::json detail)
{
    auto const [position, inserted] = m_steps.try_emplace(request);
    if (inserted)
    {
        m_order.push_back(request);
    }
    if (position->second.size() < max_steps)
    {
        position->second.push_back({now, std::move(name), std::move(detail)});
    }
    if (m_order.size() > m_max_requests)
    {
        m_steps.erase(m_order.front());
        m_order.pop_front();
    }
}

std::optional<nlohmann::json>
explanation_log::find(request_id const& request) const
{
    auto const found = m_steps.find(request);
    if (found == m_steps.end())
    {
        return std::nullopt;
    }
    nlohmann::json steps = nlohmann::json::array();
    time_point const begin = found->second.front().m_at;
    for (step const& item : found->second)
    {
        std::chrono::duration<double, std::milli> const offset =
            item.m_at - begin;
        nlohmann::json entry = {{"ms", offset.count()}, {"step", item.m_name}};
        entry.update(item.m_detail);
        steps.push_back(std::move(entry));
    }
    return nlohmann::json{{"request", request.value()}, {"steps", steps}};
}

} // namespace daisylead::core
