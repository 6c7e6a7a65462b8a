/** @file Where streams began that callers may resume at any instance. */
#include "stream_directory.hpp"

#include <daisylead/base/milliseconds_func.hpp>
#include <daisylead/telemetry/log_func.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace daisylead::entry
{

namespace
{

using namespace std::chrono_literals;
using telemetry::severity;

/** A caller can resume a stream for this many timeouts of its route after the
 *  first event: the rest of the request and all repetitions. */
constexpr int lifetime_in_timeouts = 2;

/** Maximum number of own streams that can be sent when a second version
 *  appears. */
constexpr std::size_t max_own_streams = 4096;

/** Peers that get the origin of a stream. */
constexpr std::size_t keepers = 3;

/** Peers that are asked for it: the choice of keepers differs a little between
 *  the instances. */
constexpr std::size_t asked_keepers = 5;

/** Time for an answer of the peers: several round trips. */
constexpr std::chrono::milliseconds ask_timeout = 150ms;

/** Instances learn at different times what proves that a service has had one
 *  version; the one that begins a stream must not be the first to rely on it.
 */
constexpr duration proof_margin = 3s;

/** Calls of a peer: the first one may find its connection reset. */
constexpr int max_calls = 2;

/** @return the name of a reason in the log. */
char const* name_of(serving::process_proof proof)
{
    switch (proof)
    {
    case serving::process_proof::proven:
        return "proven";
    case serving::process_proof::not_listed:
        return "not_listed";
    case serving::process_proof::ended:
        return "ended";
    case serving::process_proof::contradicted:
        return "contradicted";
    }
    return "";
}

/** @return the fields of a log line on a stream whose software is not proven.
 *  Times are ages. */
nlohmann::json describe(serving::stream_origin const& origin,
                        serving::process_check const& check, time_point now)
{
    auto const age_ms = [now](std::optional<time_point> const& time)
    {
        return time ? milliseconds_of(now - *time) : -1;
    };
    nlohmann::json fields = {{"upstream", origin.m_upstream.value()},
                             {"started", origin.m_started},
                             {"software", origin.m_software.value()},
                             {"connected_ms", age_ms(now - origin.m_age)},
                             {"vouched", origin.m_proven},
                             {"reason", name_of(check.m_proof)},
                             {"first_listed_ms", age_ms(check.m_first_listed)},
                             {"last_listed_ms", age_ms(check.m_last_listed)}};
    if (check.m_other)
    {
        fields["other_started"] = check.m_other->m_started;
        fields["other_software"] = check.m_other->m_software.value();
        fields["other_first_listed_ms"] = age_ms(check.m_other_first_listed);
    }
    return fields;
}

} // namespace

stream_directory::stream_directory(boost::asio::any_io_executor const& executor,
                                   fleet_state& state, fleet_exchange& exchange,
                                   confirm_hook confirm)
    : m_executor(executor), m_state(state), m_exchange(exchange),
      m_confirm(std::move(confirm))
{
    m_exchange.set_message_handler([this](peer::message_body const& body)
                                   { return on_message(body); });
    m_state.m_on_upstreams = [this]
    {
        on_upstreams();
    };
}

std::optional<software_version>
stream_directory::sole_version(service_id const& service, duration lifetime,
                               duration margin) const
{
    time_point const now = boot_time();
    // An instance uses its list for as long as it may check keys with its
    // configuration.
    return m_state.m_software.sole_version(
        service, now - lifetime - m_state.m_settings.m_key_validity - margin,
        now);
}

void stream_directory::note_begun(serving::stream_origin origin,
                                  std::chrono::milliseconds timeout)
{
    time_point const now = boot_time();
    origin.m_lifetime = lifetime_in_timeouts * timeout;
    m_state.m_streams.add(origin, now);
    while (!m_own.empty() &&
           (m_own.front().first <= now || m_own.size() >= max_own_streams))
    {
        m_own.pop_front();
    }
    m_own.emplace_back(now + origin.m_lifetime, origin.m_stream);
    if (sole_version(origin.m_service, origin.m_lifetime, proof_margin))
    {
        m_uniform[origin.m_service] = timeout;
        return;
    }
    m_uniform.erase(origin.m_service);
    send_origins({origin});
}

void stream_directory::on_upstreams()
{
    time_point const now = boot_time();
    std::vector<serving::stream_origin> unsent;
    for (auto item = m_uniform.begin(); item != m_uniform.end();)
    {
        auto const [service, timeout] = *item;
        if (sole_version(service, lifetime_in_timeouts * timeout, proof_margin))
        {
            ++item;
            continue;
        }
        item = m_uniform.erase(item);
        for (auto const& [expires_at, stream] : m_own)
        {
            auto origin = m_state.m_streams.find(stream, now);
            if (origin && origin->m_service == service)
            {
                unsent.push_back(std::move(*origin));
            }
        }
    }
    if (!unsent.empty())
    {
        send_origins(unsent);
    }
}

void stream_directory::send_origins(
    std::vector<serving::stream_origin> const& origins)
{
    std::map<std::string, peer::stream_records> messages; // by address
    serving::news_outbox items;
    items.m_streams.reserve(origins.size());
    for (serving::stream_origin const& origin : origins)
    {
        items.m_streams.push_back(serving::digest_of_stream(origin.m_stream));
        for (serving::member const& keeper : m_state.m_roster.record_keepers(
                 origin.m_stream, keepers, boot_time()))
        {
            messages[keeper.m_address].m_origins.push_back(origin);
        }
    }
    for (auto& [address, records] : messages)
    {
        m_state.m_metrics.count("daisylead_stream_origins_sent_total", {},
                                records.m_origins.size());
        call_keeper(address, records, max_calls, [](auto const&) {});
    }
    // All instances learn of them with the next news: any number of keepers may
    // be lost at once.
    m_state.m_roster.enqueue(items, {}, boot_time());
}

void stream_directory::call_keeper(std::string const& address,
                                   peer::stream_records const& records,
                                   int calls, reply_hook const& on_reply)
{
    m_exchange.call(
        address, records,
        [this, address, records, calls,
         on_reply](std::optional<peer::message_body> const& reply)
        {
            if (!reply && calls > 1)
            {
                call_keeper(address, records, calls - 1, on_reply);
                return;
            }
            auto const* const known =
                reply ? std::get_if<peer::stream_records>(&*reply) : nullptr;
            on_reply(known == nullptr ? peer::stream_records() : *known);
        });
}

peer::message_body stream_directory::on_message(peer::message_body const& body)
{
    auto const* const records = std::get_if<peer::stream_records>(&body);
    if (records == nullptr)
    {
        return peer::none{};
    }
    time_point const now = boot_time();
    for (serving::stream_origin const& origin : records->m_origins)
    {
        m_state.m_streams.add(origin, now);
    }
    peer::stream_records reply;
    for (std::string const& stream : records->m_asked)
    {
        if (auto origin = m_state.m_streams.find(stream, now))
        {
            origin->m_proven =
                check(*origin, now).m_proof == serving::process_proof::proven;
            reply.m_origins.push_back(std::move(*origin));
        }
    }
    return reply;
}

awaitable<std::optional<serving::stream_origin>>
stream_directory::ask_peers(std::string stream)
{
    struct answers
    {
        explicit answers(boost::asio::any_io_executor const& executor)
            : m_timer(executor, ask_timeout)
        {
        }

        boost::asio::steady_timer m_timer; ///< cancelled when all is known
        std::size_t m_open = 0;
        std::optional<serving::stream_origin> m_origin;
    };
    auto const result = std::make_shared<answers>(m_executor);
    for (serving::member const& keeper :
         m_state.m_roster.record_keepers(stream, asked_keepers, boot_time()))
    {
        ++result->m_open;
        call_keeper(keeper.m_address, peer::stream_records{{}, {stream}},
                    max_calls,
                    [result](peer::stream_records const& records)
                    {
                        --result->m_open;
                        if (!records.m_origins.empty())
                        {
                            result->m_origin = records.m_origins.front();
                        }
                        if (result->m_origin || result->m_open == 0)
                        {
                            result->m_timer.cancel();
                        }
                    });
    }
    if (result->m_open > 0)
    {
        boost::system::error_code ignored;
        co_await result->m_timer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    co_return result->m_origin;
}

serving::process_check
stream_directory::check(serving::stream_origin const& origin,
                        time_point now) const
{
    return m_state.m_processes.check(
        {origin.m_upstream, origin.m_started, origin.m_software},
        now - origin.m_age, origin.m_proven);
}

awaitable<stream_directory::join_check>
stream_directory::confirm(serving::stream_origin origin,
                          time_point connected_at,
                          std::chrono::milliseconds timeout)
{
    bool const confirmed = co_await m_confirm(boot_time());
    time_point const now = boot_time();
    origin.m_age = now - connected_at;
    auto const sole = confirmed ? sole_version(origin.m_service,
                                               lifetime_in_timeouts * timeout)
                                : std::optional<software_version>();
    serving::process_check const result = check(origin, now);
    // A process that came after its record was read is not in the history of
    // versions yet.
    bool const is_sole = sole == origin.m_software &&
                         result.m_proof != serving::process_proof::ended;
    if (!is_sole && result.m_proof != serving::process_proof::proven)
    {
        nlohmann::json fields = describe(origin, result, now);
        fields["stream"] = origin.m_stream;
        fields["confirmed"] = confirmed;
        telemetry::log(severity::info, "stream_origin_unproven", fields);
        co_return join_check::refused;
    }
    co_return confirmed ? join_check::confirmed : join_check::unconfirmed;
}

awaitable<std::optional<stream_directory::requirement>>
stream_directory::find(std::string stream, service_id service,
                       std::chrono::milliseconds timeout)
{
    bool const confirmed = co_await m_confirm(boot_time());
    std::optional<serving::stream_origin> origin =
        m_state.m_streams.find(stream, boot_time());
    // Any instance may have begun the stream, with a list that was read before
    // it was resumed.
    service_id const& begun_by = origin ? origin->m_service : service;
    auto const sole =
        confirmed ? sole_version(begun_by, lifetime_in_timeouts * timeout)
                  : std::optional<software_version>();
    if (sole && (!origin || (origin->m_software == *sole &&
                             check(*origin, boot_time()).m_proof !=
                                 serving::process_proof::ended)))
    {
        co_return requirement{begun_by, *sole, "only version", confirmed};
    }
    std::string source = "known";
    if (!origin && !stream.empty())
    {
        origin = co_await ask_peers(stream);
        source = "peer";
    }
    time_point const now = boot_time();
    serving::process_check const result =
        origin ? check(*origin, now) : serving::process_check();
    if (result.m_proof != serving::process_proof::proven)
    {
        nlohmann::json fields =
            origin ? describe(*origin, result, now) : nlohmann::json::object();
        fields["stream"] = stream;
        fields["service"] = service.value();
        fields["confirmed"] = confirmed;
        fields["unproven"] = origin.has_value();
        fields["source"] = source;
        telemetry::log(severity::info, "stream_origin_unknown", fields);
        co_return std::nullopt;
    }
    co_return requirement{origin->m_service, origin->m_software, source,
                          confirmed};
}

} // namespace daisylead::entry
