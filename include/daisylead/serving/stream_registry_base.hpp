/** @file Which process began a stream, for callers that resume it. */
#pragma once

#include <daisylead/request/lru_map_base.hpp>
#include <daisylead/serving/catalog_type.hpp>

#include <optional>
#include <string>
#include <vector>

namespace daisylead::serving
{

/** The process that began a stream. */
struct stream_origin
{
    std::string m_stream; ///< id of the request that brought the first event
    service_id m_service;
    upstream_id m_upstream;
    std::int64_t m_started = 0;  ///< of the process, Unix ms
    software_version m_software; ///< of the process
    milliseconds m_lifetime{};   ///< for which it can still be resumed

    auto operator<=>(stream_origin const&) const = default;
};

/** Streams that callers may still resume, at most a fixed number. */
class stream_registry
{
public:
    /** @param max_streams the one that was not used for longest is dropped */
    explicit stream_registry(std::size_t max_streams);

    /** Adds or replaces a stream. */
    void add(stream_origin const& origin, time_point now);

    /** @return the stream with its remaining lifetime, or nothing. */
    std::optional<stream_origin> find(std::string const& stream,
                                      time_point now);

    std::size_t size() const
    {
        return m_streams.size();
    }

private:
    struct entry
    {
        stream_origin m_origin;
        time_point m_expires_at;
    };

    request::lru_map<std::string, entry> m_streams;
};

} // namespace daisylead::serving
