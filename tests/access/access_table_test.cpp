/** @file Tests of caller authorisation. */
#include <daisylead/access/access_table_base.hpp>
#include <daisylead/config/parse_func.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace daisylead;
using access::access_table;
using access::digest_key;

namespace
{

std::string key_block(std::string const& key, std::string const& owner)
{
    return "[[key]]\ndigest = \"" + access::to_string(digest_key(key)) +
           "\"\norganisation = \"" + owner + "\"\nlabel = \"" + key + "\"\n";
}

std::string const inventory = R"(
[[organisation]]
id = "a"
rate = 1
burst = 1
models = ["m", "only-b", "for-all"]
routes = ["stock"]
[[organisation]]
id = "b"
rate = 1
burst = 1
models = ["only-b"]
[[model]]
id = "m"
weights_version = "1"
[[adapter]]
id = "only-b"
model = "m"
weights_version = "1"
organisations = ["b"]
[[adapter]]
id = "for-all"
model = "m"
weights_version = "1"
[[upstream]]
id = "s"
kind = "service"
address = "127.0.0.1:1"
zone = "z"
[[route]]
id = "stock"
path = "/stock"
upstreams = ["s"]
[[route]]
id = "stock-admin"
path = "/stock/admin/"
upstreams = ["s"]
[[route]]
id = "hours"
path = "/hours"
upstreams = ["s"]
open = true
)";

access_table make_table(std::string const& keys)
{
    return access_table(config::parse_configuration(inventory + keys, "doc"));
}

bool owned_by(access_table const& table, std::string const& key,
              std::string const& owner)
{
    organisation_id const* found = table.find_organisation(digest_key(key));
    return found != nullptr && found->value() == owner;
}

/** @return the identifier of the route, or "-". */
std::string route_of(access_table const& table, std::string_view path)
{
    route_id const* found = table.find_route(path);
    return found == nullptr ? "-" : found->value();
}

organisation_id const a("a");
organisation_id const b("b");

} // namespace

// Guards against a key that is accepted for another organisation or after its
// removal (G4, G8).
TEST_CASE("a key belongs to its organisation only")
{
    access_table const table = make_table(key_block("one", "a"));
    CHECK(owned_by(table, "one", "a"));
    CHECK(table.find_organisation(digest_key("two")) == nullptr);
    CHECK(access_table().find_organisation(digest_key("one")) == nullptr);
}

// Guards against access to a model or adapter without a grant (G8).
TEST_CASE("a model needs a grant, a reserved adapter also its organisation")
{
    access_table const table = make_table("");
    CHECK(table.may_use_model(a, model_id("m")));
    CHECK(table.may_use_model(a, model_id("for-all")));
    CHECK_FALSE(table.may_use_model(a, model_id("only-b")));
    CHECK(table.may_use_model(b, model_id("only-b")));
    CHECK_FALSE(table.may_use_model(b, model_id("m")));
    CHECK_FALSE(table.may_use_model(b, model_id("for-all")));
    CHECK_FALSE(table.may_use_model(organisation_id("c"), model_id("m")));
    CHECK_FALSE(table.may_use_model(a, model_id("none")));
}

// Guards against a route that is accessible without a grant (G8).
TEST_CASE("a route needs a grant unless it is open")
{
    access_table const table = make_table("");
    CHECK(table.may_use_route(a, route_id("stock")));
    CHECK_FALSE(table.may_use_route(b, route_id("stock")));
    CHECK_FALSE(table.may_use_route(a, route_id("stock-admin")));
    CHECK(table.may_use_route(b, route_id("hours")));
    CHECK(table.is_open(route_id("hours")));
    CHECK_FALSE(table.is_open(route_id("stock")));
    CHECK_FALSE(table.is_open(route_id("none")));
    CHECK_FALSE(table.may_use_route(a, route_id("none")));
}

// Guards against a request that is checked against the access rules of another
// route.
TEST_CASE("the longest route that matches whole path segments is found")
{
    access_table const table = make_table("");
    CHECK(route_of(table, "/stock") == "stock");
    CHECK(route_of(table, "/stock/") == "stock");
    CHECK(route_of(table, "/stock/1/2") == "stock");
    CHECK(route_of(table, "/stock/admin") == "stock-admin");
    CHECK(route_of(table, "/stock/admin/x") == "stock-admin");
    CHECK(route_of(table, "/stock/administer") == "stock");
    CHECK(route_of(table, "/stocks") == "-");
    CHECK(route_of(table, "/") == "-");
    CHECK(route_of(table, "") == "-");
}

// Guards against requests that continue after their key was revoked or moved to
// another organisation (G4).
TEST_CASE("removed keys and keys of another organisation count as revoked")
{
    access_table const before =
        make_table(key_block("kept", "a") + key_block("gone", "a") +
                   key_block("moved", "a"));
    access_table const after =
        make_table(key_block("moved", "b") + key_block("new", "a") +
                   key_block("kept", "a"));
    auto revoked = before.find_revoked_keys(after);
    REQUIRE(revoked.size() == 2);
    auto const listed = [&](std::string const& key)
    {
        return revoked[0] == digest_key(key) || revoked[1] == digest_key(key);
    };
    CHECK(listed("gone"));
    CHECK(listed("moved"));
}

// Guards against a hash lookup that differs from a linear search over all keys.
TEST_CASE("the key lookup agrees with a linear search")
{
    CHECK(rc::check(
        "any set of keys",
        []
        {
            auto const bytes = *rc::gen::container<std::vector<std::uint8_t>>(
                rc::gen::arbitrary<std::uint8_t>());
            config::configuration item;
            for (std::size_t i = 0; i < bytes.size(); ++i)
            {
                // Equal first bytes put all digests into one hash bucket.
                access::key_digest digest;
                digest.m_bytes[31] = bytes[i];
                item.m_keys.push_back(
                    {digest, organisation_id(std::to_string(bytes[i])), ""});
            }
            access_table const table(item);
            access::key_digest wanted;
            wanted.m_bytes[31] = *rc::gen::arbitrary<std::uint8_t>();
            bool const expected = std::find(bytes.begin(), bytes.end(),
                                            wanted.m_bytes[31]) != bytes.end();
            RC_ASSERT((table.find_organisation(wanted) != nullptr) == expected);
        }));
}
