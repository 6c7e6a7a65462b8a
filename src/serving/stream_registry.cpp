/** @file Which process began a stream, for callers that resume it. */
#include <daisylead/serving/stream_registry_base.hpp>

#include <xxhash.h>

namespace daisylead::serving
{

stream_digest digest_of_stream(std::string const& id)
{
    return stream_digest(XXH64(id.data(), id.size(), 0));
}

stream_registry::stream_registry(std::size_t max_streams)
    : m_streams(max_streams)
{
}

void stream_registry::add(stream_origin const& origin, time_point now)
{
    if (!origin.m_stream.empty())
    {
        add({digest_of_stream(origin.m_stream), origin}, now);
    }
}

void stream_registry::add(begun_stream const& stream, time_point now)
{
    entry& item = m_streams.get_or_insert(stream.m_stream, entry());
    item = {stream.m_origin, now - stream.m_origin.m_age,
            now + stream.m_origin.m_lifetime};
    item.m_origin.m_stream.clear();
}

std::optional<stream_origin> stream_registry::find(std::string const& stream,
                                                   time_point now)
{
    if (stream.empty())
    {
        return std::nullopt;
    }
    std::optional<stream_origin> origin = find(digest_of_stream(stream), now);
    if (origin)
    {
        origin->m_stream = stream;
    }
    return origin;
}

std::optional<stream_origin> stream_registry::find(stream_digest stream,
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
    origin.m_age = now - known->m_connected_at;
    return origin;
}

} // namespace daisylead::serving
