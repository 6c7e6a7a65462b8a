/** @file Tests of a store that comes back from an older copy. */
#include "stand_in.hpp"

#include <daisylead/serving/store_revision_func.hpp>

#include <catch2/catch.hpp>

using namespace daisylead;
using namespace daisylead::entry_test;
using namespace std::chrono_literals;
using serving::make_store_revision;

namespace
{

/** Time after which an acknowledged configuration must be in force. */
constexpr auto apply_time = 2000ms;

/** @return a configuration with a route for each of its versions. */
serving::catalog make_catalog(int version)
{
    serving::catalog catalog;
    catalog.m_version = config_version(version);
    for (int i = 1; i <= version; ++i)
    {
        serving::route route;
        route.m_id = route_id("r" + std::to_string(i));
        route.m_host = "h";
        route.m_prefix = "/v" + std::to_string(i) + "/";
        route.m_repeatable = true;
        route.m_timeout = 2000ms;
        route.m_target_latency = 800ms;
        route.m_max_upstreams = 2;
        route.m_split = {{service_id("s"), 1}};
        catalog.m_routes.push_back(route);
    }
    serving::organisation owner;
    owner.m_id = organisation_id("o");
    owner.m_keys = {"k" + std::to_string(version), "all"};
    catalog.m_organisations = {owner};
    serving::service service;
    service.m_id = service_id("s");
    catalog.m_services = {service};
    return catalog;
}

int status_of(running_instance& instance, int version,
              std::string const& key = "all")
{
    std::string const answer = instance.exchange(
        "GET /v" + std::to_string(version) +
            "/x HTTP/1.1\r\nHost: h\r\nId: a1\r\nKey: " + key +
            "\r\nConnection: close\r\n\r\n",
        3s);
    return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

} // namespace

TEST_CASE("a restored store neither takes a configuration back nor keeps the "
          "next one out")
{
    // Guards against row versions that are compared across eras: the next
    // configuration has the row version that the lost one had.
    sound_upstream upstream;
    peer_network network;
    running_instance instance(make_catalog(1), upstream.records(), network, 1,
                              {make_store_revision(1, 44)});
    instance.set_rules(make_store_revision(1, 45), make_catalog(2));
    std::this_thread::sleep_for(apply_time);
    REQUIRE(status_of(instance, 2) == 200);

    instance.set_rules(make_store_revision(2, 44), make_catalog(1));
    int const reads = instance.rules_reads();
    // Longer than the validity of keys, which needs a proof of the newest
    // configuration.
    std::this_thread::sleep_for(5500ms);
    CHECK(status_of(instance, 2) == 200);
    CHECK(status_of(instance, 2, "k1") == 401);
    CHECK(instance.rules_reads() - reads < 40);

    instance.set_rules(make_store_revision(2, 45), make_catalog(3));
    std::this_thread::sleep_for(apply_time);
    CHECK(status_of(instance, 3) == 200);
    CHECK(status_of(instance, 3, "k2") == 401);
}

TEST_CASE("an instance that starts after a restore learns what the store lost")
{
    sound_upstream upstream;
    peer_network network;
    running_instance old_instance(make_catalog(2), upstream.records(), network,
                                  1, {make_store_revision(1, 45)});
    old_instance.set_rules(make_store_revision(2, 44), make_catalog(1));
    running_instance new_instance(make_catalog(1), upstream.records(), network,
                                  2, {make_store_revision(2, 44)});
    std::this_thread::sleep_for(apply_time);
    CHECK(status_of(old_instance, 2) == 200);
    CHECK(status_of(new_instance, 2) == 200);
    CHECK(status_of(new_instance, 2, "k1") == 401);
}

TEST_CASE("a store that answers with an old state is not read without a pause")
{
    sound_upstream upstream;
    peer_network network;
    running_instance instance(make_catalog(2), upstream.records(), network, 1,
                              {make_store_revision(2, 45)});
    instance.set_rules(make_store_revision(1, 44), make_catalog(1));
    int const reads = instance.rules_reads();
    std::this_thread::sleep_for(3s);
    CHECK(instance.rules_reads() - reads <= 20);
}

TEST_CASE("what an instance learnt after a restore reaches the next one")
{
    // Guards against a content that is handed out under the revision of
    // another one.
    sound_upstream upstream;
    peer_network network;
    running_instance old_instance(make_catalog(2), upstream.records(), network,
                                  1, {make_store_revision(1, 45)});
    old_instance.set_rules(make_store_revision(2, 44), make_catalog(1));
    running_instance second(make_catalog(1), upstream.records(), network, 2,
                            {make_store_revision(2, 44)});
    std::this_thread::sleep_for(apply_time);
    REQUIRE(status_of(second, 2) == 200);
    network.cut_off(1);
    running_instance third(make_catalog(1), upstream.records(),
                           {"peer-3", {"peer-2"}, network.factory()}, 3,
                           {make_store_revision(2, 44)});
    std::this_thread::sleep_for(apply_time);
    CHECK(status_of(third, 2) == 200);
}
