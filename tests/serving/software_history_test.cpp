/** @file Tests of the record of software versions in use. */
#include <daisylead/serving/software_history_base.hpp>

#include <catch2/catch.hpp>

using namespace daisylead;
using namespace daisylead::serving;
using namespace std::chrono_literals;

namespace
{

service_id const captions("s");
software_version const v1("v1");
software_version const v2("v2");

time_point at(std::chrono::milliseconds offset)
{
    return time_point(1h) + offset;
}

std::vector<upstream_record>
make_list(std::vector<software_version> const& versions)
{
    std::vector<upstream_record> list;
    for (software_version const& version : versions)
    {
        upstream_record record;
        record.m_id = upstream_id("u" + std::to_string(list.size()));
        record.m_service = captions;
        record.m_software = version;
        list.push_back(record);
    }
    return list;
}

/** Reads of the same list each second. */
void read_all(software_history& history,
              std::vector<upstream_record> const& list,
              std::chrono::seconds from, std::chrono::seconds to)
{
    for (auto time = from; time <= to; time += 1s)
    {
        history.note_list(list, at(time));
    }
}

} // namespace

TEST_CASE("one version is proven over the time in which no other was listed")
{
    software_history history(2s);
    CHECK_FALSE(history.sole_version(captions, at(0s), at(0s)));
    read_all(history, make_list({v1, v1}), 0s, 10s);
    CHECK(history.sole_version(captions, at(0s), at(10s)) == v1);
    // Nothing is known of the time before the first read.
    CHECK_FALSE(history.sole_version(captions, at(-1ms), at(10s)));
    CHECK_FALSE(history.sole_version(service_id("t"), at(0s), at(10s)));
}

TEST_CASE("a version that is gone counts until the read that lacks it")
{
    // Guards against a stream of an instance with an older list that is taken
    // for one of the version that is left.
    software_history history(2s);
    read_all(history, make_list({v1, v2}), 0s, 4s);
    read_all(history, make_list({v2}), 5s, 20s);
    CHECK_FALSE(history.sole_version(captions, at(4500ms), at(20s)));
    CHECK_FALSE(history.sole_version(captions, at(5s), at(20s)));
    CHECK(history.sole_version(captions, at(5001ms), at(20s)) == v2);
}

TEST_CASE("a time without reads proves nothing")
{
    // Guards against an upstream of another version that came and went while
    // the store was away.
    software_history history(2s);
    read_all(history, make_list({v1}), 0s, 5s);
    CHECK_FALSE(history.sole_version(captions, at(0s), at(7001ms)));
    read_all(history, make_list({v1}), 8s, 20s);
    CHECK_FALSE(history.sole_version(captions, at(4s), at(20s)));
    CHECK(history.sole_version(captions, at(8s), at(20s)) == v1);
}

TEST_CASE("a late read does not shorten what is known")
{
    software_history history(2s);
    read_all(history, make_list({v1}), 0s, 5s);
    history.note_list(make_list({v2}), at(3s));
    CHECK(history.sole_version(captions, at(0s), at(5s)) == v1);
}

TEST_CASE("a peer extends the known time if it adjoins")
{
    software_history older(2s);
    read_all(older, make_list({v2}), 0s, 1s);
    read_all(older, make_list({v1}), 2s, 30s);
    software_history younger(2s);
    read_all(younger, make_list({v1}), 29s, 31s);
    CHECK_FALSE(younger.sole_version(captions, at(20s), at(31s)));
    younger.merge(*older.report());
    CHECK(younger.sole_version(captions, at(20s), at(31s)) == v1);
    // What the peer saw is known, too.
    CHECK_FALSE(younger.sole_version(captions, at(1s), at(31s)));

    software_history fresh(2s);
    fresh.merge(*older.report());
    read_all(fresh, make_list({v1}), 31s, 32s);
    CHECK(fresh.sole_version(captions, at(20s), at(32s)) == v1);

    software_history late(2s);
    read_all(late, make_list({v1}), 40s, 41s);
    late.merge(*older.report());
    CHECK_FALSE(late.sole_version(captions, at(35s), at(41s)));
}
