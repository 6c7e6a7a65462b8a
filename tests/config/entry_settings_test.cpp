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

TEST_CASE("settings from a template are read in whatever form numbers come")
{
    // Guards against a fleet that ends at its start because one field of the
    // platform arrives as a fraction, as a text, empty or under a new name.
    std::string text = valid;
    text.replace(text.find("5000"), 4, "\"4999.5\"");
    text.replace(text.find("retry_window_s = 10"), 19,
                 "retry_window_s = 9.5\nretry_extra = 27.6\ngrace_s = \"\"\n"
                 "order_handover_ms = true\nnew_field = 1\n"
                 "configuration_apply_ms = \"3000\"");
    text.replace(text.find("\"0.25\""), 6, "0.2");
    text += "[orders]\nload_percent = 400\n[strange]\nkey = 1\n";
    std::vector<std::string> warnings;
    auto const settings =
        config::parse_rendered_entry_settings(text, "s.toml", warnings);
    CHECK(settings.m_key_validity == std::chrono::milliseconds(4999));
    CHECK(settings.m_retry_extra == 27);
    CHECK(settings.m_retry_window == std::chrono::seconds(10));
    CHECK(settings.m_grace == config::entry_settings().m_grace);
    CHECK(settings.m_configuration_apply == std::chrono::milliseconds(3000));
    CHECK(settings.m_order_handover ==
          config::entry_settings().m_order_handover);
    CHECK(settings.m_retry_ratio == 0.2);
    CHECK(settings.m_load_percent == 100);
    CHECK(warnings.size() == 8);
}

TEST_CASE("settings from a template keep their defaults where fields lack")
{
    std::string text = valid.substr(0, valid.find("[peers]"));
    std::vector<std::string> warnings;
    auto const settings =
        config::parse_rendered_entry_settings(text, "s.toml", warnings);
    CHECK(settings.m_seeds.empty());
    CHECK(settings.m_key_validity == config::entry_settings().m_key_validity);
    CHECK(warnings.empty());
    // Without a name no process can serve.
    text.erase(text.find("id ="), 14);
    CHECK_THROWS_AS(
        config::parse_rendered_entry_settings(text, "s.toml", warnings),
        findings_error);
}
