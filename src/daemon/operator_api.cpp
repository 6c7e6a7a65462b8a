/** @file The operators' HTTP interface. */
#include "operator_api.hpp"

#include <daisylead/access/key_digest_type.hpp>

#include <nlohmann/json.hpp>

#include <charconv>
#include <fstream>
#include <utility>

namespace daisylead::daemon
{

namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_bad_request = 400;
constexpr int status_unauthorised = 401;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_invalid = 422;
constexpr int status_unavailable = 503;
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view requests_prefix = "/requests/";

void send_json(http::response_writer& writer, int status, json const& body)
{
    writer.send(status, {{"Content-Type", "application/json"}},
                body.dump(2, ' ', false, json::error_handler_t::replace) + "\n",
                false);
}

void send_error(http::response_writer& writer, int status,
                std::string const& code, std::string const& message)
{
    send_json(writer, status,
              {{"error", {{"code", code}, {"message", message}}}});
}

int to_http(core::publish_status status)
{
    switch (status)
    {
    case core::publish_status::accepted:
        return status_ok;
    case core::publish_status::committed:
        return status_accepted;
    case core::publish_status::conflict:
        return status_conflict;
    case core::publish_status::invalid:
        return status_invalid;
    case core::publish_status::failed:
        return status_unavailable;
    }
    return status_unavailable;
}

json to_json(core::publish_answer const& answer)
{
    json findings = json::array();
    for (finding const& item : answer.m_findings)
    {
        findings.push_back({{"file", item.m_file},
                            {"line", item.m_line},
                            {"column", item.m_column},
                            {"message", item.m_message}});
    }
    return {{"status", core::to_string(answer.m_status)},
            {"version", answer.m_version.value()},
            {"message", answer.m_message},
            {"outstanding", answer.m_outstanding},
            {"findings", findings}};
}

std::optional<std::int64_t> parse_version(std::string const& text)
{
    std::int64_t value = 0;
    char const* const end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end || value < 0)
    {
        return std::nullopt;
    }
    return value;
}

/** @return resident memory of this process, bytes; 0 if unknown. */
std::int64_t resident_bytes()
{
    constexpr std::int64_t page_size = 4096;
    std::ifstream stream("/proc/self/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    stream >> total >> resident;
    return resident * page_size;
}

} // namespace

operator_api::operator_api(std::string token, core::control const& control,
                           telemetry::metrics& metrics, operator_hooks hooks)
    : m_token(std::move(token)), m_control(control), m_metrics(metrics),
      m_hooks(std::move(hooks))
{
}

bool operator_api::is_permitted(http::server_request const& request) const
{
    bool const is_probe =
        request.m_path == "/livez" || request.m_path == "/readyz";
    if (m_token.empty() || is_probe)
    {
        return true;
    }
    std::string const given =
        http::find_header(request.m_headers, "Authorization").value_or("");
    if (!given.starts_with(bearer_prefix))
    {
        return false;
    }
    return access::equal_in_constant_time(
        access::digest_key(
            std::string_view(given).substr(bearer_prefix.size())),
        access::digest_key(m_token));
}

void operator_api::answer(http::server_request const& request,
                          std::shared_ptr<http::response_writer> const& writer)
{
    std::string const& path = request.m_path;
    bool const is_post = request.m_method == "POST";
    time_point const now = m_hooks.m_now();
    if (!is_permitted(request))
    {
        send_error(*writer, status_unauthorised, "unauthorised",
                   "an operator token is required");
    }
    else if (path == "/livez")
    {
        send_json(*writer, status_ok, {{"live", true}});
    }
    else if (path == "/readyz")
    {
        bool const ready = m_control.is_ready(now);
        send_json(*writer, ready ? status_ok : status_unavailable,
                  {{"ready", ready}});
    }
    else if (path == "/metrics")
    {
        show_metrics(*writer);
    }
    else if (path == "/state")
    {
        send_json(*writer, status_ok, m_control.dump(now));
    }
    else if (path.starts_with(requests_prefix))
    {
        explain(path.substr(requests_prefix.size()), *writer);
    }
    else if (path == "/config" && is_post)
    {
        publish(request, writer);
    }
    else if (path == "/config")
    {
        show_configuration(*writer);
    }
    else if (path == "/drain" && is_post)
    {
        m_hooks.m_handle(core::drain_requested{});
        send_json(*writer, status_ok, {{"draining", true}});
    }
    else
    {
        send_error(*writer, status_not_found, "not_found", "no such path");
    }
}

void operator_api::show_metrics(http::response_writer& writer)
{
    auto const& current = m_control.configuration();
    m_metrics.set("daisylead_config_version",
                  current ? static_cast<double>(current->m_version.value())
                          : 0);
    m_metrics.set("daisylead_ready",
                  m_control.is_ready(m_hooks.m_now()) ? 1 : 0);
    m_metrics.set("daisylead_resident_bytes",
                  static_cast<double>(resident_bytes()));
    writer.send(status_ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                m_metrics.render(), false);
}

void operator_api::explain(std::string const& id,
                           http::response_writer& writer) const
{
    auto const found = m_control.explain(request_id(id));
    if (!found)
    {
        send_error(writer, status_not_found, "unknown_request",
                   "this instance does not know the request any more");
        return;
    }
    send_json(writer, status_ok, *found);
}

void operator_api::show_configuration(http::response_writer& writer) const
{
    auto const& current = m_control.configuration();
    if (!current)
    {
        send_json(writer, status_ok,
                  {{"version", 0}, {"hash", ""}, {"text", ""}});
        return;
    }
    send_json(writer, status_ok,
              {{"version", current->m_version.value()},
               {"hash", current->m_hash},
               {"text", current->m_text}});
}

void operator_api::publish(http::server_request const& request,
                           std::shared_ptr<http::response_writer> const& writer)
{
    auto const header =
        http::find_header(request.m_headers, "X-Daisylead-Expected-Version");
    auto const expected = header ? parse_version(*header) : std::nullopt;
    if (!expected)
    {
        send_error(*writer, status_bad_request, "malformed",
                   "X-Daisylead-Expected-Version must be a version number");
        return;
    }
    core::operator_token const call = ++m_last_call;
    m_publishing.emplace(call, writer);
    m_hooks.m_handle(core::publish_requested{call, config_version(*expected),
                                             *request.m_body});
}

void operator_api::answer(core::publish_answer const& answer)
{
    auto const call = m_publishing.extract(answer.m_token);
    if (!call.empty())
    {
        send_json(*call.mapped(), to_http(answer.m_status), to_json(answer));
    }
}

} // namespace daisylead::daemon
