/** @file Connections to upstreams, directly or through a peer. */
#include "upstream_connector.hpp"

#include "keep_running_func.hpp"
#include "pause_func.hpp"

#include <xxhash.h>

#include <algorithm>
#include <random>

namespace daisylead::entry
{

namespace
{

using namespace std::chrono_literals;

/** Timeout of a direct connection: a few round trips and the time to accept,
 *  short against the latency targets. */
constexpr std::chrono::milliseconds direct_timeout = 350ms;

/** Timeout of the test connections to a service that is cut off. */
constexpr std::chrono::milliseconds test_timeout = 300ms;

/** Pause between the tests. */
constexpr std::chrono::milliseconds test_interval = 300ms;

/** A peer that refused a tunnel, or did not answer, is not asked for this
 *  long. */
constexpr duration refused_pause = 500ms;

/** Peers that are asked for a tunnel one after the other. */
constexpr std::size_t max_peers = 3;

std::size_t random_index(std::size_t size)
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(generator);
}

} // namespace

upstream_connector::upstream_connector(asio::any_io_executor const& executor,
                                       fleet_state& state)
    : m_executor(executor), m_state(state), m_pool(executor)
{
}

awaitable<upstream_connector::result>
upstream_connector::connect(serving::upstream_record upstream,
                            std::chrono::milliseconds timeout, bool fresh)
{
    time_point const until = boot_time() + timeout;
    result made;
    if (!m_state.is_cut_from(upstream.m_service))
    {
        http_route const way{upstream.m_address, "", {}};
        auto const direct =
            co_await m_pool.get(way, std::min(timeout, direct_timeout), fresh);
        made.m_connection = direct.m_connection;
        if (direct.m_is_new)
        {
            m_state.note_direct_connect(upstream, made.m_connection != nullptr);
        }
        // One failure is the upstream's; when others fail as well, a peer
        // tells whether it is down.
        if (made.m_connection ||
            !m_state.is_path_suspect(upstream, boot_time()))
        {
            made.m_upstream_down = made.m_connection == nullptr;
            if (direct.m_connect == connect_result::refused)
            {
                m_state.note_process_ended(upstream);
            }
            co_return made;
        }
    }
    if (m_state.is_cut_from(upstream.m_service) &&
        m_tested.insert(upstream.m_service).second)
    {
        run_once(m_executor, "path_test",
                 [this, service = upstream.m_service]
                 { return test_path(service); });
    }
    co_return co_await connect_through_peer(upstream, until, fresh);
}

awaitable<upstream_connector::result>
upstream_connector::connect_through_peer(serving::upstream_record upstream,
                                         time_point until, bool fresh)
{
    result made;
    std::vector<serving::member> const peers = tunnel_peers(upstream);
    for (serving::member const& peer : peers)
    {
        auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
            until - boot_time());
        if (left < 1ms)
        {
            break;
        }
        http_route const way{upstream.m_address, peer.m_tunnel_address,
                             upstream.m_id};
        auto const through =
            co_await m_pool.get(way, std::min(left, direct_timeout), fresh);
        made.m_connection = through.m_connection;
        if (made.m_connection)
        {
            made.m_via = peer.m_id;
            co_return made;
        }
        if (through.m_connect == connect_result::no_upstream)
        {
            made.m_upstream_down = true;
            co_return made;
        }
        m_refused_until[peer.m_id] = boot_time() + refused_pause;
    }
    co_return made;
}

std::vector<serving::member>
upstream_connector::tunnel_peers(serving::upstream_record const& upstream) const
{
    time_point const now = boot_time();
    std::vector<serving::member> peers =
        m_state.m_roster.tunnel_peers(upstream.m_service, now);
    std::erase_if(peers,
                  [&](serving::member const& peer)
                  {
                      auto const refused = m_refused_until.find(peer.m_id);
                      return refused != m_refused_until.end() &&
                             refused->second > now;
                  });
    // The same peer for the same upstream, so that its tunnels can be reused.
    std::string const key =
        m_state.m_settings.m_instance.value() + '\n' + upstream.m_id.value();
    std::uint64_t const seed = XXH64(key.data(), key.size(), 0);
    auto const weight = [seed](serving::member const& peer)
    {
        std::string const& id = peer.m_id.value();
        return XXH64(id.data(), id.size(), seed);
    };
    std::sort(peers.begin(), peers.end(),
              [&](serving::member const& a, serving::member const& b)
              { return weight(a) > weight(b); });
    peers.resize(std::min(peers.size(), max_peers));
    return peers;
}

awaitable<bool> upstream_connector::reaches(serving::upstream_record upstream,
                                            std::chrono::milliseconds timeout)
{
    result const made = co_await connect(upstream, timeout, true);
    if (made.m_connection)
    {
        made.m_connection->abort();
    }
    co_return made.m_connection || !made.m_upstream_down;
}

awaitable<void> upstream_connector::test_path(service_id service)
{
    while (m_state.is_cut_from(service))
    {
        co_await pause(m_executor, test_interval);
        std::vector<serving::upstream_record> const upstreams =
            m_state.m_upstream_pool.usable(service);
        if (upstreams.empty())
        {
            continue;
        }
        serving::upstream_record const& upstream =
            upstreams[random_index(upstreams.size())];
        auto const connection = std::make_shared<http_connection>(
            m_executor, http_route{upstream.m_address, "", {}});
        connect_result const reached =
            co_await connection->connect(test_timeout);
        connection->abort();
        m_state.note_direct_connect(upstream,
                                    reached == connect_result::connected);
    }
    m_tested.erase(service);
}

} // namespace daisylead::entry
