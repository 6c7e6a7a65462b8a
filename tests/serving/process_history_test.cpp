/** @file Tests of the processes that were listed under an id. */
#include <daisylead/serving/process_history_base.hpp>

#include <catch2/catch.hpp>

using namespace daisylead;
using namespace std::chrono_literals;
using namespace daisylead::serving;

namespace
{

time_point const start = time_point(1000s);

upstream_record make_record(std::int64_t started, std::string const& software)
{
    upstream_record record;
    record.m_id = upstream_id("u");
    record.m_started = started;
    record.m_software = software_version(software);
    return record;
}

upstream_process make_process(std::int64_t started, std::string const& software)
{
    return {upstream_id("u"), started, software_version(software)};
}

/** @return whether another process contradicts it, whatever was listed of it.
 */
bool is_contradicted(process_history const& history,
                     upstream_process const& process)
{
    return history.check(process, start, true).m_proof ==
           process_proof::contradicted;
}

} // namespace

TEST_CASE("a later listing proves the process of a connection")
{
    process_history history(10min);
    CHECK_FALSE(history.is_proven(make_process(1, "v1"), start));
    history.note_list({make_record(1, "v1")}, start);
    CHECK(history.is_proven(make_process(1, "v1"), start));
    CHECK_FALSE(history.is_proven(make_process(1, "v1"), start + 1s));
    history.note_list({make_record(1, "v1")}, start + 2s);
    CHECK(history.is_proven(make_process(1, "v1"), start + 1s));
    // The proof remains when the process is gone.
    history.note_list({}, start + 60s);
    CHECK(history.is_proven(make_process(1, "v1"), start + 1s));
}

TEST_CASE("other software under the same id stays known after it is gone")
{
    // Guards against a stream of v2 that goes on at v1: its server was taken
    // for the process before it.
    process_history history(10min);
    history.note_list({make_record(1, "v1")}, start);
    history.note_list({make_record(2, "v2")}, start + 1s);
    history.note_list({}, start + 2s);
    CHECK(is_contradicted(history, make_process(1, "v1")));
    CHECK_FALSE(history.is_proven(make_process(1, "v1"), start));
    CHECK_FALSE(is_contradicted(history, make_process(2, "v2")));
    CHECK(history.is_proven(make_process(2, "v2"), start + 1s));
    // A process that is not known itself.
    CHECK(is_contradicted(history, make_process(3, "v3")));
    // The same software again, in a process that came later.
    history.note_list({make_record(4, "v1")}, start + 3s);
    CHECK(history.is_proven(make_process(4, "v1"), start + 3s));
    CHECK(is_contradicted(history, make_process(2, "v2")));
}

TEST_CASE("a copy of the store that lists a former process proves nothing")
{
    process_history history(10min);
    history.note_list({make_record(1, "v1")}, start);
    history.note_list({make_record(2, "v2")}, start + 1s);
    history.note_list({make_record(1, "v1")}, start + 2s);
    CHECK_FALSE(history.is_proven(make_process(1, "v1"), start + 2s));
}

TEST_CASE("processes are forgotten after their time")
{
    process_history history(10min);
    history.note_list({make_record(1, "v1")}, start);
    history.note_list({make_record(2, "v2")}, start + 11min);
    history.note_list({make_record(2, "v2")}, start + 22min);
    CHECK_FALSE(is_contradicted(history, make_process(2, "v2")));
    CHECK(is_contradicted(history, make_process(1, "v1")));
}
