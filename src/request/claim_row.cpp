/** @file Encoding of claim rows. */
#include "claim_row.hpp"

#include <daisylead/access/key_digest_type.hpp>

#include <nlohmann/json.hpp>

namespace daisylead::request
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_row_body_bytes = 64U << 10U; ///< bytes
constexpr std::size_t max_escaped_key_bytes = 512;     ///< bytes
constexpr std::string_view unreserved_characters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view hex_digits = "0123456789ABCDEF";
    std::string result;
    for (char const c : text)
    {
        if (unreserved_characters.find(c) != std::string_view::npos)
        {
            result += c;
            continue;
        }
        auto const byte = static_cast<unsigned char>(c);
        result += '%';
        result += hex_digits[byte >> 4U];
        result += hex_digits[byte & 0x0fU];
    }
    return result;
}

json encode_response(claim_row const& row)
{
    json response = {{"status", row.m_status},
                     {"content_type", row.m_content_type}};
    if (row.m_body)
    {
        response["body"] = *row.m_body;
    }
    else
    {
        response["object"] = row.m_object;
    }
    return response;
}

void decode_response(json const& response, claim_row& row)
{
    row.m_status = response.at("status").get<int>();
    row.m_content_type = response.at("content_type").get<std::string>();
    if (response.contains("body"))
    {
        row.m_body = response.at("body").get<std::string>();
    }
    else
    {
        row.m_object = response.at("object").get<std::string>();
    }
}

claim_row decode(json const& value)
{
    claim_row row;
    row.m_digest = value.at("digest").get<std::string>();
    row.m_token = value.at("token").get<std::string>();
    json const& claimant = value.at("claimant");
    row.m_claimant = instance_id(claimant.at("instance").get<std::string>());
    row.m_incarnation =
        incarnation(claimant.at("incarnation").get<std::int64_t>());
    row.m_done = value.at("state").get<std::string>() == "done";
    row.m_ended = value.value("ended", false);
    row.m_wall_ms = value.at("claimed_ms").get<std::int64_t>();
    if (row.m_done && value.contains("response"))
    {
        decode_response(value.at("response"), row);
    }
    return row;
}

} // namespace

std::string claim_row_name(organisation_id const& organisation,
                           std::string_view key)
{
    std::string name = "once/" + percent_encode(organisation.value()) + "/";
    std::string escaped = percent_encode(key);
    // In an escaped key '%' is always followed by two hex digits, so "%sha256"
    // cannot collide with another key.
    name += escaped.size() <= max_escaped_key_bytes
                ? escaped
                : "%sha256-" + access::sha256_hex(key);
    return name;
}

std::string encode(claim_row const& row)
{
    json value = {{"digest", row.m_digest},
                  {"token", row.m_token},
                  {"claimant",
                   {{"instance", row.m_claimant.value()},
                    {"incarnation", row.m_incarnation.value()}}},
                  {"state", row.m_done ? "done" : "claimed"},
                  {"claimed_ms", row.m_wall_ms}};
    if (row.m_ended)
    {
        value["ended"] = true;
    }
    if (row.m_done && row.m_status != 0)
    {
        value["response"] = encode_response(row);
    }
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<claim_row> parse_claim_row(std::string const& value)
{
    try
    {
        return decode(json::parse(value));
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

bool fits_in_row(std::string const& body)
{
    if (body.size() > max_row_body_bytes)
    {
        return false;
    }
    try
    {
        return !json(body).dump().empty();
    }
    catch (json::exception const&)
    {
        return false;
    }
}

std::string object_name(std::string_view body)
{
    return "once/" + access::sha256_hex(body);
}

} // namespace daisylead::request
