/** @file Tests of the upstream list and the exchange of its changes. */
#include <daisylead/serving/upstream_list_base.hpp>

#include <catch2/catch.hpp>

using namespace daisylead;
using namespace daisylead::serving;

namespace
{

upstream_record make_record(int number, bool leaving = false)
{
    upstream_record record;
    record.m_id = upstream_id("e" + std::to_string(number));
    record.m_service = service_id("s");
    record.m_address = "10.0.0.1:" + std::to_string(number);
    record.m_slots = 4;
    record.m_started = 1;
    record.m_leaving = leaving;
    return record;
}

} // namespace

TEST_CASE("changes lead from each remembered list to the newest one")
{
    upstream_list reader;
    upstream_list follower;
    CHECK(reader.replace({make_record(2), make_record(1), make_record(3)}));
    upstream_changes const all = reader.changes_since(follower.digest());
    CHECK(all.m_base == 0);
    REQUIRE(follower.apply(all, reader.digest()));
    CHECK(follower.records().size() == 3);

    CHECK(reader.replace({make_record(1), make_record(3)}));
    CHECK(
        reader.replace({make_record(1, true), make_record(3), make_record(4)}));
    upstream_changes const changes = reader.changes_since(follower.digest());
    CHECK(changes.m_base == follower.digest());
    CHECK(changes.m_changed.size() == 2);
    CHECK(changes.m_removed.size() == 1);
    REQUIRE(follower.apply(changes, reader.digest()));
    CHECK(follower.digest() == reader.digest());
    CHECK(follower.records().front().m_leaving);
    CHECK_FALSE(
        reader.replace({make_record(4), make_record(3), make_record(1, true)}));
}

TEST_CASE("changes with a wrong base or digest leave the list unchanged")
{
    upstream_list list;
    list.replace({make_record(1), make_record(2)});
    std::uint64_t const digest = list.digest();
    upstream_changes changes;
    changes.m_base = digest + 1;
    changes.m_removed = {upstream_id("e1")};
    CHECK_FALSE(list.apply(changes, digest + 2));
    changes.m_base = digest;
    CHECK_FALSE(list.apply(changes, digest + 2));
    CHECK(list.digest() == digest);
    CHECK(list.records().size() == 2);
}

TEST_CASE("request counts are accepted only for the same list")
{
    upstream_list sender;
    upstream_list receiver;
    sender.replace({make_record(1), make_record(2)});
    receiver.replace({make_record(2), make_record(1)});
    load_news news =
        sender.to_news({{upstream_id("e2"), 3, 900}, {upstream_id("x"), 1, 1}});
    auto const counts = receiver.from_news(news);
    REQUIRE(counts);
    REQUIRE(counts->size() == 1);
    CHECK(counts->front().m_upstream == upstream_id("e2"));
    CHECK(counts->front().m_tokens == 900);
    receiver.replace({make_record(0), make_record(1), make_record(2)});
    CHECK_FALSE(receiver.from_news(news));
    // A position beyond the end of the list is ignored.
    news.m_loads.front().m_position = 77;
    CHECK(sender.from_news(news)->empty());
}
