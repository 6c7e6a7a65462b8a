/** @file Parsing of callers' requests. */
#include "request_parser.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace daisylead::daemon
{

namespace
{

using nlohmann::json;
using request::endpoint;
using request::refusal;
using request::refusal_code;
using request::run_outcome;

/** Separators that cannot be part of valid text, so that two different message
 *  lists never have the same canonical bytes. */
constexpr char field_separator = '\x1f';
constexpr char message_separator = '\x1e';

constexpr std::size_t max_idempotency_key = 200; ///< bytes

/** Copying and writing of JSON values recurses, so deeper nesting could exhaust
 *  the stack. */
constexpr int max_nesting = 64;
constexpr std::string_view bearer_prefix = "Bearer ";

constexpr std::array<std::string_view, 16> private_headers = {
    "authorization",
    "x-api-key",
    "cookie",
    "api-key",
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "host",
    "content-length",
    "expect",
    "x-auth-token",
    "proxy-authorization",
    "proxy-connection"};

constexpr std::array<std::string_view, 8> private_parameters = {
    "key",   "api_key",      "apikey",    "api-key",
    "token", "access_token", "x-api-key", "authorization"};

std::string to_lower(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return lower;
}

refusal malformed(std::string message)
{
    return {refusal_code::malformed, run_outcome::not_run, std::nullopt,
            std::move(message)};
}

/** @return whether brackets outside of strings nest deeper than max_nesting. */
bool is_nested_too_deeply(std::string_view text)
{
    int depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        char const c = text[i];
        if (in_string && c == '\\')
        {
            ++i;
        }
        else if (c == '"')
        {
            in_string = !in_string;
        }
        else if (!in_string && (c == '[' || c == '{'))
        {
            ++depth;
        }
        else if (!in_string && (c == ']' || c == '}'))
        {
            --depth;
        }
        if (depth > max_nesting)
        {
            return true;
        }
    }
    return false;
}

endpoint find_endpoint(http::server_request const& received)
{
    bool const is_post = received.m_method == "POST";
    if (is_post && received.m_path == "/v1/chat/completions")
    {
        return endpoint::chat_completions;
    }
    if (is_post && received.m_path == "/v1/completions")
    {
        return endpoint::completions;
    }
    if (received.m_method == "GET" && received.m_path == "/v1/models")
    {
        return endpoint::models;
    }
    return endpoint::service;
}

std::optional<access::key_digest> read_key(http::header_list const& headers)
{
    auto const authorization = http::find_header(headers, "Authorization");
    if (authorization && authorization->size() > bearer_prefix.size() &&
        http::same_header_name(
            std::string_view(*authorization).substr(0, bearer_prefix.size()),
            bearer_prefix))
    {
        return access::digest_key(
            std::string_view(*authorization).substr(bearer_prefix.size()));
    }
    auto const key = http::find_header(headers, "X-Api-Key");
    if (key && !key->empty())
    {
        return access::digest_key(*key);
    }
    return std::nullopt;
}

std::optional<std::int64_t> parse_integer(std::string const& text)
{
    std::int64_t value = 0;
    char const* const end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

/** Reads the headers that any endpoint accepts.
 *  @return a message if one is invalid, else an empty text */
std::string read_common_headers(http::server_request const& received,
                                request::request_info& info)
{
    info.m_key = read_key(received.m_headers);
    info.m_idempotency_key =
        http::find_header(received.m_headers, "Idempotency-Key");
    if (info.m_idempotency_key &&
        (info.m_idempotency_key->empty() ||
         info.m_idempotency_key->size() > max_idempotency_key))
    {
        return "Idempotency-Key must have 1 to 200 bytes";
    }
    auto const deadline =
        http::find_header(received.m_headers, "X-Daisylead-Deadline-Ms");
    if (!deadline)
    {
        return {};
    }
    auto const millis = parse_integer(*deadline);
    if (!millis || *millis <= 0)
    {
        return "X-Daisylead-Deadline-Ms must be a positive integer";
    }
    info.m_deadline = std::chrono::milliseconds(*millis);
    return {};
}

/** Appends the text of a message's content, which is a string or a list of
 *  parts. */
bool append_content(json const& content, std::string& prompt)
{
    if (content.is_string())
    {
        prompt += content.get_ref<std::string const&>();
        return true;
    }
    if (content.is_array())
    {
        prompt += content.dump();
        return true;
    }
    return content.is_null();
}

bool append_messages(json const& messages, std::string& prompt)
{
    if (!messages.is_array() || messages.empty())
    {
        return false;
    }
    for (json const& message : messages)
    {
        if (!message.is_object() || !message.contains("role") ||
            !message["role"].is_string() || !message.contains("content"))
        {
            return false;
        }
        prompt += message["role"].get_ref<std::string const&>();
        prompt += field_separator;
        if (!append_content(message["content"], prompt))
        {
            return false;
        }
        prompt += message_separator;
    }
    return true;
}

/** @return a message if the body is invalid, else an empty text. */
std::string read_model_body(json const& body, request::request_info& info)
{
    if (!body.is_object())
    {
        return "the body must be a JSON object";
    }
    if (!body.contains("model") || !body["model"].is_string())
    {
        return "'model' must be a string";
    }
    info.m_model = body["model"].get<std::string>();
    std::string prompt;
    if (info.m_endpoint == endpoint::chat_completions)
    {
        if (!body.contains("messages") ||
            !append_messages(body["messages"], prompt))
        {
            return "'messages' must be a list of objects with role and content";
        }
    }
    else if (body.contains("prompt") && body["prompt"].is_string())
    {
        prompt = body["prompt"].get<std::string>();
    }
    else
    {
        return "'prompt' must be a string";
    }
    info.m_prompt = std::make_shared<std::string const>(std::move(prompt));
    return {};
}

std::string read_model_options(json const& body, request::request_info& info)
{
    if (body.contains("stream"))
    {
        if (!body["stream"].is_boolean())
        {
            return "'stream' must be true or false";
        }
        info.m_stream = body["stream"].get<bool>();
    }
    char const* const name = body.contains("max_completion_tokens")
                                 ? "max_completion_tokens"
                                 : "max_tokens";
    if (!body.contains(name) || body[name].is_null())
    {
        return {};
    }
    if (!body[name].is_number_integer() || body[name].get<std::int64_t>() <= 0)
    {
        return std::string("'") + name + "' must be a positive integer";
    }
    info.m_max_tokens = token_count(body[name].get<std::int64_t>());
    return {};
}

bool is_private_parameter(std::string_view parameter)
{
    std::string const name = to_lower(parameter.substr(0, parameter.find('=')));
    return std::find(private_parameters.begin(), private_parameters.end(),
                     name) != private_parameters.end();
}

} // namespace

std::variant<parsed_request, request::refusal>
parse_request(http::server_request const& received, request_id const& id)
{
    parsed_request result;
    request::request_info& info = result.m_info;
    info.m_id = id;
    info.m_endpoint = find_endpoint(received);
    info.m_path = received.m_path;
    std::string problem = read_common_headers(received, info);
    if (!problem.empty())
    {
        return malformed(std::move(problem));
    }
    info.m_body_digest = access::sha256_hex(received.m_method +
                                            field_separator + received.m_path +
                                            field_separator + received.m_query +
                                            field_separator + *received.m_body);
    if (info.m_endpoint == endpoint::models ||
        info.m_endpoint == endpoint::service)
    {
        return result;
    }
    if (is_nested_too_deeply(*received.m_body))
    {
        return malformed("the body is nested too deeply");
    }
    result.m_body = json::parse(*received.m_body, nullptr, false);
    if (result.m_body.is_discarded())
    {
        return malformed("the body is not valid JSON");
    }
    problem = read_model_body(result.m_body, info);
    if (problem.empty())
    {
        problem = read_model_options(result.m_body, info);
    }
    if (!problem.empty())
    {
        return malformed(std::move(problem));
    }
    return result;
}

http::header_list forwardable_headers(http::header_list const& headers)
{
    http::header_list result;
    for (http::header const& field : headers)
    {
        std::string const name = to_lower(field.m_name);
        if (std::find(private_headers.begin(), private_headers.end(), name) ==
            private_headers.end())
        {
            result.push_back(field);
        }
    }
    return result;
}

std::string forwardable_query(std::string const& query)
{
    std::string result;
    std::size_t begin = 0;
    while (begin < query.size())
    {
        std::size_t end = query.find('&', begin);
        end = end == std::string::npos ? query.size() : end;
        std::string_view const parameter =
            std::string_view(query).substr(begin, end - begin);
        if (!is_private_parameter(parameter))
        {
            result += result.empty() ? "" : "&";
            result += parameter;
        }
        begin = end + 1;
    }
    return result;
}

} // namespace daisylead::daemon
