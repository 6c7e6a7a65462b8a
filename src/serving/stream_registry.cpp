/** @file Which process began a stream, for callers that resume it. */
#include <daisylead/serving/stream_registry_base.hpp>

namespace daisylead::serving
{

stream_registry::stream_registry(std::size_t max_streams)
    : m_streams(max_streams)
{
}

void stream_registry::add(stream_origin const& origin, time_point now)
{
    if (origin.m_stream.empty())
    {
        return;
    }
    m_streams.get_or_insert(origin.m_stream,
                            entry()) = {origin, now + origin.m_lifetime};
}

std::optional<stream_origin> stream_registry::find(std::string const& stream,
                                                   time_point now)
{
    entry const* const known = m_streams.find(stream);
    if (known == nullptr || known->m_expires_at <= now)
    {
        return std::nullopt;
    }
    stream_origin origin = known->m_origin;
    origin.m_lifetime =
        std::chrono::ceil<milliseconds>(known->m_expires_at - now);
    return origin;
}

} // namespace daisylead::serving
