/** @file Fetches configurations from peers in parts. */
#include "configuration_transfer.hpp"

#include <daisylead/base/milliseconds_func.hpp>
#include <daisylead/telemetry/log_func.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylead::entry
{

namespace
{

using namespace std::chrono_literals;
using telemetry::severity;

/** Delay after a call that failed. */
constexpr std::chrono::milliseconds retry_delay = 100ms;

/** Failures in a row after which a peer is not asked until its next news. */
constexpr int max_failures = 3;

/** Bytes of former configurations and of encodings that are kept for peers. */
constexpr std::size_t max_kept = 32 << 20;

} // namespace

configuration_transfer::configuration_transfer(
    boost::asio::any_io_executor const& executor, fleet_state& state,
    call_hook call, document_hook on_document)
    : m_state(state), m_call(std::move(call)),
      m_on_document(std::move(on_document)), m_retry(executor), m_own(max_kept)
{
}

void configuration_transfer::note_newer(
    serving::member const& peer, serving::document_state const& announced)
{
    m_state.note_newer_configuration(announced);
    source& item = m_sources[peer.m_id];
    item.m_address = peer.m_address;
    item.m_announced = announced;
    request_next();
}

void configuration_transfer::note_in_force()
{
    serving::document const& rules = m_state.m_rules;
    // A restored store may bring another content without a newer revision.
    bool const is_kept = rules.m_revision == m_kept_revision &&
                         rules.m_content_order == m_kept_content_order;
    if (m_state.m_catalog && !is_kept)
    {
        m_kept_revision = rules.m_revision;
        m_kept_content_order = rules.m_content_order;
        m_own.set_newest(std::make_shared<serving::document const>(rules));
    }
}

serving::document_part
configuration_transfer::answer(serving::document_request const& request)
{
    note_in_force();
    time_point const now = boot_time();
    serving::document_part part =
        m_own.next_part(request, m_state.m_rules_freshness.age(now), now);
    m_state.m_metrics.count("daisylead_document_bytes_sent_total", {},
                            part.m_bytes.size());
    return part;
}

void configuration_transfer::request_next()
{
    if (m_waiting)
    {
        return;
    }
    std::erase_if(
        m_sources, [this](auto const& entry)
        { return !m_state.is_newer_configuration(entry.second.m_announced); });
    if (m_assembly.received() > 0 &&
        !m_state.is_newer_configuration(m_assembly.target()))
    {
        m_assembly.clear();
    }
    if (m_sources.empty())
    {
        return;
    }
    auto chosen = m_sources.find(m_current);
    if (chosen == m_sources.end() || chosen->second.m_failures > 0)
    {
        chosen = std::min_element(
            m_sources.begin(), m_sources.end(),
            [](auto const& a, auto const& b)
            { return a.second.m_failures < b.second.m_failures; });
    }
    m_current = chosen->first;
    m_waiting = true;
    time_point const now = boot_time();
    if (m_assembly.received() == 0)
    {
        m_began = now;
    }
    m_call(chosen->second.m_address,
           m_assembly.next_request(m_state.m_rules.m_bytes),
           [this, peer = m_current,
            now](std::optional<peer::message_body> const& reply)
           { on_reply(peer, now, reply); });
}

void configuration_transfer::on_reply(
    instance_id const& peer, time_point sent_at,
    std::optional<peer::message_body> const& reply)
{
    m_waiting = false;
    auto const* const part =
        reply ? std::get_if<serving::document_part>(&*reply) : nullptr;
    if (!reply)
    {
        note_failure(peer, sent_at, "no reply");
        m_waiting = true;
        m_retry.expires_after(retry_delay);
        m_retry.async_wait(
            [this](boost::system::error_code const& failure)
            {
                if (!failure)
                {
                    m_waiting = false;
                    request_next();
                }
            });
        return;
    }
    if (part == nullptr || part->m_encoded_size == 0)
    {
        note_failure(peer, sent_at, "no document");
        m_sources.erase(peer);
    }
    else
    {
        on_part(peer, *part, sent_at);
    }
    request_next();
}

void configuration_transfer::on_part(instance_id const& peer,
                                     serving::document_part const& part,
                                     time_point sent_at)
{
    using progress = serving::document_assembly::progress;
    m_state.m_metrics.count("daisylead_document_bytes_received_total", {},
                            part.m_bytes.size());
    switch (m_assembly.add(part, m_state.m_rules.m_bytes, sent_at))
    {
    case progress::more:
        break;
    case progress::complete:
        take_document(peer);
        return;
    case progress::rejected:
        note_failure(peer, sent_at, "part does not fit");
        return;
    }
    if (auto const found = m_sources.find(peer); found != m_sources.end())
    {
        found->second.m_failures = 0;
    }
}

void configuration_transfer::take_document(instance_id const& peer)
{
    std::size_t const received = m_assembly.received();
    auto const read_at = m_assembly.read_at();
    std::optional<serving::document> document = m_assembly.take();
    if (!document)
    {
        note_failure(peer, m_began, "document cannot be decoded");
        return;
    }
    serving::document_state taken;
    taken.m_revision = document->m_revision;
    taken.m_digest = document->m_content_order;
    telemetry::log(severity::info, "configuration_received",
                   {{"peer", peer.value()},
                    {"revision", document->m_revision},
                    {"bytes", document->m_bytes.size()},
                    {"received_bytes", received},
                    {"elapsed_ms", milliseconds_of(boot_time() - m_began)}});
    // Each peer tells the age of what it calls its newest configuration.
    m_on_document(std::move(*document),
                  read_at.value_or(m_began - m_state.m_settings.m_key_validity),
                  peer);
    if (m_state.is_newer_configuration(taken))
    {
        // It was not accepted; fetching it again at once would not help.
        m_sources.erase(peer);
    }
}

void configuration_transfer::note_failure(instance_id const& peer,
                                          time_point sent_at,
                                          std::string const& reason)
{
    m_state.m_metrics.count("daisylead_document_failures_total");
    telemetry::log(severity::warning, "document_part_missing",
                   {{"peer", peer.value()},
                    {"reason", reason},
                    {"received_bytes", m_assembly.received()},
                    {"elapsed_ms", milliseconds_of(boot_time() - sent_at)}});
    auto const found = m_sources.find(peer);
    if (found != m_sources.end() && ++found->second.m_failures >= max_failures)
    {
        m_sources.erase(found);
    }
}

} // namespace daisylead::entry
