/** @file HTTP client for short calls over pooled connections. */
#include <daisylead/entry/http_caller_base.hpp>

#include "http_connection.hpp"

#include <daisylead/entry/boot_time_func.hpp>

#include <boost/beast/http/empty_body.hpp>

namespace daisylead::entry
{

namespace
{

/** Maximum size of an answer, bytes; all rows of a table come in one answer,
 * and a row may hold the largest document in base64. */
constexpr std::size_t max_answer_size = 24 << 20;

} // namespace

class http_caller::impl
{
public:
    explicit impl(asio::any_io_executor executor) : m_pool(std::move(executor))
    {
    }

    awaitable<std::optional<http_answer>> call(http_call request)
    {
        ++m_calls;
        time_point const began = boot_time();
        auto const report = [&](std::size_t size, std::string failure)
        {
            if (request.m_on_end)
            {
                request.m_on_end(
                    {size, boot_time() - began, std::move(failure)});
            }
        };
        http_route const way{request.m_address, "", {}};
        auto const made =
            co_await m_pool.get(way, request.m_timeout, request.m_fresh);
        std::shared_ptr<http_connection> connection = made.m_connection;
        if (!connection)
        {
            report(0, "no connection");
            co_return std::nullopt;
        }
        http::request<http::empty_body> message;
        message.method_string(request.m_method);
        message.target(request.m_target);
        message.version(11);
        message.set(http::field::host, request.m_address);
        for (auto const& [name, value] : request.m_headers)
        {
            message.set(name, value);
        }
        if (!request.m_body.empty())
        {
            message.set(http::field::content_type, "application/json");
        }
        connection->begin(
            std::move(message.base()),
            std::make_shared<std::string const>(std::move(request.m_body)),
            request.m_timeout);
        http_answer answer;
        io_result read_result = co_await connection->read_header();
        if (read_result == io_result::ok)
        {
            answer.m_status = connection->status();
            answer.m_fields = connection->header();
            read_result = co_await connection->read_rest(
                answer.m_body, max_answer_size, nullptr, request.m_silence);
        }
        report(answer.m_body.size(), read_result == io_result::ok ? ""
                                     : read_result == io_result::timed_out
                                         ? "timed out"
                                         : "broken");
        if (read_result != io_result::ok)
        {
            connection->abort();
            co_return std::nullopt;
        }
        if (request.m_fresh)
        {
            connection->abort();
        }
        else
        {
            m_pool.put(std::move(connection));
        }
        co_return answer;
    }

    std::uint64_t m_calls = 0;

private:
    connection_pool m_pool;
};

http_caller::http_caller(boost::asio::any_io_executor executor)
    : m_impl(std::make_unique<impl>(std::move(executor)))
{
}

http_caller::~http_caller() = default;

boost::asio::awaitable<std::optional<http_answer>>
http_caller::call(http_call request)
{
    co_return co_await m_impl->call(std::move(request));
}

std::uint64_t http_caller::calls() const
{
    return m_impl->m_calls;
}

} // namespace daisylead::entry
