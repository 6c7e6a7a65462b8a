/** @file Tests of the processes that were listed under an id. */
#include <daisylead/serving/process_history_base.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace daisylead;
using namespace std::chrono_literals;
using namespace daisylead::serving;

namespace
{

time_point const start = time_point(1000s);

constexpr process_history_options options{10min, 4s, 500ms};

/** @return the time of day, Unix ms. */
std::int64_t unix_ms(time_point time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
        .count();
}

process_history make_history()
{
    return {options, &unix_ms};
}

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
    process_history history = make_history();
    CHECK_FALSE(history.is_proven(make_process(1, "v1"), start));
    history.note_list({make_record(1, "v1")}, start, start);
    CHECK(history.is_proven(make_process(1, "v1"), start));
    CHECK_FALSE(history.is_proven(make_process(1, "v1"), start + 1s));
    history.note_list({make_record(1, "v1")}, start + 2s, start + 2s);
    CHECK(history.is_proven(make_process(1, "v1"), start + 1s));
    // The proof remains when the process is gone.
    history.note_list({}, start + 60s, start + 60s);
    CHECK(history.is_proven(make_process(1, "v1"), start + 1s));
}

TEST_CASE("other software under the same id stays known after it is gone")
{
    // Guards against a stream of v2 that goes on at v1: its server was taken
    // for the process before it.
    process_history history = make_history();
    history.note_list({make_record(1, "v1")}, start, start);
    history.note_list({make_record(2, "v2")}, start + 1s, start + 1s);
    history.note_list({}, start + 2s, start + 2s);
    CHECK(is_contradicted(history, make_process(1, "v1")));
    CHECK_FALSE(history.is_proven(make_process(1, "v1"), start));
    CHECK_FALSE(is_contradicted(history, make_process(2, "v2")));
    CHECK(history.is_proven(make_process(2, "v2"), start + 1s));
    // A process that is not known itself.
    CHECK(is_contradicted(history, make_process(3, "v3")));
    // The same software again, in a process that came later.
    history.note_list({make_record(4, "v1")}, start + 3s, start + 3s);
    CHECK(history.is_proven(make_process(4, "v1"), start + 3s));
    CHECK(is_contradicted(history, make_process(2, "v2")));
}

TEST_CASE("a copy of the store that lists a former process proves nothing")
{
    process_history history = make_history();
    history.note_list({make_record(1, "v1")}, start, start);
    history.note_list({make_record(2, "v2")}, start + 1s, start + 1s);
    history.note_list({make_record(1, "v1")}, start + 2s, start + 2s);
    CHECK_FALSE(history.is_proven(make_process(1, "v1"), start + 2s));
}

TEST_CASE("processes are forgotten after their time")
{
    process_history history = make_history();
    history.note_list({make_record(1, "v1")}, start, start);
    history.note_list({make_record(2, "v2")}, start + 11min, start + 11min);
    history.note_list({make_record(2, "v2")}, start + 22min, start + 22min);
    CHECK_FALSE(is_contradicted(history, make_process(2, "v2")));
    CHECK(is_contradicted(history, make_process(1, "v1")));
}

TEST_CASE("a process that started after a connection does not contradict it")
{
    // Guards against refusing the streams of a process because another one,
    // with other software, came after it under its id.
    process_history history = make_history();
    upstream_process const first = make_process(unix_ms(start - 60s), "v1");
    upstream_process const next = make_process(unix_ms(start + 5s), "v2");
    upstream_record const first_record =
        make_record(first.m_started, first.m_software.value());
    upstream_record const next_record =
        make_record(next.m_started, next.m_software.value());
    for (duration at = 0s; at <= 4800ms; at += 400ms)
    {
        history.note_list({first_record}, start + at, start + at);
    }
    history.note_list({next_record}, start + 6s, start + 6s);
    CHECK(history.is_proven(first, start + 100ms));
    CHECK(history.is_proven(first, start + 4400ms));
    // Too close to tell by the clocks of two machines.
    CHECK_FALSE(history.is_proven(first, start + 4600ms));
    CHECK(history.check(first, start + 4600ms).m_other->m_started ==
          next.m_started);
    CHECK(history.check(first, start + 4600ms, true).m_proof ==
          process_proof::contradicted);
    // An instance that has never listed the former process.
    process_history later = make_history();
    later.note_list({next_record}, start + 6s, start + 6s);
    CHECK(later.check(first, start + 4400ms, true).m_proof ==
          process_proof::proven);
    CHECK_FALSE(later.is_proven(first, start + 4400ms));
}

TEST_CASE(
    "a process that was listed long after a connection is the one reached")
{
    // Without its start time, nothing else tells when the next process began.
    process_history history = make_history();
    for (duration at = 0s; at <= 6s; at += 500ms)
    {
        history.note_list({make_record(1, "v1")}, start + at, start + at);
    }
    history.note_list({make_record(0, "v2")}, start + 7s, start + 7s);
    CHECK(history.is_proven(make_process(1, "v1"), start + 2s));
    CHECK_FALSE(history.is_proven(make_process(1, "v1"), start + 2100ms));
}

TEST_CASE("a start time after its first listing shows that a clock is wrong")
{
    process_history history = make_history();
    upstream_process const first = make_process(unix_ms(start - 60s), "v1");
    history.note_list({make_record(first.m_started, "v1")}, start, start);
    history.note_list({make_record(unix_ms(start + 4s), "v2")}, start + 1s,
                      start + 1s);
    CHECK_FALSE(history.is_proven(first, start));
}

TEST_CASE("a connection made after the end of a process is not one of it")
{
    // Guards against a record that outlives its process: the next one serves
    // under the id before it has written its own.
    process_history history = make_history();
    upstream_process const first = make_process(unix_ms(start - 60s), "v1");
    upstream_record const record = make_record(first.m_started, "v1");
    history.note_list({record}, start, start);
    CHECK(history.note_ended(first.m_upstream, first.m_started, start + 1s));
    CHECK_FALSE(
        history.note_ended(first.m_upstream, first.m_started, start + 2s));
    history.note_list({record}, start + 2s, start + 2s);
    CHECK(history.is_proven(first, start + 500ms));
    CHECK(history.check(first, start + 1500ms).m_proof == process_proof::ended);
    CHECK(history.check(first, start + 1500ms, true).m_proof ==
          process_proof::ended);

    // The next process may run the same software.
    process_history restarted = history;
    upstream_record const next = make_record(unix_ms(start + 1200ms), "v1");
    restarted.note_list({next}, start + 3s, start + 3s);
    CHECK(restarted.is_proven(first, start + 1500ms));

    // It did not end: it goes on to write its record.
    history.note_list({record}, start + 4s, start + 4s);
    CHECK_FALSE(history.is_proven(first, start + 1500ms));
    history.note_list({record}, start + 5s, start + 5s);
    CHECK(history.is_proven(first, start + 1500ms));
}

TEST_CASE("streams of random restarts are proven, but not of other software")
{
    // Rows are written at once or a heartbeat late, lists are read late, the
    // store comes back from a copy, and clocks differ.
    unsigned const seed = GENERATE(range(1u, 41u));
    CAPTURE(seed);
    std::mt19937 random(seed);
    auto const draw = [&random](int from, int to)
    {
        return milliseconds(
            std::uniform_int_distribution<int>(from, to)(random));
    };
    auto const flip = [&random](int in)
    {
        return std::uniform_int_distribution<int>(1, in)(random) == 1;
    };
    struct run
    {
        time_point m_began;
        time_point m_ended;
        time_point m_written;
        upstream_record m_record;
    };
    milliseconds const server_clock = draw(-200, 200);
    std::vector<run> runs;
    time_point at = start;
    for (int i = 0; i < 12; ++i)
    {
        time_point const ended = at + draw(3000, 20000);
        runs.push_back(
            {at, ended, at + (flip(2) ? 0ms : draw(100, 1200)),
             make_record(unix_ms(at + server_clock), flip(2) ? "v1" : "v2")});
        at = ended + draw(20, 3000);
    }
    // The row is that of the last process which has written.
    auto const row_at = [&runs](time_point time)
    {
        run const* row = &runs.front();
        for (run const& item : runs)
        {
            row = item.m_written <= time && item.m_written < item.m_ended
                      ? &item
                      : row;
        }
        return row;
    };
    milliseconds const own_clock = draw(-200, 200);
    process_history history(options, [own_clock](time_point time)
                            { return unix_ms(time + own_clock); });
    struct connection
    {
        run const* m_reached;
        run const* m_known;
        time_point m_made;
    };
    std::vector<connection> connections;
    int breaks = 0;
    int proven = 0;
    run const* known = nullptr;
    time_point next_read = start;
    time_point copy_until = start;
    for (time_point now = start; now < at; now += 50ms)
    {
        if (now >= next_read)
        {
            if (flip(100))
            {
                copy_until = now + draw(0, 1200);
            }
            known = row_at(now < copy_until ? now - 5s : now);
            history.note_list({known->m_record}, now, now + draw(0, 40));
            next_read = now + (flip(20) ? draw(500, 3000) : draw(400, 450));
        }
        for (run const& item : runs)
        {
            if (item.m_began <= now && now < item.m_ended && flip(4))
            {
                connections.push_back({&item, known, now});
            }
        }
        // They are resumed 2 s after they broke.
        for (connection const& item : connections)
        {
            if (item.m_reached->m_ended + 2s > now)
            {
                continue;
            }
            upstream_process const process{item.m_known->m_record.m_id,
                                           item.m_known->m_record.m_started,
                                           item.m_known->m_record.m_software};
            bool const is_proven = history.is_proven(process, item.m_made);
            CHECK((!is_proven ||
                   process.m_software == item.m_reached->m_record.m_software));
            ++breaks;
            proven += is_proven ? 1 : 0;
        }
        std::erase_if(connections, [now](connection const& item)
                      { return item.m_reached->m_ended + 2s <= now; });
    }
    CHECK(2 * proven >= breaks);
}
