/** @file Share of an instance in the free memory of engines. */
#include <daisylead/serving/room_share_base.hpp>

#include <algorithm>

namespace daisylead::serving
{

namespace
{

/** Max. room limits with requests at a time; there is one for each priority and
 *  latency target. */
constexpr std::size_t max_credits = 64;

/** Time for which the credit of a refused request is kept; its caller returns
 *  within it or not at all. */
constexpr duration unmet_ttl = std::chrono::seconds(2);

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void room_share::set_fleet(std::int64_t instances, duration news_age)
{
    m_instances = std::max<std::int64_t>(1, instances);
    m_news_age = news_age;
}

bool room_share::take(double room_limit, token_count needed, token_count free,
                      time_point now)
{
    if (m_instances <= 1 || m_news_age <= duration::zero())
    {
        return true;
    }
    if (m_credits.size() >= max_credits && !m_credits.contains(room_limit))
    {
        m_credits.clear();
    }
    double const share =
        static_cast<double>(free.value()) / static_cast<double>(m_instances);
    double const wanted = static_cast<double>(needed.value());
    auto const [found, added] = m_credits.try_emplace(room_limit);
    credit& item = found->second;
    if (now - item.m_unmet_at > unmet_ttl)
    {
        item.m_unmet = 0;
    }
    double const most = std::max({share, wanted, item.m_unmet});
    if (added)
    {
        item.m_tokens = most;
    }
    else
    {
        item.m_tokens +=
            share * seconds(now - item.m_updated_at) / seconds(m_news_age);
    }
    item.m_updated_at = now;
    item.m_tokens = std::min(item.m_tokens, most);
    if (item.m_tokens < wanted)
    {
        item.m_unmet = std::max(item.m_unmet, wanted);
        item.m_unmet_at = now;
        return false;
    }
    if (wanted >= item.m_unmet)
    {
        item.m_unmet = 0;
    }
    item.m_tokens -= wanted;
    return true;
}

} // namespace daisylead::serving
