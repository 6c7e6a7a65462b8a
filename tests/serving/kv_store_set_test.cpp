/** @file Tests of the choice among several KV cache stores. */
#include <daisylead/serving/kv_store_set_base.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace daisylead;
using namespace std::chrono_literals;
using namespace daisylead::serving;

namespace
{

time_point const start = time_point(1000s);

kv_store_set make_set()
{
    kv_store_set stores(1800ms);
    stores.set_stores({"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"});
    return stores;
}

kv_store_set make_set_that_answered()
{
    kv_store_set stores = make_set();
    for (std::string const& store : stores.stores())
    {
        stores.note_answer(store, 7, start);
    }
    return stores;
}

} // namespace

TEST_CASE("the prefixes are divided among all KV cache stores")
{
    // Guards against a deployment with several stores that uses one of them,
    // whose link then delays each transfer by up to two seconds.
    kv_store_set const stores = make_set_that_answered();
    std::map<std::string, int> count;
    for (std::uint64_t prefix = 1; prefix <= 3000; ++prefix)
    {
        ++count[stores.choose(prefix, start).value()];
    }
    REQUIRE(count.size() == 3);
    for (auto const& [address, prefixes] : count)
    {
        CHECK(prefixes >= 900);
    }
}

TEST_CASE("only the prefixes of a KV cache store that is down move")
{
    kv_store_set stores = make_set_that_answered();
    std::map<std::uint64_t, std::string> before;
    for (std::uint64_t prefix = 1; prefix <= 300; ++prefix)
    {
        before[prefix] = stores.choose(prefix, start).value();
    }
    CHECK(stores.note_silent("10.0.0.2:1"));
    CHECK_FALSE(stores.note_silent("10.0.0.2:1"));
    for (auto const& [prefix, store] : before)
    {
        std::string const now = stores.choose(prefix, start).value();
        CHECK(now != "10.0.0.2:1");
        CHECK((now == store || store == "10.0.0.2:1"));
    }
}

TEST_CASE("no KV cache store is used before its first answer or without news")
{
    kv_store_set stores = make_set();
    CHECK_FALSE(stores.choose(1, start));
    CHECK(stores.note_answer("10.0.0.1:1", 7, start));
    CHECK(stores.choose(1, start + 1700ms) == "10.0.0.1:1");
    CHECK_FALSE(stores.choose(1, start + 1800ms));
}

TEST_CASE("what a KV cache store kept counts as lost after its restart")
{
    // Guards against prefixes that are not saved again in a store that came
    // back empty.
    kv_store_set stores = make_set_that_answered();
    std::uint64_t const key = stores.save_key("10.0.0.1:1", 5);
    CHECK(stores.save_key("10.0.0.2:1", 5) != key);
    CHECK_FALSE(stores.note_answer("10.0.0.1:1", 7, start + 1s));
    CHECK(stores.save_key("10.0.0.1:1", 5) == key);
    CHECK(stores.note_answer("10.0.0.1:1", 8, start + 2s));
    CHECK(stores.save_key("10.0.0.1:1", 5) != key);
}

TEST_CASE("an older answer of a KV cache store changes nothing")
{
    kv_store_set stores = make_set_that_answered();
    stores.note_answer("10.0.0.1:1", 8, start + 2s);
    CHECK_FALSE(stores.note_answer("10.0.0.1:1", 7, start + 1s));
    auto const report = stores.report(start + 3s);
    REQUIRE(report.size() == 3);
    CHECK(report[0].m_epoch == 8);
    CHECK(report[0].m_age_ms == 1000);
}

TEST_CASE("a store that is no longer configured is forgotten")
{
    kv_store_set stores = make_set_that_answered();
    stores.set_stores({"10.0.0.2:1"});
    CHECK(stores.report(start).size() == 1);
    CHECK(stores.choose(1, start) == "10.0.0.2:1");
}
