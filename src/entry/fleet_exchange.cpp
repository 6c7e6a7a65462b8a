/** @file Exchange of news between the entry instances. */
#include "fleet_exchange.hpp"

#include "keep_running_func.hpp"

#include <daisylead/base/milliseconds_func.hpp>
#include <daisylead/telemetry/log_func.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylead::entry
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;
using serving::peer_relation;
using telemetry::severity;

/** Timeout for a reply of a peer: several round trips, and short against the
 *  time in which a configuration must come into force. */
constexpr std::chrono::milliseconds reply_timeout = 500ms;

/** Interval of calls to the seeds while no peer is known. */
constexpr duration seed_contact_interval = 200ms;

/** Minimum utilisation of an upstream, as a part of its slots, at which its
 *  load is sent to instances that report to a relay; less load does not
 *  change their choice. */
constexpr double min_reported_load = 0.25;

/** Of a message that requests no documents, see asked_parts(). */
constexpr char const* asked_nothing = "nothing";

/** @return the documents that a message requests, for logs and metrics. */
std::string asked_parts(serving::fleet_news const& news)
{
    return news.m_wants_rules       ? "configuration"
           : news.m_wants_upstreams ? "upstreams"
                                    : asked_nothing;
}

serving::document_state make_document_state(std::uint64_t revision,
                                            std::uint64_t digest,
                                            std::optional<duration> age)
{
    serving::document_state state;
    state.m_revision = revision;
    state.m_digest = digest;
    if (age)
    {
        // Rounded up: data must never look newer than it is.
        state.m_age_ms =
            std::chrono::ceil<std::chrono::milliseconds>(*age).count();
    }
    return state;
}

/** @param streams origins of the streams in @p items */
void add_items(serving::fleet_news& news, serving::news_outbox items,
               serving::stream_registry& streams)
{
    time_point const now = boot_time();
    for (serving::stream_digest const stream : items.m_streams)
    {
        if (auto origin = streams.find(stream, now))
        {
            news.m_begun_streams.push_back({stream, std::move(*origin)});
        }
    }
    news.m_suspects = std::move(items.m_suspects);
    news.m_crashes = std::move(items.m_crashes);
    news.m_answered_parts = std::move(items.m_answered_parts);
    news.m_saved = std::move(items.m_saved);
    news.m_leaving_upstreams = std::move(items.m_leaving);
}

} // namespace

fleet_exchange::fleet_exchange(asio::any_io_executor const& executor,
                               fleet_state& state,
                               peer::transport_factory const& make_transport)
    : m_executor(executor), m_state(state), m_started_at(boot_time()),
      m_wake(executor),
      m_transfer(
          executor, state,
          [this](std::string const& address, peer::message_body body,
                 configuration_transfer::reply_hook on_reply)
          { call(address, std::move(body), std::move(on_reply)); },
          [this](serving::document document, time_point read_at,
                 instance_id const& peer)
          { apply_rules(std::move(document), read_at, peer); })
{
    m_state.m_on_urgent_news = [this]
    {
        m_wake.cancel();
    };
    m_state.m_on_configuration = [this]
    {
        // The others are asked for it by few peers, if by any.
        if (m_state.m_roster.is_relay(boot_time()))
        {
            m_transfer.note_in_force();
        }
    };
    m_transport = make_transport(
        self().m_address,
        [this](peer::message message, std::function<void(peer::message)> reply)
        {
            asio::post(
                m_executor,
                [this, message = std::move(message), reply = std::move(reply)]
                {
                    reply({self().m_id, incarnation(self().m_started),
                           answer(message.m_body)});
                });
        });
}

peer::message_body fleet_exchange::answer(peer::message_body const& body)
{
    if (auto const* const news = std::get_if<serving::fleet_news>(&body))
    {
        return news->m_member.m_id.empty()
                   ? peer::message_body(peer::none{})
                   : peer::message_body(handle_news(*news));
    }
    if (auto const* const request =
            std::get_if<serving::document_request>(&body))
    {
        return m_transfer.answer(*request);
    }
    return m_handler ? m_handler(body) : peer::message_body(peer::none{});
}

fleet_exchange::~fleet_exchange()
{
    m_transport->stop();
}

void fleet_exchange::start()
{
    keep_running(m_executor, "news", [this] { return send_loop(); });
}

serving::fleet_news fleet_exchange::make_news(serving::peer_state const* peer)
{
    time_point const now = boot_time();
    // A peer must always get the same kind of total, either of the group of
    // this instance or of all other instances.
    bool const child = peer != nullptr && m_state.m_roster.is_child(*peer, now);
    serving::fleet_news news;
    news.m_member = self();
    // Rounded up: the older of two processes must not look like the younger
    // one.
    news.m_uptime_ms =
        std::chrono::ceil<std::chrono::milliseconds>(now - m_started_at)
            .count();
    news.m_leaving = m_state.m_draining;
    news.m_is_relay = m_state.m_roster.is_relay(now);
    news.m_group = m_state.m_roster.group_size(now);
    news.m_fleet = m_state.m_roster.fleet_size(now);
    news.m_relays_digest = m_state.m_roster.relays_digest(now);
    news.m_cut_services = m_state.cut_services();
    m_state.m_upstream_pool.set_cut_services(news.m_cut_services);
    news.m_sends_parts = true;
    news.m_store_era = m_state.m_store_era;
    news.m_store_era_age_ms = std::chrono::floor<std::chrono::milliseconds>(
                                  now - m_state.m_store_era_since)
                                  .count();
    news.m_rules = make_document_state(m_state.m_rules.m_revision,
                                       m_state.m_rules.m_content_order,
                                       m_state.m_rules_freshness.age(now));
    news.m_upstreams = make_document_state(
        m_state.m_upstreams_revision, m_state.m_upstreams.digest(),
        m_state.m_upstreams_read_at
            ? std::optional(now - *m_state.m_upstreams_read_at)
            : std::nullopt);
    instance_id const to =
        peer == nullptr ? instance_id() : peer->m_member.m_id;
    news.m_use = m_state.to_totals(child ? m_state.m_quotas.use_without(to)
                                         : m_state.m_quotas.own_use());
    if (!news.m_is_relay && !m_state.m_roster.is_confirmed())
    {
        news.m_reported_use =
            m_state.to_totals(m_state.m_quotas.reported_use());
    }
    news.m_load = m_state.m_upstreams.to_news(
        child ? m_state.m_upstream_pool.in_flight_without(to, min_reported_load,
                                                          now)
              : m_state.m_upstream_pool.own_in_flight(now));
    m_state.add_rates(news.m_load, peer, now);
    news.m_knows_blocked_parts = m_state.m_knows_blocked_parts;
    news.m_blocked_digest = m_state.m_part_quarantine.blocked_digest();
    if (peer != nullptr && peer->m_blocked_digest != news.m_blocked_digest)
    {
        news.m_blocked_parts = m_state.m_part_quarantine.blocked_parts();
    }
    m_state.add_kv_stores(news, now);
    news.m_weights_token = m_state.m_weights_token;
    news.m_weights_number = m_state.m_weights_number;
    if (peer != nullptr)
    {
        news.m_weights = m_state.weights_since(peer->m_weights_token,
                                               peer->m_weights_number);
    }
    return news;
}

void fleet_exchange::contact_seeds(time_point now)
{
    bool const has_reached_peer = std::any_of(
        m_state.m_roster.peers().begin(), m_state.m_roster.peers().end(),
        [](auto const& entry)
        { return entry.second.m_last_contact.has_value(); });
    if (has_reached_peer || now < m_next_seed_contact)
    {
        return;
    }
    m_next_seed_contact = now + seed_contact_interval;
    for (std::string const& seed : m_state.m_settings.m_seeds)
    {
        if (seed != self().m_address)
        {
            serving::fleet_news news = make_news(nullptr);
            news.m_wants_members = true;
            send(seed, std::move(news), {});
        }
    }
}

awaitable<void> fleet_exchange::send_loop()
{
    for (;;)
    {
        time_point const now = boot_time();
        m_state.refresh_peers(now);
        contact_seeds(now);
        for (instance_id const& id : m_state.m_roster.take_due(now))
        {
            send_news(id);
        }
        m_wake.expires_after(m_state.m_roster.next_due(now) - now);
        boost::system::error_code ignored;
        co_await m_wake.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void fleet_exchange::send_news(instance_id const& id)
{
    serving::peer_state& peer = *m_state.m_roster.find(id);
    serving::fleet_news news = make_news(&peer);
    news.m_wants_members = !peer.m_knows_members;
    serving::news_outbox items = std::exchange(peer.m_outbox, {});
    add_items(news, std::move(items), m_state.m_streams);
    send(peer.m_member.m_address, std::move(news), id);
}

void fleet_exchange::request_parts(instance_id const& id, wanted_parts wanted)
{
    serving::peer_state* const peer = m_state.m_roster.find(id);
    if (peer == nullptr)
    {
        return;
    }
    if (wanted.m_rules && peer->m_sends_parts)
    {
        wanted.m_rules = false;
        m_transfer.note_newer(peer->m_member, wanted.m_announced_rules);
    }
    if (!wanted.m_members && !wanted.m_rules && !wanted.m_upstreams)
    {
        return;
    }
    serving::fleet_news news = make_news(peer);
    news.m_wants_members = wanted.m_members;
    news.m_wants_rules = wanted.m_rules;
    news.m_wants_upstreams = wanted.m_upstreams;
    send(peer->m_member.m_address, std::move(news), {});
}

void fleet_exchange::send_now(instance_id const& from)
{
    m_state.m_roster.mark_urgent(from, boot_time());
    m_wake.cancel();
}

void fleet_exchange::send(std::string const& address, serving::fleet_news news,
                          instance_id const& to)
{
    time_point const sent_at = boot_time();
    std::string const asked = asked_parts(news);
    auto const reported_use = m_state.from_totals(news.m_use);
    std::vector<serving::stream_digest> streams;
    streams.reserve(news.m_begun_streams.size());
    for (serving::begun_stream const& stream : news.m_begun_streams)
    {
        streams.push_back(stream.m_stream);
    }
    m_transport->send(
        address, {self().m_id, incarnation(self().m_started), std::move(news)},
        reply_timeout,
        [this, address, to, sent_at, asked, reported_use,
         streams = std::move(streams)](std::optional<peer::message> reply)
        {
            asio::post(
                m_executor,
                [this, address, to, sent_at, asked, reported_use, streams,
                 reply = std::move(reply)]
                {
                    if (!reply)
                    {
                        note_call_failed(address, asked, boot_time() - sent_at);
                    }
                    auto const* const news =
                        reply ? std::get_if<serving::fleet_news>(&reply->m_body)
                              : nullptr;
                    serving::peer_state* const peer = m_state.m_roster.find(to);
                    if (peer != nullptr)
                    {
                        peer->m_call_open = false;
                    }
                    if (news != nullptr && !news->m_member.m_id.empty())
                    {
                        on_reply(*news, sent_at);
                        if (reported_use && to == m_state.m_roster.relay() &&
                            m_state.m_roster.is_confirmed())
                        {
                            m_state.m_quotas.note_reported_use(*reported_use);
                        }
                    }
                    else if (peer != nullptr)
                    {
                        bool const was_relay = to == m_state.m_roster.relay();
                        m_state.m_roster.note_failed(to, boot_time());
                        m_state.m_roster.requeue(to, streams);
                        if (was_relay)
                        {
                            telemetry::log(severity::warning, "relay_silent",
                                           {{"peer", to.value()}});
                            m_wake.cancel();
                        }
                    }
                });
        });
}

void fleet_exchange::note_call_failed(std::string const& address,
                                      std::string const& asked,
                                      duration elapsed)
{
    m_state.m_metrics.count("daisylead_peer_calls_failed_total",
                            {{"asked", asked}});
    if (asked != asked_nothing)
    {
        telemetry::log(severity::warning, "document_not_received",
                       {{"address", address},
                        {"asked", asked},
                        {"elapsed_ms", milliseconds_of(elapsed)}});
    }
}

void fleet_exchange::call(
    std::string const& address, peer::message_body body,
    std::function<void(std::optional<peer::message_body>)> on_reply)
{
    m_transport->send(
        address, {self().m_id, incarnation(self().m_started), std::move(body)},
        reply_timeout,
        [this,
         on_reply = std::move(on_reply)](std::optional<peer::message> reply)
        {
            asio::post(m_executor,
                       [on_reply, reply = std::move(reply)] {
                           on_reply(reply ? std::optional(reply->m_body)
                                          : std::nullopt);
                       });
        });
}

void fleet_exchange::apply_usage_and_load(serving::fleet_news const& news,
                                          peer_relation relation,
                                          time_point now)
{
    if (relation == peer_relation::other)
    {
        return;
    }
    bool const in_group = relation == peer_relation::child;
    if (auto const use = m_state.from_totals(news.m_use))
    {
        serving::use_source source;
        source.m_instances =
            relation == peer_relation::parent ? news.m_fleet - 1 : news.m_group;
        source.m_forwards = in_group;
        source.m_covers_fleet = relation == peer_relation::parent;
        if (in_group && !news.m_reported_use.m_totals.empty())
        {
            source.m_reported_use = m_state.from_totals(news.m_reported_use);
        }
        m_state.m_quotas.note_peer(
            news.m_member.m_id,
            {news.m_member.m_started,
             std::chrono::milliseconds(news.m_uptime_ms)},
            *use, now, source);
    }
    if (auto counts = m_state.m_upstreams.from_news(news.m_load))
    {
        m_state.m_upstream_pool.note_peer(news.m_member.m_id,
                                          std::move(*counts), now, in_group);
    }
}

void fleet_exchange::apply_news(serving::fleet_news const& news,
                                peer_relation relation,
                                std::optional<time_point> sent_at)
{
    time_point const now = boot_time();
    for (serving::member const& member : news.m_members)
    {
        m_state.note_member(member, false);
    }
    m_state.apply_store_era(news);
    apply_usage_and_load(news, relation, now);
    m_state.apply_rates(news.m_load, news.m_member.m_id,
                        relation == peer_relation::parent, sent_at);
    for (request::quarantine_update const& suspect : news.m_suspects)
    {
        m_state.m_quarantine.on_peer_update(suspect, now);
    }
    m_state.apply_crash_evidence(news);
    for (std::uint64_t const prefix : news.m_saved)
    {
        m_state.note_saved(prefix);
    }
    serving::news_outbox items;
    items.m_suspects = news.m_suspects;
    items.m_saved = news.m_saved;
    items.m_streams.reserve(news.m_begun_streams.size());
    for (serving::begun_stream const& stream : news.m_begun_streams)
    {
        m_state.m_streams.add(stream, now);
        items.m_streams.push_back(stream.m_stream);
    }
    if (!items.m_suspects.empty() || !items.m_saved.empty() ||
        !items.m_streams.empty())
    {
        m_state.m_roster.enqueue(items, news.m_member.m_id, now);
    }
    for (serving::leaving_upstream const& item : news.m_leaving_upstreams)
    {
        m_state.note_leaving(item, news.m_member.m_id);
    }
    if (m_state.merge_weights(news, now))
    {
        send_now(news.m_member.m_id);
    }
}

void fleet_exchange::apply_rules(serving::document document, time_point read_at,
                                 instance_id const& peer)
{
    std::uint64_t const known = m_state.m_rules_freshness.revision();
    m_state.update_rules(std::move(document), read_at, "peer " + peer.value());
    if (m_state.m_rules_freshness.revision() != known)
    {
        send_now(peer);
    }
}

fleet_exchange::wanted_parts
fleet_exchange::apply_documents(serving::fleet_news const& reply,
                                time_point sent_at)
{
    std::string const source = "peer " + reply.m_member.m_id.value();
    wanted_parts wanted;
    std::uint64_t const known_rules = m_state.m_rules_freshness.revision();
    std::uint64_t const known_upstreams = m_state.m_upstreams.digest();
    if (reply.m_rules.m_age_ms && reply.m_rules.m_revision != 0)
    {
        time_point const read_at =
            sent_at - std::chrono::milliseconds(*reply.m_rules.m_age_ms);
        if (!reply.m_rules_document.empty())
        {
            m_state.update_rules({reply.m_rules.m_revision,
                                  reply.m_rules.m_digest,
                                  reply.m_rules_document},
                                 read_at, source);
        }
        else
        {
            wanted.m_rules = m_state.is_newer_configuration(reply.m_rules);
            wanted.m_announced_rules = reply.m_rules;
            if (reply.m_rules.m_revision == known_rules && !wanted.m_rules)
            {
                m_state.note_rules_unchanged(read_at);
            }
        }
    }
    if (reply.m_upstreams.m_age_ms && reply.m_upstreams.m_revision != 0)
    {
        time_point const read_at =
            sent_at - std::chrono::milliseconds(*reply.m_upstreams.m_age_ms);
        if (reply.m_upstream_changes)
        {
            wanted.m_upstreams = !m_state.apply_upstream_changes(
                *reply.m_upstream_changes, reply.m_upstreams, read_at, source);
        }
        else if (reply.m_upstreams.m_digest == known_upstreams)
        {
            m_state.note_upstreams_unchanged(reply.m_upstreams.m_revision,
                                             read_at);
        }
        else
        {
            wanted.m_upstreams =
                reply.m_upstreams.m_revision > m_state.m_upstreams_revision;
        }
    }
    if (m_state.m_rules_freshness.revision() != known_rules ||
        m_state.m_upstreams.digest() != known_upstreams)
    {
        send_now(reply.m_member.m_id);
    }
    return wanted;
}

void fleet_exchange::on_reply(serving::fleet_news const& reply,
                              time_point sent_at)
{
    if (reply.m_member.m_id == self().m_id)
    {
        return;
    }
    m_state.note_member(reply.m_member, true);
    time_point const now = boot_time();
    serving::peer_state& peer = *m_state.m_roster.find(reply.m_member.m_id);
    if (!peer.m_last_contact || now - *peer.m_last_contact > 2s)
    {
        telemetry::log(severity::info, "peer_reached",
                       {{"peer", reply.m_member.m_id.value()}});
    }
    peer.m_knows_members = true;
    apply_news(reply, m_state.m_roster.note_reply(reply, now), sent_at);
    m_state.apply_named_weights(reply.m_named, sent_at);
    if (reply.m_software)
    {
        m_state.apply_software_news(*reply.m_software, sent_at);
    }
    m_state.apply_kv_stores(reply, sent_at);
    wanted_parts const wanted = apply_documents(reply, sent_at);
    if (wanted.m_rules || wanted.m_upstreams)
    {
        request_parts(reply.m_member.m_id, wanted);
    }
}

serving::fleet_news fleet_exchange::handle_news(serving::fleet_news const& news)
{
    time_point const now = boot_time();
    instance_id const& caller = news.m_member.m_id;
    if (caller == self().m_id)
    {
        return make_news(nullptr);
    }
    m_state.note_member(news.m_member, true);
    peer_relation const relation = m_state.m_roster.note_call(news, now);
    apply_news(news, relation, std::nullopt);
    // The peer has a newer document: request it now instead of at the next
    // interval. Its age is computed from the reply to that request.
    wanted_parts wanted;
    wanted.m_rules =
        news.m_rules.m_age_ms && m_state.is_newer_configuration(news.m_rules);
    wanted.m_announced_rules = news.m_rules;
    wanted.m_upstreams =
        news.m_upstreams.m_age_ms &&
        news.m_upstreams.m_digest != m_state.m_upstreams.digest() &&
        news.m_upstreams.m_revision > m_state.m_upstreams_revision;
    if (wanted.m_rules || wanted.m_upstreams)
    {
        request_parts(caller, wanted);
    }
    serving::peer_state& peer = *m_state.m_roster.find(caller);
    serving::fleet_news reply = make_news(&peer);
    if (relation == peer_relation::child)
    {
        serving::news_outbox items = std::exchange(peer.m_outbox, {});
        add_items(reply, std::move(items), m_state.m_streams);
        peer.m_urgent = false;
    }
    bool const relays_differ = relation == peer_relation::child &&
                               news.m_relays_digest != reply.m_relays_digest;
    if (news.m_wants_members || relays_differ)
    {
        reply.m_members = m_state.m_roster.members_for_peers(now);
    }
    if (news.m_wants_members)
    {
        reply.m_named = m_state.named_weights(now);
        reply.m_software = m_state.software_news(now);
        // A process that has just started has missed the answers in which these
        // upstreams announced that they leave.
        reply.m_leaving_upstreams = m_state.m_upstream_pool.announced_leaving();
    }
    if (news.m_wants_rules)
    {
        auto const& rewrite = m_state.m_adapter.m_rules_for_earlier_builds;
        reply.m_rules_document = rewrite ? rewrite(m_state.m_rules.m_bytes)
                                         : m_state.m_rules.m_bytes;
        m_state.m_metrics.count("daisylead_document_bytes_sent_total", {},
                                reply.m_rules_document.size());
    }
    if (news.m_wants_upstreams && m_state.m_upstreams_read_at)
    {
        reply.m_upstream_changes =
            m_state.m_upstreams.changes_since(news.m_upstreams.m_digest);
    }
    return reply;
}

} // namespace daisylead::entry
