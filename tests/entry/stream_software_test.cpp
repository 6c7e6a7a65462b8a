/** @file Tests of streams while upstreams of two software versions serve. */
#include "stand_in.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <random>
#include <set>
#include <sstream>
#include <thread>
#include <utility>

using namespace daisylead;
using namespace daisylead::entry_test;
using namespace std::chrono_literals;

namespace
{

/** Events of each stream. */
constexpr int last_event = 3;

/** @return value of a field of a request, or empty. */
std::string field_of(std::string const& request, std::string const& name)
{
    std::size_t const at = request.find(name + ": ");
    if (at == std::string::npos)
    {
        return {};
    }
    std::size_t const begin = at + name.size() + 2;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

/** How an engine ends a stream that it begins. */
enum class first_part
{
    stays_open,  ///< nothing comes after the first event
    breaks_off,  ///< the connection ends after the first event
    breaks_late, ///< the same 2 s later
    is_whole     ///< all events come
};

/** An engine whose events name its software version. */
class engine
{
public:
    engine(std::string const& id, std::string const& version,
           std::string const& zone, first_part begins)
        : m_upstream(
              [version, begins](served_connection& connection)
              {
                  for (;;)
                  {
                      std::string const request = connection.read_request();
                      if (request.empty() ||
                          !answer(connection, request, version, begins))
                      {
                          return;
                      }
                  }
              })
    {
        m_record.m_id = upstream_id(id);
        m_record.m_service = service_id("s");
        m_record.m_address = m_upstream.address();
        m_record.m_zone = zone_id(zone);
        m_record.m_slots = 100;
        m_record.m_started = 1;
        m_record.m_software = software_version(version);
    }

    serving::upstream_record const& record() const
    {
        return m_record;
    }

    /** @return the row of a process that served before under the same id. */
    serving::upstream_record older_record(std::string const& version) const
    {
        serving::upstream_record record = m_record;
        record.m_started = 0;
        record.m_software = software_version(version);
        return record;
    }

private:
    /** @return whether the connection can be used again. */
    static bool answer(served_connection& connection,
                       std::string const& request, std::string const& version,
                       first_part begins)
    {
        std::string const resumed = field_of(request, "Last-Event-Id");
        connection.write("HTTP/1.1 200 OK\r\nId: " + field_of(request, "Id") +
                         "\r\nSeal: s\r\nContent-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n");
        for (int id = resumed.empty() ? 1 : std::stoi(resumed) + 1;
             id <= last_event; ++id)
        {
            connection.write(make_chunk("id: " + std::to_string(id) +
                                        "\ndata: " + version + "\n\n"));
            if (resumed.empty() && begins == first_part::stays_open)
            {
                connection.wait_for_close(5s);
            }
            if (resumed.empty() && begins == first_part::breaks_late)
            {
                connection.wait_for_close(2s);
            }
            if (resumed.empty() && begins != first_part::is_whole)
            {
                return false;
            }
        }
        connection.write("0\r\n\r\n");
        return true;
    }

    scripted_upstream m_upstream;
    serving::upstream_record m_record;
};

using engine_list = std::vector<std::unique_ptr<engine>>;

std::vector<serving::upstream_record> records_of(engine_list const& engines)
{
    std::vector<serving::upstream_record> records;
    for (auto const& item : engines)
    {
        records.push_back(item->record());
    }
    return records;
}

serving::catalog make_stream_catalog()
{
    serving::catalog catalog = make_open_catalog(400ms);
    for (serving::route& route : catalog.m_routes)
    {
        route.m_streaming = true;
        route.m_resumable = true;
        route.m_timeout = 2000ms;
        route.m_max_upstreams = 3;
    }
    return catalog;
}

/** @return the same with time for a stream whose first part breaks late. */
serving::catalog make_slow_stream_catalog()
{
    serving::catalog catalog = make_stream_catalog();
    for (serving::route& route : catalog.m_routes)
    {
        route.m_timeout = 6000ms;
    }
    return catalog;
}

std::string make_request(std::string const& id, std::string const& fields = "")
{
    return "POST /again/x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n" + fields +
           "Content-Length: 0\r\n\r\n";
}

std::string resume_request(std::string const& id, std::string const& first)
{
    return make_request(id, "Last-Event-Id: 1\r\nResumes: " + first + "\r\n");
}

/** @return the software versions of the events in an answer, in order. */
std::vector<std::string> versions_in(std::string const& answer)
{
    std::vector<std::string> versions;
    for (std::size_t at = answer.find("data: "); at != std::string::npos;
         at = answer.find("data: ", at + 1))
    {
        versions.push_back(answer.substr(at + 6, 2));
    }
    return versions;
}

std::string id_of(int number)
{
    return "a" + std::to_string(number);
}

/** @return the time of day, Unix ms. */
std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/** Calls @p run with the numbers below @p count, each on a thread. */
void run_at_once(int count, std::function<void(int)> const& run)
{
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
    {
        threads.emplace_back(run, i);
    }
    for (std::thread& item : threads)
    {
        item.join();
    }
}

bool is_whole(std::string const& answer)
{
    return answer.ends_with("0\r\n\r\n");
}

bool is_refused(std::string const& answer)
{
    return answer.starts_with("HTTP/1.1 503");
}

/** Instances that exchange news. */
class fleet
{
public:
    fleet(int size, std::vector<serving::upstream_record> upstreams)
        : m_upstreams(std::move(upstreams)),
          m_instances(static_cast<std::size_t>(size))
    {
        for (int number = 1; number <= size; ++number)
        {
            start(number);
        }
        // Until each has got news of all others.
        std::this_thread::sleep_for(1000ms);
    }

    running_instance& at(int number)
    {
        return *m_instances[static_cast<std::size_t>(number - 1)];
    }

    void kill(int number)
    {
        m_instances[static_cast<std::size_t>(number - 1)].reset();
    }

    /** The instance exchanges no messages with the others any more. */
    void cut_off(int number)
    {
        m_network.cut_off(number);
    }

    void start(int number)
    {
        m_instances[static_cast<std::size_t>(number - 1)] =
            std::make_unique<running_instance>(make_stream_catalog(),
                                               m_upstreams, m_network, number);
    }

    /** Service discovery changes. */
    void list(std::vector<serving::upstream_record> const& upstreams)
    {
        m_upstreams = upstreams;
        for (auto const& instance : m_instances)
        {
            if (instance)
            {
                instance->set_upstreams(upstreams);
            }
        }
    }

private:
    peer_network m_network;
    std::vector<serving::upstream_record> m_upstreams;
    std::vector<std::unique_ptr<running_instance>> m_instances;
};

} // namespace

TEST_CASE("a broken stream does not go on at another software version")
{
    engine_list engines;
    engines.push_back(
        std::make_unique<engine>("u1", "v1", "a", first_part::breaks_off));
    engines.push_back(
        std::make_unique<engine>("u2", "v2", "b", first_part::is_whole));
    running_instance instance(make_stream_catalog(), records_of(engines));
    std::string const answer = instance.exchange(make_request("a1"));
    CHECK(versions_in(answer) == std::vector<std::string>{"v1"});
    CHECK_FALSE(is_whole(answer));
}

TEST_CASE("a broken stream goes on at another upstream of its version")
{
    engine_list engines;
    engines.push_back(
        std::make_unique<engine>("u1", "v1", "a", first_part::breaks_off));
    engines.push_back(
        std::make_unique<engine>("u2", "v1", "b", first_part::is_whole));
    for (char const* id : {"u3", "u4", "u5", "u6"})
    {
        engines.push_back(
            std::make_unique<engine>(id, "v2", "b", first_part::is_whole));
    }
    running_instance instance(make_stream_catalog(), records_of(engines));
    for (int i = 0; i < 3; ++i)
    {
        std::string const answer =
            instance.exchange(make_request("a" + std::to_string(i)));
        CHECK(versions_in(answer) == std::vector<std::string>(3, "v1"));
        CHECK(is_whole(answer));
    }
}

TEST_CASE("a stream is not joined with one of a process under the same id")
{
    // Guards against a row that was read before the process was replaced.
    engine_list engines;
    engines.push_back(
        std::make_unique<engine>("u1", "v1", "a", first_part::stays_open));
    engines.push_back(
        std::make_unique<engine>("u2", "v1", "b", first_part::is_whole));
    running_instance instance(make_stream_catalog(), records_of(engines));
    std::string const first = instance.exchange(make_request("a1"), 400ms);
    REQUIRE(versions_in(first).size() == 1);
    auto records = records_of(engines);
    records[0].m_started = 2;
    records[0].m_software = software_version("v2");
    instance.set_upstreams(records);
    CHECK(is_refused(instance.exchange(resume_request("a2", "a1"))));
}

TEST_CASE("a stream is not joined after its process was listed and removed")
{
    // Guards against forgetting the row of the process that began the stream:
    // it was read while the process was listed, after the stream had begun.
    engine_list engines;
    engines.push_back(
        std::make_unique<engine>("u1", "v2", "a", first_part::breaks_late));
    engines.push_back(
        std::make_unique<engine>("u2", "v1", "b", first_part::is_whole));
    auto const restarted = records_of(engines);
    serving::catalog catalog = make_stream_catalog();
    catalog.m_routes.front().m_timeout = 4000ms;
    running_instance instance(catalog,
                              {engines[0]->older_record("v1"), restarted[1]});
    std::string first;
    std::thread caller(
        [&] { first = instance.exchange(make_request("a1"), 3000ms); });
    std::this_thread::sleep_for(100ms);
    instance.set_upstreams(restarted);
    std::this_thread::sleep_for(800ms);
    instance.set_upstreams({restarted[1]});
    std::this_thread::sleep_for(800ms);
    CHECK(is_refused(instance.exchange(resume_request("a2", "a1"))));
    caller.join();
    CHECK(versions_in(first) == std::vector<std::string>{"v2"});
    CHECK_FALSE(is_whole(first));
}

TEST_CASE("a stream goes on though its upstream restarted with other software")
{
    // Guards against refusing the streams of a process because of the one that
    // came after it under its id.
    bool const resumed_by_caller = GENERATE(false, true);
    CAPTURE(resumed_by_caller);
    engine_list engines;
    engines.push_back(
        std::make_unique<engine>("u1", "v1", "a", first_part::breaks_late));
    engines.push_back(
        std::make_unique<engine>("u2", "v1", "b", first_part::is_whole));
    auto records = records_of(engines);
    serving::catalog catalog = make_slow_stream_catalog();
    for (serving::route& route : catalog.m_routes)
    {
        route.m_max_upstreams = resumed_by_caller ? 1 : 2;
    }
    running_instance instance(catalog, records);
    std::string answer;
    std::thread caller(
        [&] { answer = instance.exchange(make_request("a1"), 4000ms); });
    std::this_thread::sleep_for(900ms);
    records[0].m_started = unix_ms();
    records[0].m_software = software_version("v2");
    instance.set_upstreams(records);
    caller.join();
    if (resumed_by_caller)
    {
        CHECK(versions_in(answer).size() == 1);
        answer += instance.exchange(resume_request("a2", "a1"));
    }
    CHECK(versions_in(answer) == std::vector<std::string>(3, "v1"));
    CHECK(is_whole(answer));
}

TEST_CASE("a stream does not go on by the record of a former process")
{
    // Guards against a store that comes back from a copy: it lists an upstream
    // as it was before it restarted with other software.
    engine_list engines;
    engines.push_back(
        std::make_unique<engine>("u1", "v1", "a", first_part::breaks_late));
    engines.push_back(
        std::make_unique<engine>("u2", "v2", "b", first_part::is_whole));
    engines.push_back(
        std::make_unique<engine>("u3", "v1", "b", first_part::is_whole));
    auto records = records_of(engines);
    records[1].m_started = unix_ms() - 10000;
    running_instance instance(make_slow_stream_catalog(), records);
    std::string answer;
    std::thread caller(
        [&] { answer = instance.exchange(make_request("a1"), 4000ms); });
    std::this_thread::sleep_for(500ms);
    records[1].m_started -= 60000;
    records[1].m_software = software_version("v1");
    // Upstreams of the own zone are preferred.
    records[1].m_zone = zone_id("a");
    instance.set_upstreams(records);
    caller.join();
    CHECK(versions_in(answer) == std::vector<std::string>(3, "v1"));
    CHECK(is_whole(answer));
}

TEST_CASE("a stream does not go on at a process whose record is not written")
{
    // Guards against an upstream that restarts with other software and serves
    // before its record says so; it refused connections meanwhile.
    engine_list engines;
    engines.push_back(
        std::make_unique<engine>("u1", "v1", "a", first_part::breaks_late));
    engines.push_back(
        std::make_unique<engine>("u2", "v2", "a", first_part::is_whole));
    engines.push_back(
        std::make_unique<engine>("u3", "v1", "b", first_part::is_whole));
    auto records = records_of(engines);
    records[1].m_software = software_version("v1");
    std::string const address =
        std::exchange(records[1].m_address, "127.0.0.1:1");
    running_instance instance(make_slow_stream_catalog(),
                              {records[1], records[2]});
    CHECK(is_whole(instance.exchange(make_request("a0"))));
    instance.set_upstreams({records[0], records[2]});
    std::this_thread::sleep_for(1000ms);
    std::string answer;
    std::thread caller(
        [&] { answer = instance.exchange(make_request("a1"), 4000ms); });
    std::this_thread::sleep_for(300ms);
    records[1].m_address = address;
    instance.set_upstreams(records);
    caller.join();
    CHECK(versions_in(answer) == std::vector<std::string>(3, "v1"));
    CHECK(is_whole(answer));
}

TEST_CASE("a stream is not joined while its process cannot be confirmed")
{
    // Guards against the row of a process that was replaced while the store
    // gave no answer.
    engine_list engines;
    engines.push_back(
        std::make_unique<engine>("u1", "v2", "a", first_part::breaks_off));
    engines.push_back(
        std::make_unique<engine>("u2", "v1", "b", first_part::is_whole));
    running_instance instance(
        make_stream_catalog(),
        {engines[0]->older_record("v1"), engines[1]->record()});
    instance.fail_store();
    std::string const first = instance.exchange(make_request("a1"));
    CHECK(versions_in(first) == std::vector<std::string>{"v2"});
    CHECK_FALSE(is_whole(first));
    CHECK(is_refused(instance.exchange(resume_request("a2", "a1"))));
}

TEST_CASE("a resumed stream goes on at its version when its instance is gone")
{
    engine_list engines;
    engines.push_back(
        std::make_unique<engine>("u1", "v1", "a", first_part::stays_open));
    fleet instances(4, records_of(engines));
    std::string const first = instances.at(2).exchange(make_request("a1"));
    REQUIRE(versions_in(first).size() == 1);
    // The instances prefer upstreams of their own zone.
    engines.push_back(
        std::make_unique<engine>("u2", "v1", "b", first_part::is_whole));
    engines.push_back(
        std::make_unique<engine>("u3", "v2", "a", first_part::is_whole));
    auto records = records_of(engines);
    records.erase(records.begin());
    instances.list(records);
    // Until the instances have read it.
    std::this_thread::sleep_for(1000ms);
    instances.kill(2);
    std::string const answer =
        instances.at(3).exchange(resume_request("a2", "a1"));
    CHECK(versions_in(answer) == std::vector<std::string>(2, "v1"));
    CHECK(is_whole(answer));
}

TEST_CASE("a resumed stream is refused when its version is gone")
{
    engine_list engines;
    engines.push_back(
        std::make_unique<engine>("u1", "v1", "a", first_part::stays_open));
    engines.push_back(
        std::make_unique<engine>("u2", "v2", "a", first_part::is_whole));
    fleet instances(2, {engines[0]->record()});
    std::string const first = instances.at(1).exchange(make_request("a1"));
    REQUIRE(versions_in(first).size() == 1);
    instances.list({engines[1]->record()});
    CHECK(is_refused(instances.at(2).exchange(resume_request("a2", "a1"))));
    CHECK(is_whole(instances.at(2).exchange(make_request("a3"))));
}

TEST_CASE("a stream is not joined after all instances were killed")
{
    // Guards against the loss of what the instances knew: two versions were in
    // service, and the upstreams of the older one have left since.
    engine_list engines;
    engines.push_back(
        std::make_unique<engine>("u1", "v1", "a", first_part::stays_open));
    engines.push_back(
        std::make_unique<engine>("u2", "v2", "a", first_part::is_whole));
    fleet instances(3, {engines[0]->record()});
    for (int i = 1; i <= 3; ++i)
    {
        std::string const first = instances.at(i).exchange(
            make_request("a" + std::to_string(i)), 400ms);
        REQUIRE(versions_in(first).size() == 1);
    }
    for (int i = 1; i <= 3; ++i)
    {
        instances.kill(i);
    }
    instances.list({engines[1]->record()});
    for (int i = 1; i <= 3; ++i)
    {
        instances.start(i);
    }
    for (int i = 1; i <= 3; ++i)
    {
        std::string const id = std::to_string(i);
        CHECK(is_refused(
            instances.at(i).exchange(resume_request("b" + id, "a" + id))));
        CHECK(is_whole(instances.at(i).exchange(make_request("c" + id))));
    }
}

TEST_CASE("streams of killed instances go on at the only one that is left")
{
    // Guards against origins of streams that only a few instances know. Half
    // of the resumed streams must go on if all new ones begin.
    constexpr int size = 9;
    constexpr int streams = 4; // of each instance
    engine_list engines;
    for (int i = 0; i < 6; ++i)
    {
        engines.push_back(std::make_unique<engine>(
            "u" + std::to_string(i), i % 2 ? "v1" : "v2", i < 3 ? "a" : "b",
            first_part::stays_open));
    }
    fleet instances(size, records_of(engines));
    constexpr int count = (size - 1) * streams;
    std::vector<std::string> firsts(count);
    run_at_once(count,
                [&](int i)
                {
                    firsts[i] = instances.at(2 + i % (size - 1))
                                    .exchange(make_request(id_of(i)), 500ms);
                });
    // Until all instances have exchanged news.
    std::this_thread::sleep_for(600ms);
    for (int number = 2; number <= size; ++number)
    {
        instances.kill(number);
    }
    std::vector<std::string> rests(count);
    run_at_once(count,
                [&](int i)
                {
                    rests[i] = instances.at(1).exchange(
                        resume_request("b" + id_of(i), id_of(i)), 500ms);
                });
    int went_on = 0;
    for (int i = 0; i < count; ++i)
    {
        REQUIRE(versions_in(firsts[i]).size() == 1);
        for (std::string const& version : versions_in(rests[i]))
        {
            CHECK(version == versions_in(firsts[i]).front());
        }
        went_on += is_whole(rests[i]) ? 1 : 0;
    }
    CHECK(went_on * 2 >= count);
}

TEST_CASE("an instance that stood still or was cut off joins no stream")
{
    // Guards against the old list of such an instance: servers of a new
    // version joined and began streams that it is asked to resume.
    bool const cut_off = GENERATE(false, true);
    CAPTURE(cut_off);
    engine_list engines;
    engines.push_back(
        std::make_unique<engine>("u1", "v1", "b", first_part::is_whole));
    engines.push_back(
        std::make_unique<engine>("u2", "v2", "a", first_part::breaks_late));
    fleet instances(3, {engines[0]->record()});
    if (cut_off)
    {
        instances.cut_off(3);
    }
    else
    {
        instances.at(3).freeze(2500ms);
    }
    instances.list(records_of(engines));
    std::this_thread::sleep_for(900ms);
    // The instances prefer upstreams of their own zone.
    std::string const first =
        instances.at(1).exchange(make_request("a1"), 400ms);
    REQUIRE(versions_in(first) == std::vector<std::string>{"v2"});
    instances.list({engines[0]->record()});
    std::string const rest =
        instances.at(3).exchange(resume_request("a2", "a1"), 3000ms);
    for (std::string const& version : versions_in(rest))
    {
        CHECK(version == "v2");
    }
    CHECK(is_whole(instances.at(3).exchange(make_request("a3"))));
}

TEST_CASE("streams of random rollouts, kills and late lists are never joined")
{
    // At least half as large a share of resumed streams must go on as of new
    // ones that begin, while upstreams of their version serve.
    unsigned const seed = GENERATE(1u, 2u);
    CAPTURE(seed);
    std::mt19937 random(seed);
    auto const draw = [&random](int count)
    {
        return std::uniform_int_distribution<int>(0, count - 1)(random);
    };
    constexpr int size = 5;
    engine_list engines;
    for (int i = 0; i < 8; ++i)
    {
        engines.push_back(std::make_unique<engine>(
            "u" + std::to_string(i), i < 4 ? "v1" : "v2", i % 2 ? "a" : "b",
            first_part::stays_open));
    }
    auto const records = records_of(engines);
    fleet instances(size, {records.begin(), records.begin() + 4});
    int resumed = 0;
    int went_on = 0;
    for (int i = 0; i < 24; ++i)
    {
        if (i % 8 == 4)
        {
            // The newer version appears, then some of the older one leave.
            int const left = draw(3);
            std::vector<serving::upstream_record> const listed(
                records.begin() + (i > 8 ? left : 0), records.end());
            instances.list(listed);
        }
        int const begins_at = 1 + draw(size);
        std::string const id = std::to_string(i);
        std::string const first =
            instances.at(begins_at).exchange(make_request("a" + id), 300ms);
        REQUIRE(versions_in(first).size() == 1);
        bool const killed = draw(3) == 0;
        if (killed)
        {
            instances.kill(begins_at);
        }
        int goes_on_at = 1 + draw(size);
        goes_on_at += goes_on_at == begins_at ? 1 : 0;
        goes_on_at = goes_on_at > size ? 1 : goes_on_at;
        if (goes_on_at != begins_at)
        {
            ++resumed;
            std::string const rest =
                instances.at(goes_on_at)
                    .exchange(resume_request("b" + id, "a" + id), 500ms);
            for (std::string const& version : versions_in(rest))
            {
                CHECK(version == versions_in(first).front());
            }
            went_on += is_whole(rest) ? 1 : 0;
        }
        if (killed)
        {
            instances.start(begins_at);
        }
    }
    CHECK(went_on * 2 >= resumed);
}
