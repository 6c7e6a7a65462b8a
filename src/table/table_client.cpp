/** @file HTTP client of the platform's services. */
#include <daisylead/table/table_client_base.hpp>

#include <nlohmann/json.hpp>

#include <utility>

namespace daisylead::table
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_reply_bytes = 64U << 20U; ///< bytes
constexpr int status_ok = 200;
constexpr int status_conflict = 409;

json encode(table_transaction const& transaction)
{
    json body = {{"conditions", json::array()},
                 {"puts", json::array()},
                 {"deletes", transaction.m_deletes}};
    for (table_condition const& item : transaction.m_conditions)
    {
        json condition = {{"row", item.m_row}};
        if (item.m_version == 0)
        {
            condition["absent"] = true;
        }
        else
        {
            condition["version"] = item.m_version;
        }
        body["conditions"].push_back(std::move(condition));
    }
    for (table_put const& item : transaction.m_puts)
    {
        body["puts"].push_back(
            {{"row", item.m_row}, {"value", json::parse(item.m_value)}});
    }
    return body;
}

std::vector<table_row> decode_rows(json const& rows)
{
    std::vector<table_row> result;
    for (json const& row : rows)
    {
        json const value = row.value("value", json());
        result.push_back({row.value("row", ""),
                          row.value("version", std::int64_t{0}),
                          value.is_null() ? std::string() : value.dump()});
    }
    return result;
}

bool is_complete(http::client_response const& response)
{
    return response.m_result.m_status == http::transfer_status::complete;
}

transaction_reply decode_commit(json const& body)
{
    transaction_reply reply;
    reply.m_status = transaction_status::committed;
    for (auto const& [row, version] : body.at("versions").items())
    {
        reply.m_rows.push_back({row, version.get<std::int64_t>(), {}});
    }
    return reply;
}

transaction_reply decode_transaction(http::client_response const& response)
{
    if (!response.m_result.m_may_have_sent)
    {
        return {transaction_status::not_applied, {}};
    }
    if (!is_complete(response))
    {
        return {transaction_status::unknown, {}};
    }
    try
    {
        json const body = json::parse(response.m_body);
        if (response.m_result.m_http_status == status_ok)
        {
            return decode_commit(body);
        }
        if (response.m_result.m_http_status == status_conflict)
        {
            return {transaction_status::conflict, decode_rows(body.at("rows"))};
        }
    }
    catch (json::exception const&)
    {
        return {transaction_status::unknown, {}};
    }
    return {transaction_status::unknown, {}};
}

read_reply decode_read(http::client_response const& response)
{
    if (!is_complete(response) || response.m_result.m_http_status != status_ok)
    {
        return {};
    }
    try
    {
        return {true, decode_rows(json::parse(response.m_body).at("rows"))};
    }
    catch (json::exception const&)
    {
        return {};
    }
}

listed_instance decode_instance(json const& item)
{
    listed_instance instance;
    instance.m_id = item.at("id").get<std::string>();
    instance.m_role = item.value("role", "entry") == "upstream"
                          ? instance_role::upstream
                          : instance_role::entry;
    instance.m_peer = item.value("peer", "");
    instance.m_zone = item.value("zone", "");
    instance.m_region = item.value("region", "");
    instance.m_leaving = item.value("state", "live") == "leaving";
    return instance;
}

std::optional<std::vector<listed_instance>>
decode_instances(http::client_response const& response)
{
    if (!is_complete(response) || response.m_result.m_http_status != status_ok)
    {
        return std::nullopt;
    }
    try
    {
        std::vector<listed_instance> instances;
        json const body = json::parse(response.m_body);
        for (json const& item : body.at("instances"))
        {
            instances.push_back(decode_instance(item));
        }
        return instances;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace

table_client::table_client(platform_options options, http::client& client)
    : m_options(std::move(options)), m_client(client)
{
}

http::client_request table_client::make_request(std::string method,
                                                std::string const& path) const
{
    http::client_request request;
    request.m_method = std::move(method);
    request.m_url = "http://" + m_options.m_address + path;
    request.m_connect_timeout = m_options.m_timeout;
    request.m_total_timeout = m_options.m_timeout;
    return request;
}

void table_client::transact(table_transaction const& transaction,
                            std::function<void(transaction_reply)> on_reply)
{
    http::client_request request = make_request("POST", "/table/transact");
    // libcurl resends a request when a reused connection fails early. A
    // transaction that is applied twice would conflict with its own first
    // application.
    request.m_fresh_connection = true;
    request.m_body =
        std::make_shared<std::string const>(encode(transaction).dump());
    start_whole(
        m_client, std::move(request), max_reply_bytes,
        [on_reply = std::move(on_reply)](http::client_response const& response)
        { on_reply(decode_transaction(response)); });
}

void table_client::read(table_read const& query,
                        std::function<void(read_reply)> on_reply)
{
    http::client_request request = make_request("POST", "/table/read");
    json const body = {{"rows", query.m_rows}, {"prefixes", query.m_prefixes}};
    request.m_body = std::make_shared<std::string const>(body.dump());
    start_whole(
        m_client, std::move(request), max_reply_bytes,
        [on_reply = std::move(on_reply)](http::client_response const& response)
        { on_reply(decode_read(response)); });
}

void table_client::get_object(
    std::string const& name,
    std::function<void(std::optional<std::string>)> on_reply)
{
    start_whole(
        m_client, make_request("GET", "/objects/" + name), max_reply_bytes,
        [on_reply = std::move(on_reply)](http::client_response response)
        {
            bool const found = is_complete(response) &&
                               response.m_result.m_http_status == status_ok;
            on_reply(found ? std::optional(std::move(response.m_body))
                           : std::nullopt);
        });
}

void table_client::put_object(std::string const& name, std::string content,
                              std::function<void(bool)> on_reply)
{
    http::client_request request = make_request("PUT", "/objects/" + name);
    request.m_body = std::make_shared<std::string const>(std::move(content));
    start_whole(
        m_client, std::move(request), max_reply_bytes,
        [on_reply = std::move(on_reply)](http::client_response const& response)
        {
            on_reply(is_complete(response) &&
                     response.m_result.m_http_status == status_ok);
        });
}

void table_client::list_instances(
    std::function<void(std::optional<std::vector<listed_instance>>)> on_reply)
{
    start_whole(
        m_client, make_request("GET", "/instances"), max_reply_bytes,
        [on_reply = std::move(on_reply)](http::client_response const& response)
        { on_reply(decode_instances(response)); });
}

} // namespace daisylead::table
