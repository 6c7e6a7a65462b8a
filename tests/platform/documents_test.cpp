/** @file Tests of decoding the platform's rows and header fields. */
#include "platform/documents_func.hpp"
#include "platform/headers_func.hpp"

#include <catch2/catch.hpp>

#include <limits>
#include <nlohmann/json.hpp>

using namespace daisylead;
using nlohmann::json;

namespace
{

json make_row(std::string const& key, std::string const& value)
{
    return {{"table", "t"},
            {"part", ""},
            {"key", key},
            {"value", platform::encode_base64(value)},
            {"rowVersion", 7}};
}

json make_server()
{
    return {{"service", "s"},
            {"address", "10.0.0.1:80"},
            {"zone", "z"},
            {"version", "v1"},
            {"slots", 48},
            {"state", "ready"},
            {"coldRemainingMs", 0},
            {"sequence", 4},
            {"born", 1700000000000},
            {"models", json::array({{{"name", "m"}, {"version", 3}}})}};
}

std::vector<serving::upstream_record> decode_one(std::string const& value)
{
    json const rows = {{"rows", json::array({make_row("i-1", value)})}};
    return platform::decode_upstreams(rows.dump());
}

} // namespace

TEST_CASE("a server's row becomes an upstream")
{
    auto const list = decode_one(make_server().dump());
    REQUIRE(list.size() == 1);
    CHECK(list[0].m_id == upstream_id("i-1"));
    CHECK(list[0].m_started == 1700000000000);
    CHECK(list[0].m_software == software_version("v1"));
    CHECK(list[0].m_weights.at(model_id("m")) == 3);
    CHECK_FALSE(list[0].m_leaving);
}

TEST_CASE("rows of another writer name no upstream")
{
    CHECK(decode_one("\x01\x02 not JSON").empty());
    CHECK(decode_one("[]").empty());
    for (char const* name : {"service", "address", "zone", "version", "slots",
                             "state", "coldRemainingMs", "sequence"})
    {
        json missing = make_server();
        missing.erase(name);
        CHECK(decode_one(missing.dump()).empty());
        json other_type = make_server();
        other_type[name] = json::array();
        CHECK(decode_one(other_type.dump()).empty());
    }
    json state = make_server();
    state["state"] = "resting";
    CHECK(decode_one(state.dump()).empty());
    json born = make_server();
    born["born"] = 1.5;
    CHECK(decode_one(born.dump()).empty());
}

TEST_CASE("one row that cannot be read leaves the others alone")
{
    json const rows = {
        {"rows", json::array({make_row("i-0", "?"),
                              make_row("i-1", make_server().dump()),
                              {{"key", "i-2"}}})}};
    CHECK(platform::decode_upstreams(rows.dump()).size() == 1);
}

TEST_CASE("a row that is no object at all ends nothing")
{
    // Guards against an exception that leaves the decoder.
    json const rows = {
        {"rows", json::array({7,
                              nullptr,
                              json::array({1}),
                              "row",
                              {{"key", 3}},
                              make_row("i-1", make_server().dump())})}};
    CHECK(platform::decode_upstreams(rows.dump()).size() == 1);
}

TEST_CASE("an answer that says that its server leaves or wants a pause is read")
{
    entry::response_header header;
    header.result(boost::beast::http::status::service_unavailable);
    header.set("Server-Leaving", "1");
    header.set("Retry-After", "0.25");
    auto const facts = platform::read_answer(header);
    CHECK(facts.m_leaving);
    REQUIRE(facts.m_retry_after);
    CHECK(*facts.m_retry_after == std::chrono::milliseconds(250));
    header.set("Retry-After", "soon");
    CHECK_FALSE(platform::read_answer(header).m_retry_after);
    header.set("Retry-After", "0.25");
    header.result(boost::beast::http::status::ok);
    header.erase("Server-Leaving");
    CHECK_FALSE(platform::read_answer(header).m_retry_after);
    CHECK_FALSE(platform::read_answer(header).m_leaving);
}

TEST_CASE("the request rate that a server takes is read from its answer")
{
    entry::response_header header;
    CHECK_FALSE(platform::read_answer(header).m_rate_limit);
    header.set("Server-Limit", " 1.25 ");
    auto const facts = platform::read_answer(header);
    REQUIRE(facts.m_rate_limit);
    CHECK(*facts.m_rate_limit == Approx(1.25));
    for (char const* const text : {"", "-1", "nan", "inf", "1e999", "2 a", "x"})
    {
        header.set("Server-Limit", text);
        CHECK_FALSE(platform::read_answer(header).m_rate_limit);
    }
}

TEST_CASE("the operator's rows become a catalog")
{
    json const configuration = json::parse(R"({"version":7,
        "routes":[{"name":"r","host":"A.example","prefix":"/x/",
          "routeType":"streaming","timeoutMs":5000,"targetLatencyMs":600,
          "priority":1,"trafficSplit":[{"service":"s","weight":90},
          {"service":"t","weight":10}],"attempts":2,"public":false,
          "sticky":true,"resumable":true,"gapTargetMs":300},
          {"name":"o","host":"a.example","prefix":"/y/",
          "routeType":"non_idempotent","service":"t","attempts":1}],
        "services":[{"name":"s","engine":{"kvCapacity":1000,
          "models":[{"name":"m"}]}},
          {"name":"k","kvStoreAddress":"1.2.3.4:5"}],
        "limits":{"maxHeaderBytes":100,"idleTimeoutMs":9000},
        "tenants":[{"name":"o1","apiKeys":["k1"],"priority":2,"unit":"tokens",
          "uncachedTokens":200,"isolated":true,"ratePerS":5,"burst":6}]})");
    json const rows = {
        {"rows",
         json::array({make_row("config", configuration.dump()),
                      make_row("version/m", R"({"model":"m","version":4})")})}};
    auto const catalog = platform::decode_rules(rows.dump());
    REQUIRE(catalog);
    CHECK(catalog->m_version == config_version(7));
    serving::route const& stream = catalog->m_routes.at(0);
    CHECK(stream.m_host == "a.example");
    CHECK(stream.m_repeatable);
    CHECK(stream.m_split.size() == 2);
    CHECK_FALSE(catalog->m_routes.at(1).m_repeatable);
    CHECK(catalog->m_services.at(0).m_capacity == token_count(1000));
    CHECK(catalog->m_services.at(1).m_kv_store == "1.2.3.4:5");
    CHECK(catalog->m_weights.at(0).m_version == 4);
    CHECK(catalog->m_organisations.at(0).m_isolated);
    CHECK(catalog->m_limits.m_idle_timeout == std::chrono::seconds(9));
}

TEST_CASE("compact rows hold the same configuration as those of the store")
{
    // Guards against a configuration that depends on the way it came.
    json const config = {{"version", 12},
                         {"routes", json::array()},
                         {"services", json::array()}};
    json rows = {
        {"rows",
         json::array({make_row("config", config.dump()),
                      make_row("version/m", "\x01 not JSON"),
                      make_row("version/n", "{\"model\":\"n\",\"version\":4}"),
                      json(5)})},
        {"nowMs", 1}};
    std::string const compact = platform::compact_rows(rows.dump());
    auto const catalog = platform::decode_rules(compact);
    REQUIRE(catalog);
    CHECK(catalog->m_version == config_version(12));
    REQUIRE(catalog->m_weights.size() == 1);
    CHECK(catalog->m_weights.front().m_version == 4);
    // An earlier build reads it as the store sends it.
    json const expanded = json::parse(platform::expand_rows(compact));
    for (json const& row : expanded.at("rows"))
    {
        CHECK(row.at("value").is_string());
        CHECK_FALSE(row.contains("content"));
    }
    CHECK(platform::decode_rules(expanded.dump())->m_version ==
          config_version(12));
    // What differs between two reads is not in it.
    rows["nowMs"] = 2;
    CHECK(platform::compact_rows(rows.dump()) == compact);
}

TEST_CASE("a small change of the configuration is a small change of its text")
{
    // Guards against base64, in which all that follows a change differs.
    auto const compact = [](std::string const& host)
    {
        json routes = json::array();
        for (int i = 0; i < 100; ++i)
        {
            routes.push_back({{"name", "r" + std::to_string(i)},
                              {"host", i == 3 ? host : "h"}});
        }
        json const rows = {
            {"rows",
             json::array({make_row(
                 "config", json{{"version", 1}, {"routes", routes}}.dump())})}};
        return platform::compact_rows(rows.dump());
    };
    std::string const before = compact("h");
    std::string const after = compact("hh");
    CHECK(after.size() == before.size() + 1);
    std::size_t const common = 500;
    CHECK(before.substr(before.size() - common) ==
          after.substr(after.size() - common));
}

TEST_CASE("an answer without rows stays as it is")
{
    CHECK(platform::compact_rows("no JSON") == "no JSON");
    CHECK(platform::expand_rows("no JSON") == "no JSON");
}

TEST_CASE("a configuration that cannot be read is none, not an empty one")
{
    json const rows = {{"rows", json::array({make_row("config", "{")})}};
    CHECK_FALSE(platform::decode_rules(rows.dump()));
    CHECK_FALSE(platform::decode_rules(R"({"rows":[]})"));
    CHECK_FALSE(platform::decode_rules("?"));
}

TEST_CASE("a caller can set nothing that only the system may set")
{
    entry::request_header header;
    for (char const* name :
         {"X-Credential", "X-Tenant", "X-Hold", "X-Pin-Ms", "X-Kv-Backup",
          "Kv-From", "X-Kv-Fetch", "X-Kv-Save", "X-Cache-Salt",
          "X-Request-Urgency", "X-Expect-Version", "X-Expect-Instance"})
    {
        header.insert(name, "forged");
        header.insert(name, "twice");
    }
    header.set("X-Attempt-Id", "a1");
    entry::upstream_call call;
    call.m_upstream = upstream_id("i-1");
    call.m_time_left = std::chrono::milliseconds(1234);
    platform::set_upstream_fields(header, call);
    for (auto const& field : header)
    {
        CHECK(field.value() != "forged");
        CHECK(field.value() != "twice");
    }
    CHECK(header["X-Expect-Instance"] == "i-1");
    CHECK(header["X-Deadline-Ms"] == "1234");
    CHECK(header["X-Attempt-Id"] == "a1");
    CHECK(header.count("X-Tenant") == 0);
}

TEST_CASE("a request's fields are described")
{
    entry::request_header header;
    header.method(boost::beast::http::verb::post);
    header.target("/x/y/z?q=1");
    header.set("Host", "a.example");
    header.set("X-Token-Count", "1460,80");
    header.set("X-Prompt-Prefix", "aa:800, bb:410,cc:250");
    header.set("X-Deadline-Ms", "6000");
    header.set("X-Credential", " k1 ");
    header.set("Last-Event-Id", "12");
    header.set("Resumes", " 9c41d07be2a35f68");
    auto const request = platform::describe(header);
    CHECK(request.m_path == "/x/y/z");
    CHECK(request.m_tokens == token_count(1540));
    REQUIRE(request.m_parts.size() == 3);
    CHECK(request.m_parts[1].m_id == "bb");
    CHECK(request.m_parts[1].m_tokens == token_count(410));
    CHECK(request.m_caller_timeout == std::chrono::seconds(6));
    CHECK(request.m_key == "k1");
    CHECK(request.m_last_event == "12");
    CHECK(request.m_resumes == "9c41d07be2a35f68");
    header.set("X-Token-Count", "many");
    CHECK_FALSE(platform::describe(header).m_tokens);
}

TEST_CASE("the sum of token counts does not overflow")
{
    // Guards against a request that counts as nothing against a token limit.
    entry::request_header header;
    header.method(boost::beast::http::verb::post);
    header.target("/x");
    header.set("X-Token-Count", "9223372036854775807,9223372036854775807");
    CHECK(platform::describe(header).m_tokens ==
          token_count(std::numeric_limits<std::int64_t>::max()));
}

TEST_CASE("an answer's fields are read")
{
    entry::response_header header;
    header.result(503);
    header.set("X-Not-Executed", "1");
    CHECK(platform::read_answer(header).m_not_run);
    header.result(421);
    CHECK(platform::read_answer(header).m_misdirected);
    header.set("Content-Encoding", "gzip");
    CHECK(platform::read_answer(header).m_encoded);
    CHECK_FALSE(platform::read_answer(header).m_sealed);
    header.set("X-Server-Seal", "s");
    CHECK(platform::read_answer(header).m_sealed);
}

TEST_CASE("blocked prompt parts survive the way through the store")
{
    request::blocked_part part;
    part.m_part = request::part_digest(0x00f0aabbccddeeffULL);
    part.m_crashes = {{upstream_id("i-1"), incarnation(1700000000000)},
                      {upstream_id("i-2"), incarnation(7)}};
    json const rows = {
        {"rows",
         json::array({make_row(platform::blocked_part_key(part.m_part),
                               platform::encode_blocked_part(part)),
                      make_row("no number", "{}"), make_row("1f", "[]")})}};
    auto const parts = platform::decode_blocked_parts(rows.dump());
    REQUIRE(parts.size() == 1);
    CHECK(parts.front().m_part == part.m_part);
    CHECK(parts.front().m_crashes == part.m_crashes);
    CHECK(parts.front().m_stored);
}

namespace
{

/** Deeper than a recursive copy can go on a stack of 8 MB. */
constexpr std::size_t odd_depth = 200000;

std::string make_deep(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/** @return the ids of a list with an odd row before a sound one */
std::vector<serving::upstream_record>
decode_beside(std::string const& key, std::string const& odd_value)
{
    json const rows = {
        {"rows", json::array({make_row(key, odd_value),
                              make_row("i-9", make_server().dump())})}};
    return platform::decode_upstreams(rows.dump());
}

/** @return the text of a server's row with one field as given */
std::string server_with(std::string const& name, std::string const& text)
{
    json server = make_server();
    server[name] = "@";
    std::string row = server.dump();
    return row.replace(row.find("\"@\""), 3, text);
}

} // namespace

TEST_CASE("a server's address that names no IP and port costs its row only")
{
    for (char const* address :
         {"10.0.0.1:65536", "10.0.0.1:70000", "10.0.0.1:0",
          "10.0.0.1:99999999999999999999", "10.0.0.1:-1",
          "10.0.0.1:", "10.0.0.1", "10.0.0.256:80", "name:80", ":80",
          "10.0.0.1:80\\r\\nA: b"})
    {
        INFO(address);
        CHECK(
            decode_beside(
                "i-1", server_with("address", '"' + std::string(address) + '"'))
                .size() == 1);
    }
    CHECK(decode_beside("i-1", server_with("address", R"("10.0.0.1:65535")"))
              .size() == 2);
}

TEST_CASE("a server's number that arithmetic cannot bear costs its row only")
{
    for (char const* name : {"slots", "sequence", "born"})
    {
        for (char const* number :
             {"18446744073709551616", "1e400", "1e30", "3.0", "-1e400"})
        {
            INFO(name << " " << number);
            CHECK(decode_beside("i-1", server_with(name, number)).size() == 1);
        }
    }
    for (char const* number :
         {"9223372036854775807", "18446744073709551615", "0", "-1"})
    {
        INFO(number);
        CHECK(decode_beside("i-1", server_with("slots", number)).size() == 1);
    }
    for (char const* number : {"9223372036854775807", "18446744073709551615",
                               "-9223372036854775808"})
    {
        INFO(number);
        CHECK(decode_beside("i-1", server_with("born", number)).size() == 1);
    }
    for (char const* number : {"9223372036854775807", "18446744073709551615",
                               "1e30", "3.5", "true", "1e400"})
    {
        INFO(number);
        CHECK(decode_beside(
                  "i-1", server_with("models", R"([{"name":"m","version":)" +
                                                   std::string(number) + "}]"))
                  .size() == 1);
    }
}

TEST_CASE("a server's row that is nested deeply costs its row only")
{
    std::string const deep = make_deep(odd_depth);
    CHECK(decode_beside("i-1", deep).size() == 1);
    CHECK(decode_beside("i-1", std::string(odd_depth, '[')).size() == 1);
    for (char const* name : {"service", "address", "slots", "sequence", "born",
                             "models", "coldRemainingMs"})
    {
        INFO(name);
        CHECK(decode_beside("i-1", server_with(name, deep)).size() == 1);
    }
    CHECK(decode_beside("i-1", server_with("unknown", deep)).size() == 2);
}

TEST_CASE("a row's version of another kind costs no more than its row")
{
    json const sound = make_row("i-9", make_server().dump());
    std::string const row = R"({"key":"i-1","value":"?","rowVersion":)" +
                            make_deep(odd_depth) + "}";
    auto const list = platform::decode_upstreams(R"({"rows":[)" + row + "," +
                                                 sound.dump() + "]}");
    CHECK(list.size() == 1);
}

TEST_CASE("a blocked part's row that is no object leaves the others alone")
{
    // Guards against a handler that reads the row again and throws.
    json const sound = make_row("00000000000000ff", R"({"crashes":[]})");
    json const rows = {
        {"rows", json::array({7, nullptr, json::array({1}), sound})}};
    std::vector<request::blocked_part> parts;
    REQUIRE_NOTHROW(parts = platform::decode_blocked_parts(rows.dump()));
    CHECK(parts.size() == 1);
}

TEST_CASE("an odd row beside the configuration leaves the configuration alone")
{
    json const configuration = {
        {"version", 7}, {"routes", json::array()}, {"services", json::array()}};
    for (std::string const& value :
         {std::string("?"), std::string("[]"), make_deep(odd_depth),
          std::string(R"({"model":"n"})"),
          std::string(R"({"model":"n","version":1e400})"),
          std::string(R"({"model":"n","version":9223372036854775807})"),
          std::string(R"({"model":"n","version":3.5})")})
    {
        INFO(value.substr(0, 60));
        json const rows = {
            {"rows", json::array({7,
                                  {{"key", 3}},
                                  make_row("version/n", value),
                                  make_row("config", configuration.dump()),
                                  make_row("version/m",
                                           R"({"model":"m","version":4})")})}};
        auto const catalog = platform::decode_rules(rows.dump());
        REQUIRE(catalog);
        REQUIRE(catalog->m_weights.size() == 1);
        CHECK(catalog->m_weights[0].m_version == 4);
    }
}

TEST_CASE("a deeply nested part of the configuration does not end the process")
{
    std::string const deep = make_deep(odd_depth);
    for (std::string const& part :
         {R"("tenants":)" + deep,
          R"("services":[{"name":"s","engine":{"models":)" + deep + "}}]"})
    {
        std::string const value =
            R"({"version":7,"routes":[],"services":[],)" + part + "}";
        json const rows = {{"rows", json::array({make_row("config", value)})}};
        CHECK_FALSE(platform::decode_rules(rows.dump()));
    }
}

TEST_CASE("an odd row of the lease of orders ends no task")
{
    for (char const* value :
         {"?", "[]", "7", R"({"holder":7})", R"({"holder":"a","sentAtMs":"x"})",
          R"({"holder":"a","sentAtMs":-9223372036854775808})",
          R"({"holder":"a","quietMs":9223372036854775807})",
          R"({"holder":"a","quietMs":1e30})"})
    {
        INFO(value);
        serving::lease_row_state state;
        REQUIRE_NOTHROW(
            platform::decode_lease(make_row("orders", value), 1000, state));
        CHECK_FALSE(state.m_holder.empty());
    }
    serving::lease_row_state state;
    platform::decode_lease(
        make_row("orders", R"({"holder":"a","sentAtMs":400,"quietMs":5})"),
        1000, state);
    CHECK(state.m_holder == instance_id("a"));
    CHECK(state.m_age == std::chrono::milliseconds(600));
    CHECK(state.m_quiet == std::chrono::milliseconds(5));
}

TEST_CASE("a lease that was released after days without an order is free")
{
    // Guards against a successor that waits for an unknown holder.
    serving::lease_row_state state;
    platform::decode_lease(
        make_row("orders", R"({"holder":"","quietMs":900000000})"), 1000,
        state);
    CHECK(state.m_holder.empty());
    CHECK(state.m_quiet >= std::chrono::hours(1));
}
