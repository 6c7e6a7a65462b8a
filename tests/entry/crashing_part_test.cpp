/** @file Tests of prompts with a part that crashes upstreams. */
#include "stand_in.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace daisylead;
using namespace daisylead::entry_test;
using namespace std::chrono_literals;

namespace
{

/** Time for which an upstream is down after a crash. */
constexpr auto down_time = 1500ms;

/** Interval of requests with the crashing part. */
constexpr auto deadly_interval = 300ms;

/** Requests with the part that may reach upstreams: up to the fifth crash, in
 *  the 3 s after it, and three more. */
constexpr int max_deadly_requests = 5 + 3000ms / deadly_interval + 3;

serving::catalog make_catalog()
{
    return make_open_catalog(800ms);
}

/** Upstreams of which each ends for a time when it begins to answer a request
 *  with the part "deadly". */
class crashing_upstreams
{
public:
    explicit crashing_upstreams(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            m_servers.push_back(std::make_unique<scripted_upstream>(
                [this, i](served_connection& connection) {
                    serve(connection, *m_servers[static_cast<std::size_t>(i)]);
                }));
        }
        m_ready = true;
    }

    std::vector<serving::upstream_record> records() const
    {
        std::vector<serving::upstream_record> list;
        for (std::size_t i = 0; i < m_servers.size(); ++i)
        {
            list.push_back(make_upstream_record("u" + std::to_string(i),
                                                m_servers[i]->address()));
        }
        return list;
    }

    /** @return requests with the part that reached an upstream. */
    int deadly_requests() const
    {
        return m_deadly_requests;
    }

private:
    void serve(served_connection& connection, scripted_upstream& server)
    {
        for (;;)
        {
            std::string const request = connection.read_request();
            if (request.empty() || !m_ready)
            {
                return;
            }
            if (request.find("deadly") != std::string::npos)
            {
                ++m_deadly_requests;
                server.crash(down_time);
                return;
            }
            connection.write("HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n"
                             "Content-Length: 2\r\n\r\nok");
        }
    }

    std::vector<std::unique_ptr<scripted_upstream>> m_servers;
    std::atomic<bool> m_ready = false;
    std::atomic<int> m_deadly_requests = 0;
};

std::string answer_of(running_instance& instance, std::string const& parts)
{
    // No two requests are alike.
    static std::atomic<int> number = 0;
    return instance.exchange("GET /again/" + std::to_string(++number) +
                                 " HTTP/1.1\r\nHost: h\r\nId: a1\r\nParts: " +
                                 parts + "\r\nConnection: close\r\n\r\n",
                             3s);
}

bool is_served(std::string const& answer)
{
    return answer.rfind("HTTP/1.1 200", 0) == 0;
}

/** Instances that share upstreams, news and the store. */
struct test_fleet
{
    explicit test_fleet(crashing_upstreams& upstreams) : m_upstreams(upstreams)
    {
    }

    void start(int size)
    {
        for (int number = 1; number <= size; ++number)
        {
            m_instances.push_back(std::make_unique<running_instance>(
                make_catalog(), m_upstreams.records(), m_network, number,
                store_state{.m_blocks = m_blocks}));
        }
    }

    /** Sends requests with the part in turn to all instances, each with other
     *  parts beside it, between sound requests that have these too. */
    void send_deadly(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            running_instance& instance = *m_instances[static_cast<std::size_t>(
                i % static_cast<int>(m_instances.size()))];
            std::string const topic = "topic" + std::to_string(i % 3);
            answer_of(instance,
                      "common," + topic + ",deadly,d" + std::to_string(i));
            for (int j = 0; j < 4; ++j)
            {
                m_refused_sound +=
                    is_served(answer_of(instance, "common," + topic + ",own"))
                        ? 0
                        : 1;
            }
            std::this_thread::sleep_for(deadly_interval);
        }
    }

    crashing_upstreams& m_upstreams;
    peer_network m_network;
    std::shared_ptr<block_store> m_blocks = std::make_shared<block_store>();
    std::vector<std::unique_ptr<running_instance>> m_instances;
    int m_refused_sound = 0;
};

} // namespace

TEST_CASE("requests that share a crashing part are refused after few crashes")
{
    // Guards against counting crashes by request when no two are alike.
    crashing_upstreams upstreams(24);
    test_fleet fleet(upstreams);
    fleet.start(4);
    fleet.send_deadly(24);
    CHECK(upstreams.deadly_requests() <= max_deadly_requests);
    int const reached = upstreams.deadly_requests();
    fleet.send_deadly(8);
    CHECK(upstreams.deadly_requests() == reached);
    CHECK(fleet.m_refused_sound == 0);
}

TEST_CASE("a blocked part stays blocked when all instances start anew")
{
    crashing_upstreams upstreams(24);
    test_fleet fleet(upstreams);
    fleet.start(3);
    fleet.send_deadly(16);
    int const reached = upstreams.deadly_requests();
    // The block must be in the store by now.
    std::this_thread::sleep_for(1500ms);
    fleet.m_instances.clear();
    fleet.start(3);
    fleet.send_deadly(6);
    CHECK(upstreams.deadly_requests() == reached);
    CHECK(fleet.m_refused_sound == 0);
}

TEST_CASE("a request that is refused for a blocked part is refunded once")
{
    // Guards against refusals that raise an organisation above its limit.
    crashing_upstreams upstreams(1);
    auto const blocks = std::make_shared<block_store>();
    blocks->write({request::digest_of_part("deadly"), {}, true});
    serving::catalog catalog = make_catalog();
    catalog.m_routes.front().m_open = false;
    serving::organisation owner;
    owner.m_id = organisation_id("o");
    owner.m_keys = {"k"};
    owner.m_rate = 8;
    owner.m_burst = 1000;
    catalog.m_organisations = {owner};
    peer_network network;
    running_instance instance(catalog, upstreams.records(), network, 1,
                              {.m_blocks = blocks});
    auto const status = [&](std::string const& parts)
    {
        return answer_of(instance, parts + "\r\nKey: k").substr(9, 3);
    };
    for (int i = 0; i < 60; ++i)
    {
        CHECK(status("deadly,own") == "503");
    }
    int served = 0;
    for (int i = 0; i < 60; ++i)
    {
        served += status("sound,own") == "200" ? 1 : 0;
    }
    // Half a second of the rate at the start, and what the test lasts.
    CHECK(served < 30);
}
