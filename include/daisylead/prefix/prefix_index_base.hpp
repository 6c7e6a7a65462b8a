/** @file Index of the blocks that engines cache. */
#pragma once

#include <daisylead/prefix/block_chain_type.hpp>
#include <daisylead/prefix/cache_event_type.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace daisylead::prefix
{

/** Number of leading blocks of a prompt that each engine caches, indexed by
 *  engine number. Engines beyond the end cache none. */
using cached_blocks = std::vector<std::uint16_t>;

/** Maps blocks to the engine incarnations that cache them. The index is a hint:
 *  a wrong entry costs time but never correctness, because the engine gets the
 *  scope and the weights version with each request. */
class prefix_index
{
public:
    /** @param max_memory approximate bound, kept by eviction of the oldest
     *  blocks */
    explicit prefix_index(byte_count max_memory);
    ~prefix_index();
    prefix_index(prefix_index const&) = delete;
    prefix_index& operator=(prefix_index const&) = delete;

    /** Applies events in order of their seq. A gap or a new incarnation drops
     *  all entries of the engine; events are then ignored until a snapshot has
     *  been applied, or the events start at seq 1.
     *  @return request for a snapshot, on every call until one is applied; the
     *  caller must keep at most one request per engine open */
    std::optional<snapshot_request> apply(engine_number engine,
                                          incarnation number,
                                          std::span<cache_event const> events);

    /** Replaces all entries of the engine. A snapshot is ignored if it is of
     *  another incarnation than the known one, or older than the last applied
     *  event.
     *  @return whether it was applied */
    bool apply(engine_number engine, cache_snapshot const& snapshot);

    /** Records the incarnation of a load report. A new one drops all entries of
     *  the engine.
     *  @return whether it is new */
    bool note_incarnation(engine_number engine, incarnation number);

    /** Drops all state of the engine, for example when it is removed. */
    void drop(engine_number engine);

    /** Adds the blocks of a request that was just sent to the engine, ahead of
     *  the engine's events. A later eviction event or snapshot corrects them.
     */
    void assume_stored(engine_number engine, block_chain const& chain);

    /** Finds the leading blocks of the chain that each engine caches.
     *  @param[out] result overwritten; see cached_blocks */
    void lookup(block_chain const& chain, cached_blocks& result);

    /** @return seq of the last event that was applied, for
     *          GET /engine/cache_events?after=N; 0 if there is none */
    std::int64_t last_seq(engine_number engine) const;

    /** @return number of distinct blocks. */
    std::size_t blocks() const;

    /** @return number of (block, engine incarnation) entries. */
    std::size_t entries() const;

    /** @return memory use of the index. */
    std::size_t memory_bytes() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisylead::prefix
