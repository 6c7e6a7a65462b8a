/** @file Whether an instance reaches the upstreams of a service. */
#include <daisylead/serving/path_monitor_base.hpp>

#include <algorithm>

namespace daisylead::serving
{

path_monitor::path_monitor(path_monitor_options options) : m_options(options) {}

bool path_monitor::note_connect(upstream_id const& id, bool connected,
                                std::size_t listed, time_point now)
{
    std::size_t const size = std::max<std::size_t>(1, listed);
    if (connected)
    {
        m_failed.clear();
        m_reached.insert(id);
        bool const restored =
            m_cut &&
            m_reached.size() >= std::min(m_options.m_min_reached, size);
        m_cut = m_cut && !restored;
        return restored;
    }
    m_reached.clear();
    std::erase_if(m_failed, [&](auto const& failure)
                  { return now - failure.second > m_options.m_failure_ttl; });
    m_failed[id] = now;
    bool const lost =
        !m_cut && m_failed.size() >= std::min(m_options.m_min_failed, size);
    m_cut = m_cut || lost;
    return lost;
}

bool path_monitor::is_suspect(upstream_id const& id, time_point now) const
{
    return std::any_of(m_failed.begin(), m_failed.end(),
                       [&](auto const& failure)
                       {
                           return failure.first != id &&
                                  now - failure.second <=
                                      m_options.m_failure_ttl;
                       });
}

} // namespace daisylead::serving
