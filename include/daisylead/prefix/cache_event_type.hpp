/** @file Events and snapshots of the prompt caches of engines. */
#pragma once

#include <daisylead/base/unit_type.hpp>
#include <daisylead/prefix/block_chain_type.hpp>

#include <cstdint>
#include <vector>

namespace daisylead::prefix
{

/** Dense number of an engine, assigned by routing::upstream_table. */
using engine_number = std::uint16_t;

enum class cache_event_kind
{
    stored, ///< the blocks are cached now
    evicted ///< the blocks are no longer cached
};

/** One change of an engine's prompt cache. */
struct cache_event
{
    std::int64_t m_seq = 0; ///< consecutive within an incarnation, from 1
    cache_event_kind m_kind = cache_event_kind::stored; ///< what happened
    std::vector<block_hash> m_blocks;                   ///< blocks concerned
};

/** All blocks that an engine caches at one point of its events. */
struct cache_snapshot
{
    incarnation m_incarnation;        ///< of the engine
    std::int64_t m_seq = 0;           ///< last event included
    std::vector<block_hash> m_blocks; ///< cached blocks
};

/** Tells the caller to read GET /engine/cache_snapshot of the engine. */
struct snapshot_request
{
    engine_number m_engine = 0; ///< engine to read from
    incarnation m_incarnation;  ///< incarnation that published the events
};

} // namespace daisylead::prefix
