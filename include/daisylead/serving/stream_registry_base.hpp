/** @file Which process began a stream, for callers that resume it. */
#pragma once

#include <daisylead/request/lru_map_base.hpp>
#include <daisylead/serving/catalog_type.hpp>

#include <optional>
#include <string>
#include <vector>

namespace daisylead::serving
{

/** Digest of the id of the request that brought the first event of a stream. */
enum class stream_digest : std::uint64_t
{
};

stream_digest digest_of_stream(std::string const& id);

/** The process that began a stream. */
struct stream_origin
{
    /** Id of the request that brought the first event; empty if only its digest
     *  is known. */
    std::string m_stream;
    service_id m_service;
    upstream_id m_upstream;
    std::int64_t m_started = 0;  ///< of the process, Unix ms
    software_version m_software; ///< of the process
    milliseconds m_lifetime{};   ///< for which it can still be resumed
    duration m_age{};            ///< of the connection on which it began
    bool m_proven = false;       ///< the sender has proof of m_software

    auto operator<=>(stream_origin const&) const = default;
};

/** A stream that has begun at some instance. */
struct begun_stream
{
    stream_digest m_stream{}; ///< digest of its id
    stream_origin m_origin;   ///< without the id
};

/** Streams that callers may still resume, at most a fixed number. */
class stream_registry
{
public:
    /** @param max_streams the one that was not used for longest is dropped */
    explicit stream_registry(std::size_t max_streams);

    /** Adds or replaces a stream; one with an empty id is left out. */
    void add(stream_origin const& origin, time_point now);
    void add(begun_stream const& stream, time_point now);

    /** @return the stream with its present age and remaining lifetime, or
     *          nothing. */
    std::optional<stream_origin> find(std::string const& stream,
                                      time_point now);
    std::optional<stream_origin> find(stream_digest stream, time_point now);

    std::size_t size() const
    {
        return m_streams.size();
    }

private:
    struct entry
    {
        stream_origin m_origin; ///< without the id
        time_point m_connected_at;
        time_point m_expires_at;
    };

    request::lru_map<stream_digest, entry> m_streams;
};

} // namespace daisylead::serving
