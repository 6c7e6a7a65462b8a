/** @file Tests of the block chain and the prefix index. */
#include <daisylead/base/error_type.hpp>
#include <daisylead/prefix/prefix_index_base.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace daisylead;
using namespace daisylead::prefix;

namespace
{

constexpr byte_count ample_memory{64 << 20};

cache_scope scope(std::string const& organisation, std::string const& version)
{
    return {organisation_id(organisation), model_id("m"), adapter_id(),
            weights_version(version)};
}

block_chain chain_of(std::vector<block_hash> blocks)
{
    return {"", std::move(blocks)};
}

cache_event stored(std::int64_t seq, std::vector<block_hash> blocks)
{
    return {seq, cache_event_kind::stored, std::move(blocks)};
}

std::uint16_t depth(prefix_index& index, engine_number engine,
                    std::vector<block_hash> blocks)
{
    cached_blocks result;
    index.lookup(chain_of(std::move(blocks)), result);
    return engine < result.size() ? result[engine] : 0;
}

/** Distributes small numbers over the table, as real hashes are. */
block_hash spread(std::uint64_t number)
{
    return (number + 1) * 0x9e3779b97f4a7c15ULL;
}

} // namespace

// Guards against organisations, or versions of the weights, that share cache
// entries because the concatenated fields of their scopes are the same.
TEST_CASE("scopes never share blocks or salt")
{
    std::string const prompt(64, 'x');
    auto const base =
        make_block_chain(scope("ab", "c"), prompt, byte_count(16));
    for (auto const& other : {scope("a", "bc"), scope("ab", "d")})
    {
        auto const chain = make_block_chain(other, prompt, byte_count(16));
        CHECK(chain.m_cache_salt != base.m_cache_salt);
        CHECK(chain.m_blocks[0] != base.m_blocks[0]);
    }
    CHECK(base.m_cache_salt.size() == 32);
}

// Guards against a cache hit for prompts that differ in an earlier block.
TEST_CASE("a chain has whole blocks only and depends on all earlier blocks")
{
    auto const one =
        make_block_chain(scope("a", "1"), "aaaabbbbcc", byte_count(4));
    auto const two =
        make_block_chain(scope("a", "1"), "aaaXbbbb", byte_count(4));
    REQUIRE(one.m_blocks.size() == 2);
    CHECK(one.m_blocks[1] != two.m_blocks[1]);
    CHECK_THROWS_AS(make_block_chain(scope("a", "1"), "a", byte_count(0)),
                    error);
}

// Guards against events that are applied to the wrong block after a lossy
// conversion.
TEST_CASE("block hashes round-trip through hex; other text is rejected")
{
    CHECK(parse_block_hash(to_hex(0x0123456789abcdefULL)) ==
          0x0123456789abcdefULL);
    CHECK(to_hex(1) == "0000000000000001");
    for (char const* text : {"", "xyz", "12345678901234567", "-1"})
    {
        CHECK_THROWS_AS(parse_block_hash(text), error);
    }
}

// Guards against stale entries after lost events.
TEST_CASE("a gap in seq drops the engine until its snapshot is applied")
{
    prefix_index index(ample_memory);
    std::vector<cache_event> const first{stored(1, {1, 2})};
    CHECK_FALSE(index.apply(3, incarnation(7), first));
    CHECK(depth(index, 3, {1, 2, 9}) == 2);
    std::vector<cache_event> const gap{stored(3, {9})};
    auto const wanted = index.apply(3, incarnation(7), gap);
    REQUIRE(wanted);
    CHECK(wanted->m_engine == 3);
    CHECK(depth(index, 3, {1, 2, 9}) == 0);
    CHECK(index.apply(3, cache_snapshot{incarnation(7), 3, {1, 2, 9}}));
    CHECK(depth(index, 3, {1, 2, 9}) == 3);
    CHECK(index.last_seq(3) == 3);
}

// Guards against requests that are routed to an engine for a cache that it lost
// in a restart.
TEST_CASE("blocks of an earlier incarnation are never returned")
{
    prefix_index index(ample_memory);
    index.apply(0, cache_snapshot{incarnation(1), 5, {1, 2}});
    SECTION("a new one published events")
    {
        std::vector<cache_event> const events{stored(1, {1})};
        CHECK_FALSE(index.apply(0, incarnation(2), events));
        CHECK(depth(index, 0, {1, 2}) == 1);
    }
    SECTION("a new one reported its load")
    {
        CHECK(index.note_incarnation(0, incarnation(2)));
        CHECK(depth(index, 0, {1, 2}) == 0);
        CHECK_FALSE(index.apply(0, cache_snapshot{incarnation(1), 6, {1}}));
        CHECK(depth(index, 0, {1, 2}) == 0);
    }
}

// Guards against a snapshot response that arrives after newer events and
// restores evicted blocks.
TEST_CASE("a late snapshot does not undo newer events")
{
    prefix_index index(ample_memory);
    index.apply(0, cache_snapshot{incarnation(1), 5, {1}});
    std::vector<cache_event> const events{{6, cache_event_kind::evicted, {1}}};
    index.apply(0, incarnation(1), events);
    CHECK_FALSE(index.apply(0, cache_snapshot{incarnation(1), 5, {1}}));
    CHECK(depth(index, 0, {1}) == 0);
}

// Guards against memory use that grows with the number of blocks seen, and
// against eviction of recently used blocks.
TEST_CASE("memory stays in its bound and the oldest blocks are evicted first")
{
    prefix_index index(byte_count(200000));
    constexpr std::uint64_t count = 60000;
    for (std::uint64_t number = 0; number < count; ++number)
    {
        index.assume_stored(0, chain_of({spread(number)}));
    }
    CHECK(index.memory_bytes() <= 200000);
    CHECK(index.blocks() > 6000);
    int recent = 0;
    for (std::uint64_t number = count - 1000; number < count; ++number)
    {
        recent += depth(index, 0, {spread(number)});
    }
    CHECK(recent > 950);
    CHECK(depth(index, 0, {spread(0)}) == 0);
}

// Guards against faults in deletion by shifting, in large holder sets and in
// the reuse of slots.
TEST_CASE("the index agrees with plain sets under random changes")
{
    rc::check(
        []
        {
            prefix_index index(ample_memory);
            std::map<engine_number, std::set<block_hash>> model;
            std::map<engine_number, std::pair<int, std::int64_t>> epochs;
            int const steps = *rc::gen::inRange(50, 600);
            for (int step = 0; step < steps; ++step)
            {
                auto const engine = *rc::gen::inRange<engine_number>(0, 100);
                auto const block =
                    spread(*rc::gen::inRange<std::uint64_t>(0, 12));
                auto const choice = *rc::gen::inRange(0, 20);
                auto& [number, seq] = epochs[engine];
                if (choice == 0)
                {
                    index.note_incarnation(engine, incarnation(++number));
                    model[engine].clear();
                    seq = 0;
                    continue;
                }
                bool const store = choice < 15;
                std::vector<cache_event> const events{
                    {++seq,
                     store ? cache_event_kind::stored
                           : cache_event_kind::evicted,
                     {block}}};
                index.apply(engine, incarnation(number), events);
                store ? static_cast<void>(model[engine].insert(block))
                      : static_cast<void>(model[engine].erase(block));
            }
            std::size_t entries = 0;
            for (auto const& [engine, blocks] : model)
            {
                entries += blocks.size();
                for (std::uint64_t block = 0; block < 12; ++block)
                {
                    RC_ASSERT(depth(index, engine, {spread(block)}) ==
                              blocks.count(spread(block)));
                }
            }
            RC_ASSERT(index.entries() >= entries);
        });
}

// Guards against a record layout that needs more memory than planned per entry.
TEST_CASE("an entry takes at most 24 bytes")
{
    prefix_index index(byte_count(256 << 20));
    for (std::uint64_t number = 0; number < 300000; ++number)
    {
        index.assume_stored(static_cast<engine_number>(number % 18),
                            chain_of({spread(number)}));
    }
    CHECK(index.memory_bytes() <= 24 * index.entries() + 8192);
}
