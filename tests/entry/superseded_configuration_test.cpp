/** @file Tests of an instance that cannot get the newest configuration. */
#include "stand_in.hpp"

#include <catch2/catch.hpp>

using namespace daisylead;
using namespace daisylead::entry_test;
using namespace std::chrono_literals;

namespace
{

/** A peer that tells of a configuration and never sends it. */
class announcing_transport : public peer::transport
{
public:
    explicit announcing_transport(std::uint64_t revision) : m_revision(revision)
    {
    }

    void send(std::string const& /*address*/, peer::message content,
              std::chrono::milliseconds /*timeout*/,
              peer::reply_hook on_reply) override
    {
        if (!std::holds_alternative<serving::fleet_news>(content.m_body))
        {
            on_reply(std::nullopt);
            return;
        }
        serving::fleet_news news;
        news.m_member.m_id = instance_id("entry-2");
        news.m_member.m_address = "peer-2";
        news.m_member.m_started = 1;
        news.m_member.m_zone = zone_id("a");
        news.m_is_relay = true;
        news.m_sends_parts = true;
        news.m_rules.m_revision = m_revision;
        news.m_rules.m_age_ms = 0;
        on_reply(peer::message{instance_id("entry-2"), incarnation(1),
                               std::move(news)});
    }

    void stop() override {}

private:
    std::uint64_t m_revision;
};

/** An instance whose configuration has revision 1 and a route below "/again/".
 */
class lone_instance
{
public:
    explicit lone_instance(std::uint64_t announced)
    {
        peer_access peers;
        peers.m_address = "peer-1";
        peers.m_seeds = {"peer-2"};
        peers.m_make_transport =
            [announced](std::string const&, peer::message_hook const&)
        {
            return std::make_unique<announcing_transport>(announced);
        };
        m_instance = std::make_unique<running_instance>(
            make_open_catalog(800ms), m_upstream.records(), std::move(peers),
            1);
        std::this_thread::sleep_for(500ms);
    }

    /** @return the answer to a request for the path. */
    std::string get(std::string const& path)
    {
        return m_instance->exchange("GET " + path +
                                    " HTTP/1.1\r\nHost: h\r\nId: a1\r\n"
                                    "Connection: close\r\n\r\n");
    }

    /** The store gives no answer for longer than a change may take. */
    void lose_store()
    {
        m_instance->fail_store();
        std::this_thread::sleep_for(
            config::entry_settings().m_configuration_apply + 500ms);
    }

    bool is_ready() const
    {
        return m_instance->state().find("\"ready\": true") != std::string::npos;
    }

private:
    sound_upstream m_upstream;
    std::unique_ptr<running_instance> m_instance;
};

} // namespace

TEST_CASE("a route that a newer configuration may have is not denied")
{
    // Guards against a final answer from a configuration known to be outdated.
    lone_instance outdated(9);
    CHECK(outdated.get("/new/x").starts_with("HTTP/1.1 503"));
    CHECK(outdated.get("/again/x").starts_with("HTTP/1.1 200"));
    lone_instance newest(1);
    CHECK(newest.get("/new/x").starts_with("HTTP/1.1 404"));
}

TEST_CASE(
    "requests are not handled by a configuration that was replaced longer "
    "ago than a change may take")
{
    lone_instance outdated(9);
    outdated.lose_store();
    std::string const answer = outdated.get("/again/x");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Retry-After") != std::string::npos);
    CHECK_FALSE(outdated.is_ready());
}

TEST_CASE("the configuration is used on while nobody knows a newer one")
{
    // Guards against refusals in an outage of the store.
    lone_instance newest(1);
    newest.lose_store();
    CHECK(newest.get("/again/x").starts_with("HTTP/1.1 200"));
    CHECK(newest.is_ready());
}
