/** @file Tests of request handling by one entry instance. */
#include "stand_in.hpp"

#include <daisylead/entry/http_caller_base.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <csignal>

using namespace daisylead;
using namespace daisylead::entry_test;
using namespace std::chrono_literals;

namespace
{

serving::route make_route(char const* prefix, bool repeatable, bool streaming)
{
    serving::route route;
    route.m_id = route_id(prefix);
    route.m_host = "h";
    route.m_prefix = prefix;
    route.m_repeatable = repeatable;
    route.m_resumable = repeatable && streaming;
    route.m_streaming = streaming;
    route.m_open = true;
    route.m_timeout = 2000ms;
    route.m_target_latency = 400ms;
    route.m_max_upstreams = repeatable ? 2 : 1;
    route.m_split = {{service_id("s"), 1}};
    return route;
}

serving::catalog make_catalog()
{
    serving::catalog catalog;
    catalog.m_version = config_version(1);
    catalog.m_routes = {
        make_route("/once/", false, false), make_route("/again/", true, false),
        make_route("/stream/", true, true), make_route("/keyed/", true, false)};
    catalog.m_routes.back().m_open = false;
    serving::service service;
    service.m_id = service_id("s");
    catalog.m_services = {service};
    serving::organisation owner;
    owner.m_id = organisation_id("museum");
    owner.m_keys = {"k1"};
    catalog.m_organisations = {owner};
    catalog.m_limits.m_max_header = 2048;
    catalog.m_limits.m_max_body = 10000;
    return catalog;
}

std::string make_request(std::string const& method, std::string const& path,
                         std::string const& fields = "",
                         std::string const& body = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: h\r\nId: a1\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string make_answer(std::string const& status, std::string const& fields,
                        std::string const& body)
{
    return "HTTP/1.1 " + status + "\r\nId: a1\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool starts_with(std::string const& text, std::string const& begin)
{
    return text.rfind(begin, 0) == 0;
}

} // namespace

TEST_CASE("a store answer with a Content-Length is read completely")
{
    // Guards against failed reads: Boost 1.74 treats a missing body limit as
    // zero, so that any Content-Length exceeds it.
    scripted_upstream store(
        [](served_connection& connection)
        {
            connection.read_request();
            connection.write(make_answer("200 OK", "", "{\"rows\":[]}"));
        });
    boost::asio::io_context context;
    entry::http_caller caller(context.get_executor());
    std::optional<entry::http_answer> answer;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void>
        {
            entry::http_call call;
            call.m_address = store.address();
            call.m_target = "/rows";
            call.m_timeout = 1s;
            answer = co_await caller.call(call);
        },
        boost::asio::detached);
    context.run();
    REQUIRE(answer);
    CHECK(answer->m_body == "{\"rows\":[]}");
}

TEST_CASE("a request is forwarded and its answer comes back unchanged")
{
    std::string seen;
    scripted_upstream upstream(
        [&seen](served_connection& connection)
        {
            seen = connection.read_request();
            connection.write(
                make_answer("201 Made", "Seal: s1\r\nOther: o\r\n", "done"));
        });
    running_instance instance(make_catalog(),
                              {make_upstream_record("u1", upstream.address())});
    std::string const answer = instance.exchange(
        make_request("POST", "/once/x?q=1",
                     "Connection: X-Keep, Drop-Me\r\nDrop-Me: 1\r\n"
                     "X-Keep: 2\r\n",
                     "body"));
    CHECK(starts_with(answer, "HTTP/1.1 201 Made\r\n"));
    CHECK(answer.find("Seal: s1") != std::string::npos);
    CHECK(answer.find("Other: o") != std::string::npos);
    CHECK(answer.substr(answer.size() - 4) == "done");
    CHECK(starts_with(seen, "POST /once/x?q=1 HTTP/1.1\r\n"));
    CHECK(seen.find("Drop-Me") == std::string::npos);
    CHECK(seen.find("X-Keep: 2") != std::string::npos);
    CHECK(seen.substr(seen.size() - 4) == "body");
}

TEST_CASE("malformed and oversized requests get an HTTP error status")
{
    running_instance instance(make_catalog(), {});
    auto const status = [&instance](std::string const& bytes)
    {
        return instance.exchange(bytes).substr(0, 12);
    };
    CHECK(status("GET /again/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                 "Content-Length: 2\r\n\r\nab") == "HTTP/1.1 400");
    CHECK(status("POST /again/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
          "HTTP/1.1 400");
    CHECK(status("POST /again/ HTTP/1.1\r\nHost: h\r\n"
                 "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n") ==
          "HTTP/1.1 400");
    std::string with_nul = "GET /aga?in/ HTTP/1.1\r\nHost: h\r\n\r\n";
    with_nul[8] = '\0';
    CHECK(status(with_nul) == "HTTP/1.1 400");
    CHECK(status("GET /again/ HTTP/1.1\r\nHost: h\r\nLong: " +
                 std::string(1 << 20, 'x') + "\r\n\r\n") == "HTTP/1.1 431");
    CHECK(status("POST /again/ HTTP/1.1\r\nHost: h\r\n"
                 "Content-Length: 200000000\r\n\r\n") == "HTTP/1.1 413");
}

TEST_CASE("a non-repeatable request is not retried after a broken connection")
{
    scripted_upstream first([](served_connection& connection)
                            { connection.read_request(); });
    scripted_upstream second([](served_connection& connection)
                             { connection.read_request(); });
    running_instance instance(make_catalog(),
                              {make_upstream_record("u1", first.address()),
                               make_upstream_record("u2", second.address())});
    std::string const answer =
        instance.exchange(make_request("POST", "/once/x", "", "b"));
    CHECK(starts_with(answer, "HTTP/1.1 502 "));
    CHECK(first.connections() + second.connections() == 1);
}

TEST_CASE("a rejected request is retried elsewhere, also if not repeatable")
{
    auto const script = [](served_connection& connection)
    {
        std::string const request = connection.read_request();
        bool const rejects = request.find("Upstream: u1") != std::string::npos;
        connection.write(rejects ? make_answer("503 Full", "Not-Run: 1\r\n", "")
                                 : make_answer("200 OK", "Seal: s\r\n", "ok"));
    };
    scripted_upstream first(script);
    scripted_upstream second(script);
    running_instance instance(make_catalog(),
                              {make_upstream_record("u1", first.address()),
                               make_upstream_record("u2", second.address())});
    for (int i = 0; i < 6; ++i)
    {
        CHECK(starts_with(
            instance.exchange(make_request("POST", "/once/x"), 300ms),
            "HTTP/1.1 200 "));
    }
}

TEST_CASE("a repeatable request is retried after an incomplete answer")
{
    std::atomic<int> requests = 0;
    auto const script = [&requests](served_connection& connection)
    {
        connection.read_request();
        bool const breaks = requests++ == 0;
        connection.write(breaks
                             ? "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n"
                               "Content-Length: 100\r\n\r\npart"
                             : make_answer("200 OK", "Seal: s\r\n", "whole"));
    };
    scripted_upstream first(script);
    scripted_upstream second(script);
    running_instance instance(make_catalog(),
                              {make_upstream_record("u1", first.address()),
                               make_upstream_record("u2", second.address())});
    std::string const answer =
        instance.exchange(make_request("GET", "/again/x"));
    CHECK(starts_with(answer, "HTTP/1.1 200 "));
    CHECK(answer.find("whole") != std::string::npos);
    CHECK(answer.find("part") == std::string::npos);
}

TEST_CASE("an answer without a seal or for another request is not delivered")
{
    scripted_upstream upstream(
        [](served_connection& connection)
        {
            std::string const request = connection.read_request();
            connection.write(
                request.find("/once/late") != std::string::npos
                    ? "HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\n"
                      "Content-Length: 3\r\n\r\nbad" +
                          make_answer("200 OK", "Seal: s\r\n", "good")
                    : make_answer("200 OK", "", "forged"));
        });
    running_instance instance(make_catalog(),
                              {make_upstream_record("u1", upstream.address())});
    std::string const late =
        instance.exchange(make_request("POST", "/once/late"));
    CHECK(late.find("good") != std::string::npos);
    CHECK(late.find("bad") == std::string::npos);
    std::string const forged =
        instance.exchange(make_request("POST", "/once/x"));
    CHECK(starts_with(forged, "HTTP/1.1 502 "));
}

TEST_CASE("a broken stream is resumed at another upstream after its last event")
{
    std::atomic<int> requests = 0;
    std::string resumed;
    auto const script = [&](served_connection& connection)
    {
        std::string const request = connection.read_request();
        std::string const head = "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s" +
                                 std::to_string(requests) +
                                 "\r\nContent-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";
        if (requests++ == 0)
        {
            connection.write(head + make_chunk("id: 1\ndata: a\n\nid: 2\nda"));
            return;
        }
        resumed = request;
        connection.write(head + make_chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    };
    scripted_upstream first(script);
    scripted_upstream second(script);
    running_instance instance(make_catalog(),
                              {make_upstream_record("u1", first.address()),
                               make_upstream_record("u2", second.address())});
    std::string const answer =
        instance.exchange(make_request("POST", "/stream/x"));
    CHECK(answer.find("Seal: s0") != std::string::npos);
    CHECK(answer.find("Seal: s1") == std::string::npos);
    CHECK(answer.find("data: a\n\n") != std::string::npos);
    CHECK(answer.find("id: 2\nda\r\n") == std::string::npos);
    CHECK(answer.find("data: b\n\n") != std::string::npos);
    CHECK(answer.find("0\r\n\r\n") != std::string::npos);
    CHECK(resumed.find("Last-Event-Id: 1") != std::string::npos);
}

TEST_CASE("the upstream connection closes within 500 ms after the caller left")
{
    std::atomic<bool> closed = false;
    scripted_upstream upstream(
        [&closed](served_connection& connection)
        {
            connection.read_request();
            closed = connection.wait_for_close(1500ms);
        });
    running_instance instance(make_catalog(),
                              {make_upstream_record("u1", upstream.address())});
    instance.send_and_close(make_request("GET", "/again/x"), 100ms);
    for (int i = 0; i < 50 && !closed; ++i)
    {
        std::this_thread::sleep_for(10ms);
    }
    CHECK(closed);
}

TEST_CASE("a request without an upstream is refused at once with a Retry-After")
{
    running_instance instance(make_catalog(), {});
    auto const began = std::chrono::steady_clock::now();
    std::string const answer = instance.exchange(
        make_request("GET", "/again/x", "Connection: close\r\n"));
    auto const elapsed = std::chrono::steady_clock::now() - began;
    CHECK(starts_with(answer, "HTTP/1.1 503 Service Unavailable\r\n"));
    CHECK(answer.find("Retry-After: 0.") != std::string::npos);
    CHECK(elapsed < 300ms);
}

TEST_CASE("keyed requests fail closed without the store, open routes work")
{
    scripted_upstream upstream(
        [](served_connection& connection)
        {
            while (!connection.read_request().empty())
            {
                connection.write(make_answer("200 OK", "Seal: s\r\n", "ok"));
            }
        });
    running_instance instance(make_catalog(),
                              {make_upstream_record("u1", upstream.address())});
    auto const status =
        [&instance](std::string const& path, std::string const& fields)
    {
        return instance
            .exchange(
                make_request("GET", path, fields + "Connection: close\r\n"))
            .substr(0, 12);
    };
    CHECK(status("/keyed/x", "Key: k1\r\n") == "HTTP/1.1 200");
    CHECK(status("/keyed/x", "Key: k2\r\n") == "HTTP/1.1 401");
    CHECK(status("/nowhere/", "") == "HTTP/1.1 404");
    instance.fail_store();
    std::this_thread::sleep_for(4600ms);
    CHECK(status("/keyed/x", "Key: k1\r\n") == "HTTP/1.1 503");
    CHECK(status("/nowhere/", "") == "HTTP/1.1 503");
    CHECK(status("/again/x", "") == "HTTP/1.1 200");
}

TEST_CASE("a late duplicate answer on a reused connection is not delivered")
{
    // Guards against a caller getting the answer to another request: an
    // upstream sends a second copy of an answer, with and without an id, after
    // the next request was sent on the reused connection.
    for (bool const has_id : {true, false})
    {
        scripted_upstream upstream(
            [has_id](served_connection& connection)
            {
                connection.read_request();
                connection.write(make_answer("200 OK", "Seal: s\r\n", "first"));
                connection.read_request();
                std::string copy =
                    make_answer("200 OK", "Seal: s\r\n", "first");
                if (!has_id)
                {
                    copy.erase(copy.find("Id: a1\r\n"), 8);
                }
                std::string own =
                    make_answer("200 OK", "Seal: s\r\n", "second");
                own.replace(own.find("Id: a1"), 6, "Id: b2");
                connection.write(copy + own);
                connection.read_request();
            });
        running_instance instance(
            make_catalog(), {make_upstream_record("u1", upstream.address())});
        CHECK(starts_with(
            instance.exchange(make_request("GET", "/again/x"), 200ms),
            "HTTP/1.1 200"));
        std::string next = make_request("GET", "/again/y");
        next.replace(next.find("Id: a1"), 6, "Id: b2");
        std::string const answer = instance.exchange(next, 300ms);
        INFO(answer);
        CHECK(answer.find("second") != std::string::npos);
        CHECK(answer.find("first") == std::string::npos);
        CHECK(upstream.connections() == 1);
    }
}

TEST_CASE("an upstream that announces its shutdown gets no further request")
{
    scripted_upstream leaving(
        [](served_connection& connection)
        {
            while (!connection.read_request().empty())
            {
                connection.write(
                    make_answer("200 OK", "Seal: s\r\nLeaving: 1\r\n", "old"));
            }
        });
    running_instance instance(make_catalog(),
                              {make_upstream_record("u1", leaving.address())});
    CHECK(starts_with(instance.exchange(make_request("GET", "/again/x"), 200ms),
                      "HTTP/1.1 200"));
    // It is the only upstream: a refusal is better than a request to one that
    // shuts down.
    CHECK(starts_with(instance.exchange(make_request("GET", "/again/y"), 200ms),
                      "HTTP/1.1 503"));
    CHECK(leaving.connections() == 1);
}

TEST_CASE("an upstream that sent a Retry-After gets no request in that time")
{
    scripted_upstream full(
        [](served_connection& connection)
        {
            while (!connection.read_request().empty())
            {
                connection.write(make_answer(
                    "503 Busy", "Not-Run: 1\r\nRetry-After: 2\r\n", ""));
            }
        });
    running_instance instance(make_catalog(),
                              {make_upstream_record("u1", full.address())});
    auto const began = std::chrono::steady_clock::now();
    for (int i = 0; i < 3; ++i)
    {
        CHECK(starts_with(
            instance.exchange(make_request("GET", "/again/x"), 200ms),
            "HTTP/1.1 503"));
    }
    REQUIRE(std::chrono::steady_clock::now() - began < 1900ms);
    CHECK(full.connections() == 1);
}

TEST_CASE("endless incomplete answers use bounded memory and time")
{
    // Endless bytes in a header, in a body and in an event of a stream.
    for (std::string const begin :
         {"HTTP/1.1 200 OK\r\nX: ",
          "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n\r\n",
          "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n\r\ndata: "})
    {
        std::atomic<std::size_t> written = 0;
        scripted_upstream endless(
            [&](served_connection& connection)
            {
                connection.read_request();
                connection.write(begin);
                std::string const block(65536, 'x');
                while (written < (64U << 20U) &&
                       !connection.wait_for_close(0ms))
                {
                    connection.write(block);
                    written += block.size();
                }
            });
        running_instance instance(
            make_catalog(), {make_upstream_record("u1", endless.address())});
        std::string const path =
            begin.ends_with("data: ") ? "/stream/x" : "/once/x";
        std::string const answer =
            instance.exchange(make_request("GET", path), 1500ms);
        INFO(begin << " -> " << answer.substr(0, 200));
        CHECK((answer.empty() || starts_with(answer, "HTTP/1.1 502")));
        CHECK(written < (32U << 20U));
    }
}

TEST_CASE("single bytes that complete no event do not count as stream progress")
{
    // Guards against a stalled stream that occupies its caller until the
    // deadline: single bytes that complete no event must not count as progress.
    // The other upstream serves the request.
    scripted_upstream stalled(
        [](served_connection& connection)
        {
            connection.read_request();
            connection.write("HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n\r\n");
            for (int i = 0; i < 40 && !connection.wait_for_close(100ms); ++i)
            {
                connection.write("d");
            }
        });
    scripted_upstream sound(
        [](served_connection& connection)
        {
            connection.read_request();
            connection.write("HTTP/1.1 200 OK\r\nId: a1\r\nSeal: s\r\n\r\n");
            for (int i = 1; i <= 3; ++i)
            {
                connection.write("id: " + std::to_string(i) +
                                 "\ndata: sound\n\n");
                connection.wait_for_close(400ms);
            }
        });
    serving::catalog catalog = make_catalog();
    for (serving::route& route : catalog.m_routes)
    {
        route.m_timeout = 6000ms;
        route.m_target_latency = 300ms;
    }
    running_instance instance(catalog,
                              {make_upstream_record("u1", stalled.address()),
                               make_upstream_record("u2", sound.address())});
    for (int i = 0; i < 4; ++i)
    {
        std::string const answer =
            instance.exchange(make_request("GET", "/stream/x"), 2500ms);
        INFO(answer);
        // A slow stream with complete events is not aborted.
        CHECK(answer.find("id: 3\ndata: sound") != std::string::npos);
    }
}

TEST_CASE("a request whose body is received during a shutdown is answered")
{
    // Guards against a planned shutdown that aborts a request whose header was
    // accepted and whose body is still being received.
    scripted_upstream upstream(
        [](served_connection& connection)
        {
            connection.read_request();
            connection.write(make_answer("200 OK", "Seal: s\r\n", "done"));
            connection.wait_for_close(1s);
        });
    running_instance instance(make_catalog(),
                              {make_upstream_record("u1", upstream.address())});
    std::string const request =
        make_request("POST", "/once/x", "", "0123456789");
    std::string const answer = instance.exchange_in_parts(
        request.substr(0, request.size() - 5), [] { std::raise(SIGTERM); },
        3400ms, request.substr(request.size() - 5));
    INFO(answer);
    CHECK(starts_with(answer, "HTTP/1.1 "));
    CHECK((answer.find("done") != std::string::npos ||
           starts_with(answer, "HTTP/1.1 503")));
}
