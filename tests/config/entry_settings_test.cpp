/** @file Tests of the settings of an entry instance. */
#include <daisylead/base/error_type.hpp>
#include <daisylead/config/parse_func.hpp>

#include <catch2/catch.hpp>

using namespace daisylead;

namespace
{

std::string const valid = R"(
[instance]
id = "entry-1"
zone = "a"
region = "r"
[listen]
caller = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peer = "127.0.0.1:3"
metrics = "127.0.0.1:4"
[store]
address = "127.0.0.1:5"
[peers]
seeds = ["127.0.0.1:6"]
[bounds]
key_validity_ms = 5000
retry_ratio = "0.25"
retry_window_s = 10
)";

} // namespace

TEST_CASE("settings of an entry instance are read with their units")
{
    auto const settings = config::parse_entry_settings(valid, "s.toml");
    CHECK(settings.m_instance == instance_id("entry-1"));
    CHECK(settings.m_seeds == std::vector<std::string>{"127.0.0.1:6"});
    CHECK(settings.m_key_validity == std::chrono::seconds(5));
    CHECK(settings.m_retry_ratio == 0.25);
    CHECK(settings.m_retry_window == std::chrono::seconds(10));
}

TEST_CASE("all problems of entry settings are reported together")
{
    std::string text = valid;
    text.replace(text.find("\"0.25\""), 6, "\"much\"");
    text += "[strange]\n";
    text.replace(text.find("127.0.0.1:6"), 11, "nowhere");
    try
    {
        config::parse_entry_settings(text, "s.toml");
        FAIL("the settings were accepted");
    }
    catch (findings_error const& failure)
    {
        CHECK(failure.findings().size() == 3);
    }
}
