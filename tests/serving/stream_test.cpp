/** @file Tests of splitting streams into events, and of the catalog index. */
#include <daisylead/serving/catalog_index_base.hpp>
#include <daisylead/serving/event_splitter_base.hpp>

#include <catch2/catch.hpp>

using namespace daisylead;
using namespace daisylead::serving;

TEST_CASE("an incomplete event never reaches the caller")
{
    event_splitter cutter;
    CHECK(cutter.take("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(cutter.last_id() == "1");
    CHECK(cutter.is_inside_event());
    cutter.drop_partial();
    CHECK(cutter.take("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(cutter.last_id() == "2");
}

TEST_CASE("events received byte by byte are output complete")
{
    event_splitter cutter;
    std::string const stream = "id:7\r\ndata: x\r\n\r\nid: 8\ndata: y\n\n";
    std::string out;
    for (char const c : stream)
    {
        out += cutter.take(std::string(1, c));
    }
    CHECK(out == stream);
    CHECK(cutter.last_id() == "8");
    CHECK(cutter.partial().empty());
}

TEST_CASE("events end with any kind of blank line, however the bytes come")
{
    // Guards against a line end that is split between two reads.
    std::string const stream = "id: 1\rdata: a\r\rid: 2\r\ndata: b\r\n\r\n"
                               ": c\n\n\nid: 3\ndata: d\n\r\nid: 4\r\n\r";
    for (std::size_t size = 1; size <= stream.size(); ++size)
    {
        CAPTURE(size);
        event_splitter cutter;
        std::string out;
        for (std::size_t at = 0; at < stream.size(); at += size)
        {
            out += cutter.take(std::string_view(stream).substr(at, size));
        }
        CHECK(out == stream);
        CHECK(cutter.last_id() == "4");
        CHECK_FALSE(cutter.is_inside_event());
    }
}

TEST_CASE("the first event of a resumed stream has no line feed of the last")
{
    // Guards against a line feed that is taken for one that was due.
    event_splitter cutter;
    CHECK(cutter.take("id: 1\r\r") == "id: 1\r\r");
    cutter.drop_partial();
    CHECK(cutter.take("id: 2\n\n") == "id: 2\n\n");
    CHECK(cutter.last_id() == "2");
}

namespace
{

route make_route(char const* name, char const* host, char const* prefix)
{
    route item;
    item.m_id = route_id(name);
    item.m_host = host;
    item.m_prefix = prefix;
    item.m_split = {{service_id("s"), 1}};
    return item;
}

} // namespace

TEST_CASE("the route with the longest prefix of the host matches")
{
    catalog content;
    content.m_routes = {make_route("short", "a.example", "/x/"),
                        make_route("long", "a.example", "/x/y/"),
                        make_route("other", "b.example", "/x/y/z/")};
    catalog_index const index(std::move(content));
    CHECK(index.find_route("A.example:80", "/x/y/z/1")->m_id ==
          route_id("long"));
    CHECK(index.find_route("a.example", "/x/1")->m_id == route_id("short"));
    CHECK(index.find_route("a.example", "/x") == nullptr);
    CHECK(index.find_route("c.example", "/x/1") == nullptr);
}

TEST_CASE("a key that is not in the configuration has no owner")
{
    catalog content;
    organisation owner;
    owner.m_id = organisation_id("museum");
    owner.m_keys = {"k1"};
    content.m_organisations = {owner};
    catalog_index const index(std::move(content));
    CHECK(index.find_owner("k1")->m_id == organisation_id("museum"));
    CHECK(index.find_owner("k2") == nullptr);
    CHECK(index.find_owner("") == nullptr);
}
