/** @file Slopes of what instances tell each other and of the configuration. */
#include "fleet_bench.hpp"

#include "peer/codec.hpp"

#include <daisylead/access/access_table_base.hpp>
#include <daisylead/config/parse_func.hpp>
#include <daisylead/limits/limit_owner_base.hpp>
#include <daisylead/membership/member_table_base.hpp>
#include <daisylead/request/claim_flow_base.hpp>

#include <malloc.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <iostream>

namespace daisylead::bench
{

namespace
{

using nlohmann::json;
using clock_type = std::chrono::steady_clock;

constexpr int repetitions = 20000;
constexpr int instances = 340;      ///< design size
constexpr int organisations = 1700; ///< design size
constexpr int upstreams = 1800;     ///< design size

void print(std::string const& name, json const& figures)
{
    json line = {{"slope", name}};
    line.update(figures);
    std::cout << line.dump() << '\n';
}

double nanoseconds_each(clock_type::time_point begin, int count)
{
    std::chrono::duration<double, std::nano> const taken =
        clock_type::now() - begin;
    return taken.count() / count;
}

peer::message from(peer::message_body body)
{
    return {instance_id("entry-0123"), incarnation(1796356332112),
            std::move(body)};
}

void print_size(std::string const& name, peer::message_body body)
{
    print("message", {{"kind", name},
                      {"bytes", peer::encoded_size(from(std::move(body)))}});
}

limits::reserve_request make_reserve()
{
    limits::reserve_request body;
    body.m_sender = instance_id("entry-0123");
    body.m_incarnation = incarnation(1);
    body.m_organisation = organisation_id("organisation-0123");
    body.m_amounts = {token_count(2300)};
    body.m_reports = {{body.m_organisation, fence_number(1),
                       limits::reservation_number(1), token_count(100),
                       token_count(0), true}};
    return body;
}

std::string make_document(int count)
{
    std::string text = "[[model]]\nid = \"caption\"\nweights_version = \"1\"\n";
    for (int i = 0; i < count; ++i)
    {
        std::string const id = "organisation-" + std::to_string(i);
        text.append("[[organisation]]\nid = \"").append(id);
        text += "\"\nrate = 1000\nburst = 5000\nmodels = [\"caption\"]\n";
        text.append("[[key]]\ndigest = \"sha256:");
        text.append(access::sha256_hex(id));
        text.append("\"\norganisation = \"").append(id);
        text.append("\"\nlabel = \"key of ").append(id).append("\"\n");
    }
    for (int i = 0; i < upstreams * count / organisations; ++i)
    {
        text.append("[[upstream]]\nid = \"engine-");
        text.append(std::to_string(i));
        text.append("\"\nkind = \"engine\"\naddress = \"10.");
        text.append(std::to_string(i / 62500)).append(".");
        text.append(std::to_string(i / 250 % 250)).append(".");
        text.append(std::to_string(i % 250 + 1));
        text += ":8000\"\nzone = \"a\"\nmodels = [\"caption\"]\n";
    }
    return text;
}

std::size_t heap_in_use()
{
    return mallinfo2().uordblks;
}

void bench_document(int count)
{
    std::string const text = make_document(count);
    std::size_t const before = heap_in_use();
    auto const begin = clock_type::now();
    auto const parsed = config::parse_configuration(text, "bench");
    double const parse = nanoseconds_each(begin, 1);
    access::access_table const table(parsed);
    std::size_t const used = heap_in_use() - before;
    print("configuration", {{"organisations", count},
                            {"document_bytes", text.size()},
                            {"parse_ms", parse / 1e6},
                            {"memory_bytes", used},
                            {"keys", table.key_count()}});
}

void bench_ping()
{
    membership::member_options options;
    options.m_self = instance_id("entry-self");
    options.m_incarnation = incarnation(1);
    membership::member_table table(options);
    clock_type::time_point const now{};
    std::vector<table::listed_instance> machines;
    machines.reserve(instances);
    for (int i = 0; i < instances; ++i)
    {
        machines.push_back(
            {"entry-" + std::to_string(i), table::instance_role::entry,
             "10.0.0.1:" + std::to_string(1000 + i), "a", "r1", false});
    }
    std::size_t const before = heap_in_use();
    table.list_received(machines, now);
    std::size_t const used = heap_in_use() - before;
    membership::ping message;
    message.m_sender = instance_id("entry-7");
    message.m_incarnation = incarnation(1);
    message.m_address = "10.0.0.1:1007";
    auto const begin = clock_type::now();
    for (int i = 0; i < repetitions; ++i)
    {
        message.m_number = static_cast<std::uint64_t>(i);
        table.ping_received(message, now + std::chrono::milliseconds(i));
    }
    print("ping", {{"nanoseconds", nanoseconds_each(begin, repetitions)},
                   {"members", instances},
                   {"bytes_each_member", used / instances}});
}

void bench_reservation()
{
    clock_type::time_point const start{};
    limits::limit_owner owner(
        {[start](organisation_id const&, time_point)
         {
             return limits::held_lease{fence_number(1), start};
         }});
    std::vector<config::organisation> known(organisations);
    for (int i = 0; i < organisations; ++i)
    {
        auto& item = known[static_cast<std::size_t>(i)];
        item.m_id = organisation_id("organisation-" + std::to_string(i));
        item.m_rate = token_rate(1'000'000'000);
        item.m_burst = token_count(1'000'000'000);
    }
    owner.set_limits(known, 5, start);
    limits::reserve_request message = make_reserve();
    message.m_reports.clear();
    std::size_t const before = heap_in_use();
    auto const begin = clock_type::now();
    for (int i = 0; i < repetitions; ++i)
    {
        message.m_organisation = organisation_id(
            "organisation-" + std::to_string(i % organisations));
        message.m_reservation = limits::reservation_number(i + 1);
        owner.handle(message, start + std::chrono::seconds(10) +
                                  std::chrono::milliseconds(i));
    }
    print("reservation", {{"nanoseconds", nanoseconds_each(begin, repetitions)},
                          {"bytes_each_organisation",
                           (heap_in_use() - before) / organisations}});
}

void bench_claim()
{
    request::claim_options options;
    options.m_instance = instance_id("entry-0123");
    std::uint64_t random = 0;
    request::claim_flow claims(options, {[&random] { return ++random; },
                                         [](instance_id const&, incarnation)
                                         {
                                             return true;
                                         }});
    clock_type::time_point const now{};
    constexpr int count = 1000;
    std::size_t const before = heap_in_use();
    auto const begin = clock_type::now();
    for (int i = 0; i < count; ++i)
    {
        request::claim_request item;
        item.m_id = request_id("entry-0123-" + std::to_string(i));
        item.m_organisation = organisation_id("organisation-0123");
        item.m_key = "order-" + std::to_string(i);
        item.m_body_digest = std::string(64, 'a');
        item.m_deadline = now + std::chrono::seconds(60);
        claims.begin(item, now);
    }
    auto const actions = claims.on_timer(now + std::chrono::milliseconds(10));
    print("claim",
          {{"nanoseconds", nanoseconds_each(begin, count)},
           {"transactions_for_1000", actions.size()},
           {"bytes_each_open_claim", (heap_in_use() - before) / count}});
}

} // namespace

void bench_messages()
{
    membership::ping ping;
    ping.m_address = "10.12.13.14:7140";
    ping.m_number = 1;
    print_size("ping", ping);
    print_size("ping reply", membership::ping_reply{});
    print_size("reserve", make_reserve());
    limits::reserve_reply reply;
    reply.m_organisation = organisation_id("organisation-0123");
    reply.m_granted = {true};
    reply.m_retry_after = {0};
    print_size("reserve reply", reply);
    limits::settle settle;
    settle.m_reports = make_reserve().m_reports;
    print_size("settle of one report", settle);
    lease::lease_confirm_request confirm;
    confirm.m_claims = {{"limit/12", fence_number(3), "entry-0123-1234567890",
                         instance_id("entry-0123")}};
    print_size("lease confirm of one row", confirm);
    peer::quarantine_news news;
    news.m_entries = {
        {{organisation_id("organisation-0123"), std::string(64, 'a')},
         {upstream_id("engine-0123"), incarnation(1)},
         false}};
    print_size("quarantine news", news);
    print_size("upstream news",
               peer::upstream_news{upstream_id("engine-0123"), true});
}

void bench_configuration()
{
    for (int const count : {organisations / 4, organisations})
    {
        bench_document(count);
    }
}

void bench_decisions()
{
    bench_ping();
    bench_reservation();
    bench_claim();
}

} // namespace daisylead::bench
