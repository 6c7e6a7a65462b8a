/** @file Tests of messages between this build and an earlier one. */
#include "peer/codec.hpp"

#include <daisylead/base/error_type.hpp>

#include <capnp/message.h>
#include <capnp/pretty-print.h>
#include <capnp/schema-parser.h>
#include <capnp/serialize.h>
#include <catch2/catch.hpp>
#include <kj/filesystem.h>

#include <cstring>
#include <fstream>
#include <iterator>

using namespace daisylead;

namespace
{

/** Messages of commit 5b6cc12, which has the schema earlier.capnp. */
std::vector<std::string> const earlier_messages = {"fleet-news.bin",
                                                   "stream-records.bin"};

std::vector<capnp::word> read_words(std::string const& name)
{
    std::ifstream stream(std::string(TEST_DATA_DIR) + "/" + name,
                         std::ios::binary);
    std::string const bytes{std::istreambuf_iterator<char>(stream), {}};
    std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.data(), bytes.data(), words.size() * sizeof(capnp::word));
    return words;
}

kj::ArrayPtr<capnp::word const> view(std::vector<capnp::word> const& words)
{
    return {words.data(), words.size()};
}

/** @return what a build with the earlier schema reads. */
std::string read_as_earlier(kj::ArrayPtr<capnp::word const> words)
{
    auto const disk = kj::newDiskFilesystem();
    capnp::SchemaParser parser;
    auto const schema =
        parser
            .parseFromDirectory(
                disk->getRoot(),
                disk->getCurrentPath().evalNative(std::string(TEST_DATA_DIR) +
                                                  "/earlier.capnp"),
                nullptr)
            .getNested("Message")
            .asStruct();
    capnp::FlatArrayMessageReader reader(words);
    return capnp::prettyPrint(reader.getRoot<capnp::DynamicStruct>(schema))
        .flatten()
        .cStr();
}

peer::message decode(std::vector<capnp::word> const& words)
{
    capnp::FlatArrayMessageReader reader(view(words));
    return peer::decode(reader.getRoot<peer::wire::Message>());
}

std::string encode_and_read_as_earlier(peer::message const& content)
{
    capnp::MallocMessageBuilder builder;
    peer::encode(content, builder.initRoot<peer::wire::Message>());
    auto const words = capnp::messageToFlatArray(builder);
    return read_as_earlier(words.asPtr());
}

} // namespace

TEST_CASE("this build reads messages of an earlier one")
{
    peer::message const news = decode(read_words("fleet-news.bin"));
    auto const& body = std::get<serving::fleet_news>(news.m_body);
    CHECK(news.m_sender == instance_id("entry-1"));
    CHECK(body.m_member.m_tunnel_address == "127.0.0.1:7615");
    CHECK(body.m_use.m_totals == std::vector<std::int64_t>{5, 6});
    REQUIRE(body.m_software);
    CHECK(body.m_software->m_uses.size() == 1);
    // Fields that it does not send.
    CHECK(body.m_begun_streams.empty());
    CHECK_FALSE(body.m_store_era_age_ms);
    peer::message const records = decode(read_words("stream-records.bin"));
    auto const& origins =
        std::get<peer::stream_records>(records.m_body).m_origins;
    REQUIRE(origins.size() == 1);
    CHECK(origins.front().m_stream == "a1");
    CHECK(origins.front().m_software == software_version("v2"));
    CHECK(origins.front().m_lifetime == std::chrono::milliseconds(4200));
    CHECK(origins.front().m_age == duration::zero());
    CHECK_FALSE(origins.front().m_proven);
}

TEST_CASE("an earlier build reads messages of this one")
{
    // What it knows stays the same beside the fields that it does not know.
    for (std::string const& name : earlier_messages)
    {
        INFO(name);
        std::vector<capnp::word> const words = read_words(name);
        peer::message content = decode(words);
        if (auto* const news =
                std::get_if<serving::fleet_news>(&content.m_body))
        {
            news->m_store_era = 3;
            news->m_sends_parts = true;
            news->m_store_era_age_ms = 5000;
            news->m_begun_streams = {{serving::digest_of_stream("a1"),
                                      {{},
                                       service_id("s"),
                                       upstream_id("u"),
                                       7,
                                       software_version("v2"),
                                       std::chrono::milliseconds(4200),
                                       std::chrono::milliseconds(30),
                                       false}}};
        }
        if (auto* const records =
                std::get_if<peer::stream_records>(&content.m_body))
        {
            records->m_origins.front().m_age = std::chrono::milliseconds(30);
            records->m_origins.front().m_proven = true;
        }
        CHECK(encode_and_read_as_earlier(content) ==
              read_as_earlier(view(words)));
    }
}

TEST_CASE("encoding keeps the streams that have begun")
{
    serving::fleet_news news;
    for (char const* id : {"a1", "a2", "a3"})
    {
        news.m_begun_streams.push_back(
            {serving::digest_of_stream(id),
             {{},
              service_id("s"),
              upstream_id(std::string(id) == "a2" ? "u2" : "u1"),
              7,
              software_version("v2"),
              std::chrono::milliseconds(4200),
              std::chrono::milliseconds(30),
              false}});
    }
    capnp::MallocMessageBuilder builder;
    auto target = builder.initRoot<peer::wire::Message>();
    peer::encode({instance_id("entry-1"), incarnation(42), news}, target);
    CHECK(target.asReader().getFleetNews().getStreamSources().size() == 2);
    peer::message const decoded = peer::decode(target.asReader());
    auto const& streams =
        std::get<serving::fleet_news>(decoded.m_body).m_begun_streams;
    REQUIRE(streams.size() == 3);
    for (std::size_t i = 0; i < streams.size(); ++i)
    {
        CHECK(streams[i].m_stream == news.m_begun_streams[i].m_stream);
        CHECK(streams[i].m_origin == news.m_begun_streams[i].m_origin);
    }
    target.getFleetNews().getBegunStreams()[1].setSource(2);
    CHECK_THROWS_AS(peer::decode(target.asReader()), error);
}
