/** @file Tests of configurations that take long on the links of instances. */
#include "narrow_link.hpp"

#include "../entry/stand_in.hpp"

#include <daisylead/peer/make_transport_func.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <random>

using namespace daisylead;
using namespace daisylead::entry_test;
using namespace daisylead::fleet_test;
using namespace std::chrono_literals;

namespace
{

using clock_type = std::chrono::steady_clock;

/** Time after which an acknowledged configuration must be in force. */
constexpr auto apply_time = 3000ms;

/** Interval of changes. */
constexpr auto change_interval = 500ms;

/** Time without news after which a peer counts as silent. */
constexpr double max_news_age_ms = 1300;

/** @return a configuration with an open route for each of its versions. */
serving::catalog make_catalog(int version)
{
    serving::catalog catalog = make_open_catalog(800ms);
    catalog.m_version = config_version(version);
    serving::route const open = catalog.m_routes.front();
    for (int i = 1; i <= version; ++i)
    {
        catalog.m_routes.push_back(open);
        catalog.m_routes.back().m_id = route_id("r" + std::to_string(i));
        catalog.m_routes.back().m_prefix = "/v" + std::to_string(i) + "/";
    }
    return catalog;
}

/** Text that changes a little with each version of a configuration. */
class document_text
{
public:
    explicit document_text(std::size_t size) : m_text(size, '0')
    {
        for (char& digit : m_text)
        {
            digit = random_digit();
        }
    }

    std::string const& text() const
    {
        return m_text;
    }

    void change()
    {
        std::string added(40, '0');
        for (char& digit : added)
        {
            digit = random_digit();
        }
        m_text.insert(m_random() % m_text.size(), added);
    }

private:
    char random_digit()
    {
        return "0123456789abcdef"[m_random() % 16];
    }

    std::mt19937 m_random{11};
    std::string m_text;
};

/** Two instances behind links of the same bandwidth; the store answers the
 *  first one only. */
class narrow_fleet
{
public:
    explicit narrow_fleet(double bits_per_second)
        : m_links{
              std::make_unique<narrow_link>(m_addresses[0], bits_per_second),
              std::make_unique<narrow_link>(m_addresses[1], bits_per_second)}
    {
        for (std::size_t i = 0; i < m_instances.size(); ++i)
        {
            peer_access peers;
            peers.m_address = m_links[i]->address();
            peers.m_seeds = {m_links[0]->address()};
            peers.m_make_transport =
                [address = m_addresses[i]](std::string const& /*announced*/,
                                           peer::message_hook on_message)
            {
                return peer::make_transport(address, std::move(on_message));
            };
            store_state store;
            store.m_answers = i == 0;
            m_instances[i] = std::make_unique<running_instance>(
                make_catalog(1), m_upstream.records(), std::move(peers),
                static_cast<int>(i) + 1, store);
        }
    }

    /** Gives the store the next version of the configuration. */
    void change(document_text& text)
    {
        text.change();
        ++m_version;
        m_instances[0]->set_rules(static_cast<std::uint64_t>(m_version),
                                  make_catalog(m_version), text.text());
    }

    int version() const
    {
        return m_version;
    }

    /** @return whether the second instance serves a route of that version. */
    bool serves(int version)
    {
        std::string const answer = m_instances[1]->exchange(
            "GET /v" + std::to_string(version) +
                "/x HTTP/1.1\r\nHost: h\r\nId: a1\r\nConnection: close\r\n\r\n",
            3s);
        return answer.starts_with("HTTP/1.1 200");
    }

    /** @return since the second instance has heard the first one, ms. */
    double news_age() const
    {
        auto const state = nlohmann::json::parse(m_instances[1]->state());
        for (auto const& peer : state.at("peers"))
        {
            if (peer.at("id") == "entry-1")
            {
                return peer.at("heard_ms_ago").get<double>();
            }
        }
        return -1;
    }

private:
    sound_upstream m_upstream;
    std::array<std::string, 2> m_addresses{free_address(), free_address()};
    std::array<std::unique_ptr<narrow_link>, 2> m_links;
    std::array<std::unique_ptr<running_instance>, 2> m_instances;
    int m_version = 1;
};

struct link_case
{
    std::size_t m_size;       ///< of the configuration, bytes
    double m_bits_per_second; ///< of the links
};

/** @return time that the document takes on the link, uncompressed. */
clock_type::duration link_time(link_case const& item)
{
    return std::chrono::duration_cast<clock_type::duration>(
        std::chrono::duration<double>(static_cast<double>(item.m_size) * 8 /
                                      item.m_bits_per_second));
}

} // namespace

TEST_CASE("a large configuration is in force in time behind a narrow link")
{
    // Guards against a time limit for a whole document.
    auto const item =
        GENERATE(link_case{100'000, 10e6}, link_case{100'000, 1e6},
                 link_case{1'000'000, 10e6});
    INFO(item.m_size << " bytes, " << item.m_bits_per_second << " bit/s");
    narrow_fleet fleet(item.m_bits_per_second);
    document_text text(item.m_size);
    std::map<int, clock_type::time_point> changed_at;
    for (int i = 0; i < 8; ++i)
    {
        fleet.change(text);
        changed_at[fleet.version()] = clock_type::now();
        std::this_thread::sleep_until(changed_at[fleet.version()] +
                                      change_interval);
        CHECK(fleet.news_age() < max_news_age_ms);
        while (!changed_at.empty() &&
               clock_type::now() > changed_at.begin()->second + apply_time)
        {
            CHECK(fleet.serves(changed_at.begin()->first));
            changed_at.erase(changed_at.begin());
        }
    }
    for (auto const& [version, time] : changed_at)
    {
        std::this_thread::sleep_until(time + apply_time);
        CHECK(fleet.serves(version));
    }
}

TEST_CASE("a configuration that the link cannot carry in time gets there while "
          "it changes")
{
    // Guards against transfers that begin again at each change or failure.
    auto const item =
        GENERATE(link_case{1'000'000, 1e6}, link_case{8'000'000, 10e6});
    INFO(item.m_size << " bytes, " << item.m_bits_per_second << " bit/s");
    narrow_fleet fleet(item.m_bits_per_second);
    document_text text(item.m_size);
    auto const began = clock_type::now();
    fleet.change(text);
    int const first = fleet.version();
    bool served = false;
    while (!served && clock_type::now() < began + 2 * link_time(item))
    {
        std::this_thread::sleep_for(change_interval);
        fleet.change(text);
        CHECK(fleet.news_age() < max_news_age_ms);
        served = fleet.serves(first);
    }
    CHECK(served);
}
