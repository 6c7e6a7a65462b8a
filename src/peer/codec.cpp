/** @file Translation between peer messages and Cap'n Proto. */
#include "codec.hpp"

#include <daisylead/base/error_type.hpp>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <tuple>
#include <type_traits>

namespace daisylead::peer
{

namespace
{

/** Stands for a request rate limit that ended. */
constexpr double ended_rate = -1;

capnp::Text::Reader to_text(std::string const& text)
{
    return {text.data(), text.size()};
}

std::string from_text(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

unsigned size_of(auto const& list)
{
    return static_cast<unsigned>(list.size());
}

void encode_texts(std::vector<std::string> const& texts,
                  capnp::List<capnp::Text>::Builder builder)
{
    for (unsigned i = 0; i < size_of(texts); ++i)
    {
        builder.set(i, to_text(texts[i]));
    }
}

std::vector<std::string> decode_texts(capnp::List<capnp::Text>::Reader list)
{
    std::vector<std::string> texts;
    for (auto const text : list)
    {
        texts.push_back(from_text(text));
    }
    return texts;
}

void encode_reports(std::vector<limits::usage_report> const& reports,
                    capnp::List<wire::UsageReport>::Builder builder)
{
    for (unsigned i = 0; i < size_of(reports); ++i)
    {
        auto item = builder[i];
        item.setOrganisation(to_text(reports[i].m_organisation.value()));
        item.setFence(reports[i].m_fence.value());
        item.setReservation(reports[i].m_reservation.value());
        item.setRefund(reports[i].m_refund.value());
        item.setExtra(reports[i].m_extra.value());
        item.setClosed(reports[i].m_closed);
    }
}

std::vector<limits::usage_report>
decode_reports(capnp::List<wire::UsageReport>::Reader list)
{
    std::vector<limits::usage_report> reports;
    for (auto const item : list)
    {
        limits::usage_report report;
        report.m_organisation =
            organisation_id(from_text(item.getOrganisation()));
        report.m_fence = fence_number(item.getFence());
        report.m_reservation =
            limits::reservation_number(item.getReservation());
        report.m_refund = token_count(item.getRefund());
        report.m_extra = token_count(item.getExtra());
        report.m_closed = item.getClosed();
        reports.push_back(std::move(report));
    }
    return reports;
}

void encode_claims(std::vector<lease::lease_claim> const& claims,
                   capnp::List<wire::LeaseClaim>::Builder builder)
{
    for (unsigned i = 0; i < size_of(claims); ++i)
    {
        auto item = builder[i];
        item.setRow(to_text(claims[i].m_row));
        item.setFence(claims[i].m_fence.value());
        item.setToken(to_text(claims[i].m_token));
        item.setHolder(to_text(claims[i].m_holder.value()));
    }
}

std::vector<lease::lease_claim>
decode_claims(capnp::List<wire::LeaseClaim>::Reader list)
{
    std::vector<lease::lease_claim> claims;
    for (auto const item : list)
    {
        lease::lease_claim claim;
        claim.m_row = from_text(item.getRow());
        claim.m_fence = fence_number(item.getFence());
        claim.m_token = from_text(item.getToken());
        claim.m_holder = instance_id(from_text(item.getHolder()));
        claims.push_back(std::move(claim));
    }
    return claims;
}

// The enumerators of the wire stand in the same order as those of the types.

wire::InstanceState to_wire(membership::instance_state state)
{
    return static_cast<wire::InstanceState>(static_cast<unsigned short>(state));
}

membership::instance_state from_wire(wire::InstanceState state)
{
    if (state > wire::InstanceState::DRAINING)
    {
        return membership::instance_state::fenced;
    }
    return static_cast<membership::instance_state>(
        static_cast<unsigned short>(state));
}

limits::reserve_status from_wire(wire::ReserveStatus status)
{
    if (status > wire::ReserveStatus::OUT_OF_DATE)
    {
        return limits::reserve_status::unknown;
    }
    return static_cast<limits::reserve_status>(
        static_cast<unsigned short>(status));
}

using builder = wire::Message::Builder;
using reader = wire::Message::Reader;

void encode_body(none const&, builder target)
{
    target.setNone();
}

void encode_body(membership::ping const& body, builder target)
{
    auto item = target.initPing();
    item.setNumber(body.m_number);
    item.setVersion(body.m_version.value());
    item.setState(to_wire(body.m_state));
    item.setAddress(to_text(body.m_address));
}

void encode_body(membership::ping_reply const& body, builder target)
{
    auto item = target.initPingReply();
    item.setNumber(body.m_number);
    item.setVersion(body.m_version.value());
    item.setState(to_wire(body.m_state));
    item.setKnownIncarnation(body.m_known_incarnation.value());
}

void encode_body(fetch_config const&, builder target)
{
    target.setFetchConfig();
}

void encode_body(config_text const& body, builder target)
{
    auto item = target.initConfig();
    item.setVersion(body.m_version.value());
    item.setText(to_text(body.m_text));
}

void encode_body(limits::reserve_request const& body, builder target)
{
    auto item = target.initReserve();
    item.setOrganisation(to_text(body.m_organisation.value()));
    item.setReservation(body.m_reservation.value());
    item.setSentAt(body.m_sent_at);
    auto amounts = item.initAmounts(size_of(body.m_amounts));
    for (unsigned i = 0; i < size_of(body.m_amounts); ++i)
    {
        amounts.set(i, body.m_amounts[i].value());
    }
    encode_reports(body.m_reports, item.initReports(size_of(body.m_reports)));
}

void encode_body(limits::reserve_reply const& body, builder target)
{
    auto item = target.initReserveReply();
    item.setStatus(static_cast<wire::ReserveStatus>(
        static_cast<unsigned short>(body.m_status)));
    item.setOrganisation(to_text(body.m_organisation.value()));
    item.setReservation(body.m_reservation.value());
    item.setSentAt(body.m_sent_at);
    item.setFence(body.m_fence.value());
    item.setConfirmSoon(body.m_confirm_soon);
    auto granted = item.initGranted(size_of(body.m_granted));
    for (unsigned i = 0; i < size_of(body.m_granted); ++i)
    {
        granted.set(i, body.m_granted[i]);
    }
    auto retry = item.initRetryAfter(size_of(body.m_retry_after));
    for (unsigned i = 0; i < size_of(body.m_retry_after); ++i)
    {
        retry.set(i, body.m_retry_after[i]);
    }
}

void encode_body(limits::settle const& body, builder target)
{
    encode_reports(body.m_reports, target.initSettle(size_of(body.m_reports)));
}

void encode_body(lease::lease_confirm_request const& body, builder target)
{
    auto item = target.initLeaseConfirm();
    item.setRound(body.m_round);
    item.setWantKnown(body.m_want_known);
    encode_claims(body.m_claims, item.initClaims(size_of(body.m_claims)));
}

void encode_body(lease::lease_confirm_reply const& body, builder target)
{
    auto item = target.initLeaseConfirmReply();
    item.setRound(body.m_round);
    item.setInformed(body.m_informed);
    encode_texts(body.m_confirmed,
                 item.initConfirmed(size_of(body.m_confirmed)));
    encode_claims(body.m_known, item.initKnown(size_of(body.m_known)));
}

void encode_suspects(std::vector<request::quarantine_update> const& entries,
                     capnp::List<wire::QuarantinedRequest>::Builder list)
{
    for (unsigned i = 0; i < size_of(entries); ++i)
    {
        request::quarantine_update const& entry = entries[i];
        auto item = list[i];
        item.setOrganisation(to_text(entry.m_suspect.m_organisation.value()));
        item.setDigest(to_text(entry.m_suspect.m_digest));
        item.setUpstream(to_text(entry.m_crash.m_upstream.value()));
        item.setIncarnation(entry.m_crash.m_incarnation.value());
        item.setCleared(entry.m_cleared);
    }
}

void encode_crash(request::upstream_incarnation const& crash,
                  wire::Crash::Builder target)
{
    target.setUpstream(to_text(crash.m_upstream.value()));
    target.setIncarnation(crash.m_incarnation.value());
}

void encode_parts(std::vector<request::part_digest> const& parts,
                  capnp::List<std::uint64_t>::Builder list)
{
    for (unsigned i = 0; i < size_of(parts); ++i)
    {
        list.set(i, static_cast<std::uint64_t>(parts[i]));
    }
}

void encode_crash_evidence(serving::fleet_news const& body,
                           wire::FleetNews::Builder item)
{
    auto crashes = item.initCrashes(size_of(body.m_crashes));
    for (unsigned i = 0; i < size_of(body.m_crashes); ++i)
    {
        request::crash_report const& report = body.m_crashes[i];
        encode_crash(report.m_crash, crashes[i].initCrash());
        encode_parts(report.m_parts,
                     crashes[i].initParts(size_of(report.m_parts)));
    }
    encode_parts(body.m_answered_parts,
                 item.initAnsweredParts(size_of(body.m_answered_parts)));
    auto blocked = item.initBlockedParts(size_of(body.m_blocked_parts));
    for (unsigned i = 0; i < size_of(body.m_blocked_parts); ++i)
    {
        request::blocked_part const& entry = body.m_blocked_parts[i];
        blocked[i].setPart(static_cast<std::uint64_t>(entry.m_part));
        blocked[i].setStored(entry.m_stored);
        auto blamed = blocked[i].initCrashes(size_of(entry.m_crashes));
        for (unsigned j = 0; j < size_of(entry.m_crashes); ++j)
        {
            encode_crash(entry.m_crashes[j], blamed[j]);
        }
    }
    item.setBlockedDigest(body.m_blocked_digest);
    item.setKnowsBlockedParts(body.m_knows_blocked_parts);
}

void encode_body(quarantine_news const& body, builder target)
{
    encode_suspects(body.m_entries,
                    target.initQuarantine(size_of(body.m_entries)));
}

void encode_body(claim_query const& body, builder target)
{
    target.setClaimQuery(to_text(body.m_token));
}

void encode_body(claim_status const& body, builder target)
{
    target.setClaimStatus(body.m_open);
}

void encode_body(upstream_news const& body, builder target)
{
    auto item = target.initUpstreamNews();
    item.setUpstream(to_text(body.m_upstream.value()));
    item.setLeaving(body.m_leaving);
}

void encode_member(serving::member const& content, wire::Member::Builder target)
{
    target.setId(to_text(content.m_id.value()));
    target.setAddress(to_text(content.m_address));
    target.setStarted(content.m_started);
    target.setZone(to_text(content.m_zone.value()));
    target.setSize(static_cast<std::int32_t>(content.m_size));
    target.setTunnelAddress(to_text(content.m_tunnel_address));
}

void encode_document_state(serving::document_state const& content,
                           wire::DocumentState::Builder target)
{
    target.setRevision(content.m_revision);
    target.setDigest(content.m_digest);
    target.setAgeMs(content.m_age_ms.value_or(-1));
}

template <class Amounts>
void encode_amounts(Amounts const& amounts,
                    capnp::List<wire::Amount>::Builder list)
{
    for (unsigned i = 0; i < size_of(amounts); ++i)
    {
        list[i].setId(to_text(amounts[i].first.value()));
        list[i].setAmount(amounts[i].second);
    }
}

capnp::Data::Reader to_data(std::string const& bytes)
{
    return {reinterpret_cast<kj::byte const*>(bytes.data()), bytes.size()};
}

std::string from_data(capnp::Data::Reader data)
{
    return {reinterpret_cast<char const*>(data.begin()), data.size()};
}

void encode_use(serving::use_totals const& use, wire::UseTotals::Builder target)
{
    target.setConfiguration(use.m_configuration.value());
    auto totals = target.initTotals(size_of(use.m_totals));
    for (unsigned i = 0; i < size_of(use.m_totals); ++i)
    {
        totals.set(i, use.m_totals[i]);
    }
}

void encode_rates(serving::load_news const& load,
                  wire::LoadNews::Builder target)
{
    if (load.m_rates.empty())
    {
        return;
    }
    unsigned const rates = size_of(load.m_rates);
    auto rate_positions = target.initRatePositions(rates);
    auto per_second = target.initRatesPerSecond(rates);
    auto ages = target.initRateAgesMs(rates);
    auto granted = target.initRatesGranted(rates);
    for (unsigned i = 0; i < rates; ++i)
    {
        serving::position_rate const& rate = load.m_rates[i];
        rate_positions.set(i, rate.m_position);
        per_second.set(
            i, static_cast<float>(rate.m_per_second.value_or(ended_rate)));
        ages.set(i, static_cast<std::uint32_t>(std::clamp<std::int64_t>(
                        rate.m_age_ms, 0,
                        std::numeric_limits<std::uint32_t>::max())));
        granted.set(i, static_cast<float>(rate.m_granted));
    }
}

void encode_load(serving::load_news const& load, wire::LoadNews::Builder target)
{
    target.setListDigest(load.m_list_digest);
    unsigned const size = size_of(load.m_loads);
    auto positions = target.initPositions(size);
    auto requests = target.initRequests(size);
    auto tokens = target.initTokens(size);
    auto silences = target.initSilencesMs(size);
    for (unsigned i = 0; i < size; ++i)
    {
        positions.set(i, load.m_loads[i].m_position);
        requests.set(i, load.m_loads[i].m_requests);
        tokens.set(i, load.m_loads[i].m_tokens);
        silences.set(i, load.m_loads[i].m_silence_ms);
    }
    encode_rates(load, target);
}

void encode_changes(serving::upstream_changes const& changes,
                    wire::UpstreamChanges::Builder target)
{
    target.setBase(changes.m_base);
    auto changed = target.initChanged(size_of(changes.m_changed));
    for (unsigned i = 0; i < size_of(changes.m_changed); ++i)
    {
        serving::upstream_record const& record = changes.m_changed[i];
        auto item = changed[i];
        item.setId(to_text(record.m_id.value()));
        item.setService(to_text(record.m_service.value()));
        item.setAddress(to_text(record.m_address));
        item.setZone(to_text(record.m_zone.value()));
        item.setSlots(record.m_slots);
        item.setLeaving(record.m_leaving);
        item.setStarted(record.m_started);
        item.setSoftware(to_text(record.m_software.value()));
        auto weights = item.initWeights(size_of(record.m_weights));
        unsigned next = 0;
        for (auto const& [model, version] : record.m_weights)
        {
            weights[next].setId(to_text(model.value()));
            weights[next].setAmount(version);
            ++next;
        }
    }
    auto removed = target.initRemoved(size_of(changes.m_removed));
    for (unsigned i = 0; i < size_of(changes.m_removed); ++i)
    {
        removed.set(i, to_text(changes.m_removed[i].value()));
    }
}

void encode_weights(std::vector<serving::numbered_weights> const& items,
                    capnp::List<wire::WeightsNews>::Builder target)
{
    for (unsigned i = 0; i < size_of(items); ++i)
    {
        serving::weights_news const& news = items[i].m_news;
        target[i].setUpstream(to_text(news.m_upstream.value()));
        target[i].setStarted(news.m_started);
        target[i].setModel(to_text(news.m_model.value()));
        target[i].setVersion(news.m_version);
        target[i].setSwitching(news.m_switching);
        target[i].setNumber(items[i].m_number);
    }
}

void encode_software(serving::software_news const& news,
                     wire::SoftwareReport::Builder target)
{
    target.setSinceAgeMs(news.m_since_age_ms);
    target.setUntilAgeMs(news.m_until_age_ms);
    auto uses = target.initUses(size_of(news.m_uses));
    for (unsigned i = 0; i < size_of(news.m_uses); ++i)
    {
        uses[i].setService(to_text(news.m_uses[i].m_service.value()));
        uses[i].setSoftware(to_text(news.m_uses[i].m_software.value()));
        uses[i].setLastUsedAgeMs(news.m_uses[i].m_last_used_age_ms);
    }
}

/** Rounds down: a connection must never look older than it is. */
std::uint32_t to_wire(duration value)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        std::chrono::floor<std::chrono::milliseconds>(value).count(), 0,
        std::numeric_limits<std::uint32_t>::max()));
}

void encode_body(serving::document_request const& body, builder target)
{
    auto item = target.initDocumentRequest();
    item.setKnown(body.m_known);
    item.setEncoding(body.m_encoding);
    item.setOffset(body.m_offset);
}

void encode_body(serving::document_part const& body, builder target)
{
    auto item = target.initDocumentPart();
    encode_document_state(body.m_state, item.initState());
    item.setBase(body.m_base);
    item.setEncoding(body.m_encoding);
    item.setEncodedSize(body.m_encoded_size);
    item.setSize(body.m_size);
    item.setOffset(body.m_offset);
    item.setBytes(to_data(body.m_bytes));
}

void encode_body(stream_records const& body, builder target)
{
    auto records = target.initStreamRecords();
    auto origins = records.initOrigins(size_of(body.m_origins));
    for (unsigned i = 0; i < size_of(body.m_origins); ++i)
    {
        serving::stream_origin const& origin = body.m_origins[i];
        origins[i].setStream(to_text(origin.m_stream));
        origins[i].setService(to_text(origin.m_service.value()));
        origins[i].setUpstream(to_text(origin.m_upstream.value()));
        origins[i].setStarted(origin.m_started);
        origins[i].setSoftware(to_text(origin.m_software.value()));
        origins[i].setLifetimeMs(to_wire(origin.m_lifetime));
        origins[i].setAgeMs(to_wire(origin.m_age));
        origins[i].setProven(origin.m_proven);
    }
    auto asked = records.initAsked(size_of(body.m_asked));
    for (unsigned i = 0; i < size_of(body.m_asked); ++i)
    {
        asked.set(i, to_text(body.m_asked[i]));
    }
}

/** Streams share the entries of their processes, which are larger. */
void encode_streams(std::vector<serving::begun_stream> const& streams,
                    wire::FleetNews::Builder target)
{
    using source =
        std::tuple<service_id, upstream_id, std::int64_t, software_version>;
    std::map<source, std::uint16_t> positions;
    std::vector<std::uint16_t> source_of;
    source_of.reserve(streams.size());
    for (serving::begun_stream const& stream : streams)
    {
        serving::stream_origin const& origin = stream.m_origin;
        source_of.push_back(
            positions
                .try_emplace({origin.m_service, origin.m_upstream,
                              origin.m_started, origin.m_software},
                             static_cast<std::uint16_t>(positions.size()))
                .first->second);
    }
    auto sources = target.initStreamSources(size_of(positions));
    for (auto const& [item, position] : positions)
    {
        auto const& [service, upstream, started, software] = item;
        sources[position].setService(to_text(service.value()));
        sources[position].setUpstream(to_text(upstream.value()));
        sources[position].setStarted(started);
        sources[position].setSoftware(to_text(software.value()));
    }
    auto entries = target.initBegunStreams(size_of(streams));
    for (unsigned i = 0; i < size_of(streams); ++i)
    {
        entries[i].setStream(static_cast<std::uint64_t>(streams[i].m_stream));
        entries[i].setSource(source_of[i]);
        entries[i].setAgeMs(to_wire(streams[i].m_origin.m_age));
        entries[i].setLifetimeMs(to_wire(streams[i].m_origin.m_lifetime));
    }
}

void encode_body(serving::fleet_news const& body, builder target)
{
    auto item = target.initFleetNews();
    encode_member(body.m_member, item.initMember());
    item.setUpMs(body.m_uptime_ms);
    item.setLeaving(body.m_leaving);
    item.setRelay(body.m_is_relay);
    item.setGroup(static_cast<std::int32_t>(body.m_group));
    item.setFleet(static_cast<std::int32_t>(body.m_fleet));
    item.setRelaysDigest(body.m_relays_digest);
    item.setStoreEra(body.m_store_era);
    item.setStoreEraAgeMs(body.m_store_era_age_ms.value_or(-1));
    encode_document_state(body.m_rules, item.initRules());
    encode_document_state(body.m_upstreams, item.initUpstreams());
    encode_use(body.m_use, item.initUse());
    if (!body.m_reported_use.m_totals.empty())
    {
        encode_use(body.m_reported_use, item.initTold());
    }
    encode_load(body.m_load, item.initLoad());
    item.setWeightsToken(body.m_weights_token);
    item.setWeightsNumber(body.m_weights_number);
    encode_weights(body.m_weights, item.initWeights(size_of(body.m_weights)));
    if (!body.m_begun_streams.empty())
    {
        encode_streams(body.m_begun_streams, item);
    }
    encode_suspects(body.m_suspects,
                    item.initSuspects(size_of(body.m_suspects)));
    encode_crash_evidence(body, item);
    auto leaving = item.initLeavingUpstreams(size_of(body.m_leaving_upstreams));
    for (unsigned i = 0; i < size_of(body.m_leaving_upstreams); ++i)
    {
        serving::leaving_upstream const& entry = body.m_leaving_upstreams[i];
        leaving[i].setUpstream(to_text(entry.m_upstream.value()));
        leaving[i].setStarted(entry.m_started);
    }
    item.setWantsMembers(body.m_wants_members);
    item.setWantsRules(body.m_wants_rules);
    item.setWantsUpstreams(body.m_wants_upstreams);
    auto members = item.initMembers(size_of(body.m_members));
    for (unsigned i = 0; i < size_of(body.m_members); ++i)
    {
        encode_member(body.m_members[i], members[i]);
    }
    item.setRulesDocument(to_data(body.m_rules_document));
    if (body.m_upstream_changes)
    {
        encode_changes(*body.m_upstream_changes, item.initUpstreamChanges());
    }
    auto kv_stores = item.initKvStores(size_of(body.m_kv_stores));
    for (unsigned i = 0; i < size_of(body.m_kv_stores); ++i)
    {
        kv_stores[i].setAddress(to_text(body.m_kv_stores[i].m_address));
        kv_stores[i].setEpoch(body.m_kv_stores[i].m_epoch);
        kv_stores[i].setAgeMs(body.m_kv_stores[i].m_age_ms);
    }
    item.setKvStoreEpoch(body.m_kv_store_epoch);
    item.setKvStoreAgeMs(body.m_kv_store_age_ms.value_or(-1));
    auto named = item.initNamed(size_of(body.m_named));
    for (unsigned i = 0; i < size_of(body.m_named); ++i)
    {
        named[i].setModel(to_text(body.m_named[i].m_model.value()));
        named[i].setVersion(body.m_named[i].m_version);
        named[i].setAgeMs(body.m_named[i].m_age_ms);
    }
    auto cut = item.initCutServices(size_of(body.m_cut_services));
    for (unsigned i = 0; i < size_of(body.m_cut_services); ++i)
    {
        cut.set(i, to_text(body.m_cut_services[i].value()));
    }
    if (body.m_software)
    {
        encode_software(*body.m_software, item.initSoftware());
    }
    auto saved = item.initSaved(size_of(body.m_saved));
    for (unsigned i = 0; i < size_of(body.m_saved); ++i)
    {
        saved.set(i, body.m_saved[i]);
    }
    item.setSendsParts(body.m_sends_parts);
}

membership::ping decode_ping(reader source)
{
    auto const item = source.getPing();
    membership::ping body;
    body.m_number = item.getNumber();
    body.m_version = config_version(item.getVersion());
    body.m_state = from_wire(item.getState());
    body.m_address = from_text(item.getAddress());
    return body;
}

membership::ping_reply decode_ping_reply(reader source)
{
    auto const item = source.getPingReply();
    membership::ping_reply body;
    body.m_number = item.getNumber();
    body.m_version = config_version(item.getVersion());
    body.m_state = from_wire(item.getState());
    body.m_known_incarnation = incarnation(item.getKnownIncarnation());
    return body;
}

limits::reserve_request decode_reserve(reader source)
{
    auto const item = source.getReserve();
    limits::reserve_request body;
    body.m_organisation = organisation_id(from_text(item.getOrganisation()));
    body.m_reservation = limits::reservation_number(item.getReservation());
    body.m_sent_at = item.getSentAt();
    for (std::int64_t const amount : item.getAmounts())
    {
        body.m_amounts.emplace_back(amount);
    }
    body.m_reports = decode_reports(item.getReports());
    return body;
}

limits::reserve_reply decode_reserve_reply(reader source)
{
    auto const item = source.getReserveReply();
    limits::reserve_reply body;
    body.m_status = from_wire(item.getStatus());
    body.m_organisation = organisation_id(from_text(item.getOrganisation()));
    body.m_reservation = limits::reservation_number(item.getReservation());
    body.m_sent_at = item.getSentAt();
    body.m_fence = fence_number(item.getFence());
    body.m_confirm_soon = item.getConfirmSoon();
    for (bool const granted : item.getGranted())
    {
        body.m_granted.push_back(granted);
    }
    for (std::int64_t const retry : item.getRetryAfter())
    {
        body.m_retry_after.push_back(retry);
    }
    return body;
}

lease::lease_confirm_request decode_lease_confirm(reader source)
{
    auto const item = source.getLeaseConfirm();
    lease::lease_confirm_request body;
    body.m_round = item.getRound();
    body.m_want_known = item.getWantKnown();
    body.m_claims = decode_claims(item.getClaims());
    return body;
}

lease::lease_confirm_reply decode_lease_confirm_reply(reader source)
{
    auto const item = source.getLeaseConfirmReply();
    lease::lease_confirm_reply body;
    body.m_round = item.getRound();
    body.m_informed = item.getInformed();
    body.m_confirmed = decode_texts(item.getConfirmed());
    body.m_known = decode_claims(item.getKnown());
    return body;
}

std::vector<request::quarantine_update>
decode_suspects(capnp::List<wire::QuarantinedRequest>::Reader list)
{
    std::vector<request::quarantine_update> entries;
    for (auto const item : list)
    {
        request::quarantine_update entry;
        entry.m_suspect.m_organisation =
            organisation_id(from_text(item.getOrganisation()));
        entry.m_suspect.m_digest = from_text(item.getDigest());
        entry.m_crash.m_upstream = upstream_id(from_text(item.getUpstream()));
        entry.m_crash.m_incarnation = incarnation(item.getIncarnation());
        entry.m_cleared = item.getCleared();
        entries.push_back(std::move(entry));
    }
    return entries;
}

request::upstream_incarnation decode_crash(wire::Crash::Reader source)
{
    return {upstream_id(from_text(source.getUpstream())),
            incarnation(source.getIncarnation())};
}

std::vector<request::part_digest>
decode_parts(capnp::List<std::uint64_t>::Reader list)
{
    std::vector<request::part_digest> parts;
    for (std::uint64_t const part : list)
    {
        parts.push_back(request::part_digest(part));
    }
    return parts;
}

void decode_crash_evidence(wire::FleetNews::Reader item,
                           serving::fleet_news& body)
{
    for (auto const report : item.getCrashes())
    {
        body.m_crashes.push_back(
            {decode_crash(report.getCrash()), decode_parts(report.getParts())});
    }
    body.m_answered_parts = decode_parts(item.getAnsweredParts());
    for (auto const entry : item.getBlockedParts())
    {
        request::blocked_part part{
            request::part_digest(entry.getPart()), {}, entry.getStored()};
        for (auto const crash : entry.getCrashes())
        {
            part.m_crashes.push_back(decode_crash(crash));
        }
        body.m_blocked_parts.push_back(std::move(part));
    }
    body.m_blocked_digest = item.getBlockedDigest();
    body.m_knows_blocked_parts = item.getKnowsBlockedParts();
}

quarantine_news decode_quarantine(reader source)
{
    return {decode_suspects(source.getQuarantine())};
}

serving::member decode_member(wire::Member::Reader source)
{
    return {instance_id(from_text(source.getId())),
            from_text(source.getAddress()),
            source.getStarted(),
            zone_id(from_text(source.getZone())),
            source.getSize(),
            from_text(source.getTunnelAddress())};
}

serving::document_state
decode_document_state(wire::DocumentState::Reader source)
{
    serving::document_state state;
    state.m_revision = source.getRevision();
    state.m_digest = source.getDigest();
    if (source.getAgeMs() >= 0)
    {
        state.m_age_ms = source.getAgeMs();
    }
    return state;
}

template <class Id>
std::vector<std::pair<Id, std::int64_t>>
decode_amounts(capnp::List<wire::Amount>::Reader list)
{
    std::vector<std::pair<Id, std::int64_t>> amounts;
    for (auto const item : list)
    {
        amounts.emplace_back(Id(from_text(item.getId())), item.getAmount());
    }
    return amounts;
}

serving::use_totals decode_use(wire::UseTotals::Reader source)
{
    serving::use_totals use;
    use.m_configuration = config_version(source.getConfiguration());
    for (std::int64_t const total : source.getTotals())
    {
        use.m_totals.push_back(total);
    }
    return use;
}

serving::load_news decode_load(wire::LoadNews::Reader source)
{
    serving::load_news load;
    load.m_list_digest = source.getListDigest();
    auto const positions = source.getPositions();
    auto const requests = source.getRequests();
    auto const tokens = source.getTokens();
    if (positions.size() != requests.size() ||
        positions.size() != tokens.size())
    {
        throw error("a peer's load has lists of different lengths");
    }
    auto const silences = source.getSilencesMs();
    bool const has_silences = silences.size() == positions.size();
    for (unsigned i = 0; i < positions.size(); ++i)
    {
        load.m_loads.push_back({positions[i], requests[i], tokens[i],
                                has_silences ? silences[i] : std::uint16_t{0}});
    }
    auto const rate_positions = source.getRatePositions();
    auto const per_second = source.getRatesPerSecond();
    auto const ages = source.getRateAgesMs();
    auto const granted = source.getRatesGranted();
    if (rate_positions.size() != per_second.size() ||
        rate_positions.size() != ages.size() ||
        rate_positions.size() != granted.size())
    {
        throw error("a peer's request rates have lists of different lengths");
    }
    for (unsigned i = 0; i < rate_positions.size(); ++i)
    {
        if (!std::isfinite(per_second[i]) || !std::isfinite(granted[i]))
        {
            throw error("a peer's request rate is not a number");
        }
        load.m_rates.push_back({rate_positions[i],
                                per_second[i] < 0
                                    ? std::nullopt
                                    : std::optional<double>(per_second[i]),
                                ages[i], granted[i]});
    }
    return load;
}

serving::software_news decode_software(wire::SoftwareReport::Reader source)
{
    serving::software_news news;
    news.m_since_age_ms = source.getSinceAgeMs();
    news.m_until_age_ms = source.getUntilAgeMs();
    for (auto const use : source.getUses())
    {
        news.m_uses.push_back({service_id(from_text(use.getService())),
                               software_version(from_text(use.getSoftware())),
                               use.getLastUsedAgeMs()});
    }
    return news;
}

stream_records decode_stream_records(wire::StreamRecords::Reader source)
{
    stream_records body;
    for (auto const item : source.getOrigins())
    {
        body.m_origins.push_back(
            {from_text(item.getStream()),
             service_id(from_text(item.getService())),
             upstream_id(from_text(item.getUpstream())), item.getStarted(),
             software_version(from_text(item.getSoftware())),
             std::chrono::milliseconds(item.getLifetimeMs()),
             std::chrono::milliseconds(item.getAgeMs()), item.getProven()});
    }
    body.m_asked = decode_texts(source.getAsked());
    return body;
}

std::vector<serving::begun_stream>
decode_streams(wire::FleetNews::Reader source)
{
    auto const sources = source.getStreamSources();
    std::vector<serving::begun_stream> streams;
    for (auto const item : source.getBegunStreams())
    {
        if (item.getSource() >= sources.size())
        {
            throw error("a peer's stream has no source");
        }
        auto const process = sources[item.getSource()];
        streams.push_back({serving::stream_digest(item.getStream()),
                           {{},
                            service_id(from_text(process.getService())),
                            upstream_id(from_text(process.getUpstream())),
                            process.getStarted(),
                            software_version(from_text(process.getSoftware())),
                            std::chrono::milliseconds(item.getLifetimeMs()),
                            std::chrono::milliseconds(item.getAgeMs()),
                            false}});
    }
    return streams;
}

serving::upstream_changes decode_changes(wire::UpstreamChanges::Reader source)
{
    serving::upstream_changes changes;
    changes.m_base = source.getBase();
    for (auto const item : source.getChanged())
    {
        serving::upstream_record record;
        record.m_id = upstream_id(from_text(item.getId()));
        record.m_service = service_id(from_text(item.getService()));
        record.m_address = from_text(item.getAddress());
        record.m_zone = zone_id(from_text(item.getZone()));
        record.m_slots = item.getSlots();
        record.m_leaving = item.getLeaving();
        record.m_started = item.getStarted();
        record.m_software = software_version(from_text(item.getSoftware()));
        for (auto& [model, version] :
             decode_amounts<model_id>(item.getWeights()))
        {
            record.m_weights.emplace(std::move(model), version);
        }
        changes.m_changed.push_back(std::move(record));
    }
    for (auto const id : source.getRemoved())
    {
        changes.m_removed.emplace_back(from_text(id));
    }
    return changes;
}

serving::fleet_news decode_fleet_news(reader source)
{
    auto const item = source.getFleetNews();
    serving::fleet_news body;
    body.m_member = decode_member(item.getMember());
    body.m_uptime_ms = item.getUpMs();
    body.m_leaving = item.getLeaving();
    body.m_is_relay = item.getRelay();
    body.m_group = item.getGroup();
    body.m_fleet = item.getFleet();
    body.m_relays_digest = item.getRelaysDigest();
    body.m_store_era = item.getStoreEra();
    if (item.getStoreEraAgeMs() >= 0)
    {
        body.m_store_era_age_ms = item.getStoreEraAgeMs();
    }
    body.m_rules = decode_document_state(item.getRules());
    body.m_upstreams = decode_document_state(item.getUpstreams());
    body.m_use = decode_use(item.getUse());
    if (item.hasTold())
    {
        body.m_reported_use = decode_use(item.getTold());
    }
    body.m_load = decode_load(item.getLoad());
    body.m_weights_token = item.getWeightsToken();
    body.m_weights_number = item.getWeightsNumber();
    for (auto const entry : item.getWeights())
    {
        body.m_weights.push_back(
            {{upstream_id(from_text(entry.getUpstream())), entry.getStarted(),
              model_id(from_text(entry.getModel())), entry.getVersion(),
              entry.getSwitching()},
             entry.getNumber()});
    }
    body.m_begun_streams = decode_streams(item);
    body.m_suspects = decode_suspects(item.getSuspects());
    decode_crash_evidence(item, body);
    for (auto const entry : item.getLeavingUpstreams())
    {
        body.m_leaving_upstreams.push_back(
            {upstream_id(from_text(entry.getUpstream())), entry.getStarted()});
    }
    body.m_wants_members = item.getWantsMembers();
    body.m_wants_rules = item.getWantsRules();
    body.m_wants_upstreams = item.getWantsUpstreams();
    for (auto const entry : item.getMembers())
    {
        body.m_members.push_back(decode_member(entry));
    }
    body.m_rules_document = from_data(item.getRulesDocument());
    if (item.hasUpstreamChanges())
    {
        body.m_upstream_changes = decode_changes(item.getUpstreamChanges());
    }
    for (auto const entry : item.getKvStores())
    {
        body.m_kv_stores.push_back(
            {from_text(entry.getAddress()), entry.getEpoch(),
             std::max<std::int64_t>(0, entry.getAgeMs())});
    }
    body.m_kv_store_epoch = item.getKvStoreEpoch();
    if (item.getKvStoreAgeMs() >= 0)
    {
        body.m_kv_store_age_ms = item.getKvStoreAgeMs();
    }
    for (auto const entry : item.getNamed())
    {
        body.m_named.push_back({model_id(from_text(entry.getModel())),
                                entry.getVersion(), entry.getAgeMs()});
    }
    for (std::string& service : decode_texts(item.getCutServices()))
    {
        body.m_cut_services.emplace_back(std::move(service));
    }
    if (item.hasSoftware())
    {
        body.m_software = decode_software(item.getSoftware());
    }
    for (std::uint64_t const prefix : item.getSaved())
    {
        body.m_saved.push_back(prefix);
    }
    body.m_sends_parts = item.getSendsParts();
    return body;
}

serving::document_request
decode_document_request(wire::DocumentRequest::Reader source)
{
    return {source.getKnown(), source.getEncoding(), source.getOffset()};
}

serving::document_part decode_document_part(wire::DocumentPart::Reader source)
{
    serving::document_part body;
    body.m_state = decode_document_state(source.getState());
    body.m_base = source.getBase();
    body.m_encoding = source.getEncoding();
    body.m_encoded_size = source.getEncodedSize();
    body.m_size = source.getSize();
    body.m_offset = source.getOffset();
    body.m_bytes = from_data(source.getBytes());
    return body;
}

message_body decode_body(reader source)
{
    switch (source.which())
    {
    case wire::Message::NONE:
        return none{};
    case wire::Message::PING:
        return decode_ping(source);
    case wire::Message::PING_REPLY:
        return decode_ping_reply(source);
    case wire::Message::FETCH_CONFIG:
        return fetch_config{};
    case wire::Message::CONFIG:
        return config_text{config_version(source.getConfig().getVersion()),
                           from_text(source.getConfig().getText())};
    case wire::Message::RESERVE:
        return decode_reserve(source);
    case wire::Message::RESERVE_REPLY:
        return decode_reserve_reply(source);
    case wire::Message::SETTLE:
    {
        limits::settle body;
        body.m_reports = decode_reports(source.getSettle());
        return body;
    }
    case wire::Message::LEASE_CONFIRM:
        return decode_lease_confirm(source);
    case wire::Message::LEASE_CONFIRM_REPLY:
        return decode_lease_confirm_reply(source);
    case wire::Message::QUARANTINE:
        return decode_quarantine(source);
    case wire::Message::CLAIM_QUERY:
        return claim_query{from_text(source.getClaimQuery())};
    case wire::Message::CLAIM_STATUS:
        return claim_status{source.getClaimStatus()};
    case wire::Message::UPSTREAM_NEWS:
        return upstream_news{
            upstream_id(from_text(source.getUpstreamNews().getUpstream())),
            source.getUpstreamNews().getLeaving()};
    case wire::Message::FLEET_NEWS:
        return decode_fleet_news(source);
    case wire::Message::STREAM_RECORDS:
        return decode_stream_records(source.getStreamRecords());
    case wire::Message::DOCUMENT_REQUEST:
        return decode_document_request(source.getDocumentRequest());
    case wire::Message::DOCUMENT_PART:
        return decode_document_part(source.getDocumentPart());
    }
    return none{};
}

/** Fills the sender fields of a body from its envelope. */
void fill_sender(message& content)
{
    std::visit(
        [&](auto& body)
        {
            if constexpr (requires { body.m_incarnation; })
            {
                body.m_sender = content.m_sender;
                body.m_incarnation = content.m_incarnation;
            }
        },
        content.m_body);
}

} // namespace

void encode(message const& content, wire::Message::Builder target)
{
    target.setSender(to_text(content.m_sender.value()));
    target.setIncarnation(content.m_incarnation.value());
    std::visit([&](auto const& body) { encode_body(body, target); },
               content.m_body);
}

message decode(wire::Message::Reader source)
{
    message content;
    content.m_sender = instance_id(from_text(source.getSender()));
    content.m_incarnation = incarnation(source.getIncarnation());
    content.m_body = decode_body(source);
    fill_sender(content);
    return content;
}

std::size_t encoded_size(message const& content)
{
    capnp::MallocMessageBuilder builder;
    encode(content, builder.initRoot<wire::Message>());
    return capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
}

} // namespace daisylead::peer
