/** @file Calls of instances' operator ports. */
#include "operator_client.hpp"

#include <daisylead/access/key_digest_type.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace daisylead::ctl
{

namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_committed = 202;
constexpr int status_unauthorized = 401;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_invalid = 422;
constexpr int first_success_status = 200;
constexpr int first_redirect_status = 300;
constexpr int first_server_error = 500;

constexpr std::chrono::milliseconds max_connect_timeout{1000};
constexpr std::size_t max_shown_body = 200; ///< bytes of an error response

bool is_complete(http::client_response const& response)
{
    return response.m_result.m_status == http::transfer_status::complete;
}

int status_of(http::client_response const& response)
{
    return is_complete(response) ? response.m_result.m_http_status : 0;
}

bool is_success(http::client_response const& response)
{
    int const status = status_of(response);
    return status >= first_success_status && status < first_redirect_status;
}

bool is_denied(http::client_response const& response)
{
    int const status = status_of(response);
    return status == status_unauthorized || status == status_forbidden;
}

json parse_object(std::string const& body)
{
    json parsed = json::parse(body, nullptr, false);
    return parsed.is_object() ? parsed : json::object();
}

/** @return the cause of a failure without control characters. */
std::string describe(http::client_response const& response)
{
    if (!is_complete(response))
    {
        return response.m_result.m_message;
    }
    if (is_denied(response))
    {
        return "the operator token is missing or wrong";
    }
    std::string text = response.m_body.substr(0, max_shown_body);
    std::replace_if(
        text.begin(), text.end(),
        [](char item) { return static_cast<unsigned char>(item) < ' '; }, ' ');
    return "status " + std::to_string(response.m_result.m_http_status) + " " +
           text;
}

std::vector<finding> read_findings(json const& body)
{
    std::vector<finding> findings;
    for (json const& item : body.value("findings", json::array()))
    {
        findings.push_back({item.value("file", std::string()),
                            item.value("line", 0), item.value("column", 0),
                            item.value("message", std::string())});
    }
    return findings;
}

stored_configuration read_stored(std::string const& body)
{
    json const parsed = parse_object(body);
    return {config_version(parsed.value("version", std::int64_t{0})),
            parsed.value("hash", std::string()),
            parsed.value("text", std::string())};
}

} // namespace

operator_client::operator_client(std::vector<std::string> addresses,
                                 std::string token, milliseconds timeout)
    : m_addresses(std::move(addresses)), m_token(std::move(token)),
      m_timeout(timeout)
{
}

http::client_response operator_client::send(std::string const& address,
                                            std::string const& method,
                                            std::string const& path,
                                            http::header_list headers,
                                            http::shared_body body)
{
    http::client_request request;
    request.m_method = method;
    request.m_url = "http://" + address + path;
    request.m_headers = std::move(headers);
    if (!m_token.empty())
    {
        request.m_headers.push_back({"Authorization", "Bearer " + m_token});
    }
    request.m_body = std::move(body);
    // A reused connection may be resent by libcurl without notice.
    request.m_fresh_connection = true;
    request.m_connect_timeout = std::min(max_connect_timeout, m_timeout);
    request.m_total_timeout = m_timeout;
    return http::fetch(m_client, std::move(request));
}

std::string operator_client::get(std::string const& path, bool everywhere)
{
    std::string cause;
    bool answered = false;
    for (std::string const& address : m_addresses)
    {
        http::client_response const response = send(address, "GET", path);
        if (is_success(response))
        {
            return response.m_body;
        }
        cause = address + ": " + describe(response);
        answered = answered || is_complete(response);
        int const status = status_of(response);
        bool const final_answer = status != 0 && status < first_server_error &&
                                  !(status == status_not_found && everywhere);
        if (final_answer)
        {
            break;
        }
    }
    if (!answered)
    {
        throw unreachable_error("no instance could be reached; " + cause);
    }
    throw error(cause);
}

stored_configuration operator_client::read_configuration()
{
    try
    {
        return read_stored(get("/config", true));
    }
    catch (json::exception const&)
    {
        throw error("the response to GET /config has an unexpected form");
    }
}

apply_result
operator_client::read_outcome(http::client_response const& response) const
{
    json const body = parse_object(response.m_body);
    apply_result result;
    result.m_version = config_version(body.value("version", std::int64_t{0}));
    switch (status_of(response))
    {
    case status_ok:
        result.m_status = apply_status::accepted;
        break;
    case status_committed:
        result.m_status = apply_status::committed;
        break;
    case status_conflict:
        result.m_status = apply_status::conflict;
        break;
    case status_invalid:
        result.m_status = apply_status::invalid;
        result.m_findings = read_findings(body);
        break;
    default:
        result.m_status = apply_status::failed;
        result.m_message = describe(response);
    }
    return result;
}

apply_result operator_client::apply(std::string const& text,
                                    config_version expected)
{
    http::header_list const headers = {
        {"Content-Type", "application/toml"},
        {"X-Daisylead-Expected-Version", std::to_string(expected.value())}};
    auto const body = std::make_shared<std::string const>(text);
    bool uncertain = false;
    std::string cause;
    for (std::string const& address : m_addresses)
    {
        http::client_response const response =
            send(address, "POST", "/config", headers, body);
        int const status = status_of(response);
        if (status != 0 && status < first_server_error)
        {
            apply_result result = read_outcome(response);
            bool const own_change =
                result.m_status == apply_status::conflict && uncertain &&
                is_in_force(text, expected, result.m_version);
            if (own_change)
            {
                result.m_status = apply_status::committed;
            }
            return result;
        }
        cause = address + ": " + describe(response);
        // A server error may follow a commit whose response was lost.
        uncertain =
            uncertain || status != 0 || response.m_result.m_may_have_sent;
    }
    if (!uncertain)
    {
        throw unreachable_error("no instance could be reached; " + cause);
    }
    return resolve(text, expected, cause);
}

bool operator_client::is_in_force(std::string const& text,
                                  config_version expected,
                                  config_version& version)
{
    stored_configuration const stored = read_configuration();
    bool const same = stored.m_version > expected &&
                      stored.m_hash == access::sha256_hex(text);
    if (same)
    {
        version = stored.m_version;
    }
    return same;
}

apply_result operator_client::resolve(std::string const& text,
                                      config_version expected,
                                      std::string const& cause)
{
    apply_result result;
    result.m_message = cause;
    try
    {
        bool const stored = is_in_force(text, expected, result.m_version);
        result.m_status =
            stored ? apply_status::committed : apply_status::unknown;
    }
    catch (error const&)
    {
        result.m_status = apply_status::unknown;
    }
    return result;
}

void operator_client::drain()
{
    std::string const& address = m_addresses.front();
    http::client_response const response =
        send(address, "POST", "/drain", {}, std::make_shared<std::string>());
    if (is_success(response))
    {
        return;
    }
    std::string const cause = address + ": " + describe(response);
    if (!is_complete(response) && !response.m_result.m_may_have_sent)
    {
        throw unreachable_error("the instance could not be reached; " + cause);
    }
    throw error(cause);
}

} // namespace daisylead::ctl
