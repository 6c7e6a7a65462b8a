/** @file Tests of the validation and forwarding of streamed answers. */
#include <daisylead/request/stream_relay_base.hpp>

#include <catch2/catch.hpp>

using daisylead::request::stream_relay;

namespace
{

std::string chunk(int position, std::string const& text)
{
    return R"(data: {"choices":[{"text":")" + text + R"("}],"position":)" +
           std::to_string(position) + "}\n\n";
}

} // namespace

TEST_CASE("a chunk that is repeated after a resume is forwarded once")
{
    stream_relay relay("r");
    CHECK(relay.feed(chunk(1, "a")).size() == 1);
    CHECK(relay.feed(chunk(2, "b")).size() == 1);
    relay.begin_attempt();
    CHECK(relay.feed(chunk(2, "b")).empty());
    CHECK(relay.feed(chunk(3, "c")).size() == 1);
    CHECK(relay.text() == "abc");
}

TEST_CASE("a missing chunk ends the attempt as broken")
{
    stream_relay relay("r");
    relay.feed(chunk(1, "a"));
    CHECK(relay.feed(chunk(3, "c")).empty());
    CHECK(relay.is_broken());
}

TEST_CASE("an event that is split over several reads is forwarded whole")
{
    stream_relay relay("r");
    std::string const event = chunk(1, "a");
    CHECK(relay.feed(event.substr(0, 10)).empty());
    CHECK(relay.feed(event.substr(10)).size() == 1);
    CHECK_FALSE(relay.is_done());
    CHECK(relay.feed("data: [DONE]\n\n").size() == 1);
    CHECK(relay.is_done());
}

TEST_CASE("line endings, comments and split data lines do not alter the answer")
{
    stream_relay relay("r");
    std::string const bytes = ": keep-alive\r\n\r\n"
                              "id: 7\r\ndata: {\"choices\":[{\"text\":\r\n"
                              "data:\"a\"}],\"position\":1}\r\n\r\n\n\n"
                              "data: [DONE]\r\n\r\n";
    std::vector<std::string> output;
    for (char const byte : bytes)
    {
        for (std::string& event : relay.feed(std::string_view(&byte, 1)))
        {
            output.push_back(std::move(event));
        }
    }
    CHECK(output == stream_relay("r").feed(bytes));
    REQUIRE(output.size() == 2);
    CHECK(output[0] ==
          "data: {\"choices\":[{\"text\":\"a\"}],\"id\":\"r\"}\n\n");
    CHECK(output[1] == "data: [DONE]\n\n");
}

TEST_CASE("a chunk of several tokens is neither a gap nor a repeat")
{
    stream_relay relay("r");
    std::string const two = R"(data: {"choices":[{"text":"ab"}],"count":2,)";
    CHECK(relay.feed(two + "\"position\":2}\n\n").size() == 1);
    CHECK(relay.feed(chunk(3, "c")).size() == 1);
    CHECK(relay.feed(two + "\"position\":2}\n\n").empty());
    CHECK_FALSE(relay.is_broken());
    SECTION("a chunk that overlaps forwarded tokens is rejected")
    {
        CHECK(relay.feed(two + "\"position\":4}\n\n").empty());
        CHECK(relay.fault() == "a chunk repeats a part of the answer");
    }
    SECTION("a gap before the chunk is detected")
    {
        CHECK(relay.feed(two + "\"position\":6}\n\n").empty());
        CHECK(relay.fault() == "a chunk is missing");
    }
    CHECK(relay.position() == daisylead::token_count(3));
}

TEST_CASE("the size of an incomplete event is limited")
{
    stream_relay relay("r");
    std::string const piece(64U << 10U, 'x');
    for (int i = 0; i < 10 && !relay.is_broken(); ++i)
    {
        relay.feed("data: " + piece + "\n");
    }
    CHECK(relay.fault() == "an event is too large");
    relay.begin_attempt();
    CHECK(relay.feed(chunk(1, "a")).size() == 1);
}

TEST_CASE("an upstream error is never forwarded as an answer")
{
    auto const fault = GENERATE(
        "event: error\ndata: {\"error\":{\"code\":\"lost\"}}\n\n",
        "data: {\"error\":{\"code\":\"lost\"}}\n\n", "data: nonsense\n\n",
        "data: {\"position\":\"x\"}\n\n", "data: {\"position\":0}\n\n",
        "data: {\"position\":1,\"count\":2}\n\n",
        "data: {\"choices\":[{\"text\":\"a\"}]}\n\n");
    stream_relay relay("r");
    CHECK(relay.feed(std::string(fault) + "data: [DONE]\n\n").empty());
    CHECK(relay.is_broken());
    CHECK_FALSE(relay.is_done());
}

TEST_CASE("usage is forwarded once, and nothing after the end marker")
{
    std::string const opening =
        "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n";
    std::string const finish =
        "data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n";
    std::string const usage = "data: {\"choices\":[],\"usage\":{}}\n\n";
    stream_relay relay("r");
    CHECK(relay.feed(opening + chunk(1, "a") + finish + usage).size() == 4);
    relay.begin_attempt();
    CHECK(relay.feed(opening + finish + usage).empty());
    CHECK(relay.feed("data: [DONE]\n\n" + usage + chunk(2, "b")).size() == 1);
    CHECK(relay.feed(chunk(2, "b")).empty());
}
