/** @file Tests of what the HTTP client takes for an answer. */
#include "../base/answer_samples.hpp"

#include <daisylead/http/client_base.hpp>

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace daisylead;
using namespace daisylead::http;
using namespace std::chrono_literals;

namespace
{

/** Answers one request on one connection. */
class one_shot_server
{
public:
    /** @param reset_after reset the connection then, without having read the
     *         whole request; negative: read its head and close */
    one_shot_server(std::string bytes, std::chrono::milliseconds reset_after)
        : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        REQUIRE(::bind(m_listener, generic, size) == 0);
        REQUIRE(::listen(m_listener, 4) == 0);
        REQUIRE(::getsockname(m_listener, generic, &size) == 0);
        m_url =
            "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/";
        m_thread = std::thread([this, bytes = std::move(bytes), reset_after]
                               { serve(bytes, reset_after); });
    }

    ~one_shot_server()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
    }

    one_shot_server(one_shot_server const&) = delete;
    one_shot_server& operator=(one_shot_server const&) = delete;

    std::string const& url() const
    {
        return m_url;
    }

private:
    void serve(std::string const& bytes, std::chrono::milliseconds reset_after)
    {
        int const connection = ::accept(m_listener, nullptr, nullptr);
        if (connection < 0)
        {
            return;
        }
        char part[1024];
        std::string head;
        while (head.find("\r\n\r\n") == std::string::npos)
        {
            ssize_t const size = ::recv(connection, part, sizeof part, 0);
            if (size <= 0)
            {
                break;
            }
            head.append(part, static_cast<std::size_t>(size));
        }
        ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (reset_after >= 0ms)
        {
            std::this_thread::sleep_for(reset_after);
            linger const now{1, 0};
            ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        ::close(connection);
    }

    int m_listener;
    std::string m_url;
    std::thread m_thread;
};

client_response call(std::string const& bytes, std::size_t upload = 0,
                     std::chrono::milliseconds reset_after = -1ms)
{
    one_shot_server const server(bytes, reset_after);
    client client;
    client_request request;
    request.m_url = server.url();
    request.m_fresh_connection = true;
    request.m_total_timeout = 3s;
    if (upload > 0)
    {
        request.m_method = "POST";
        request.m_body =
            std::make_shared<std::string const>(std::string(upload, 'u'));
    }
    return fetch(client, std::move(request));
}

} // namespace

TEST_CASE("the client takes no bytes for an answer that are none")
{
    // Guards against libcurl, which passes on field names and statuses that no
    // answer may have, and bodies in another framing than the server's.
    for (test::invalid_head const& head : test::invalid_heads())
    {
        CAPTURE(head.m_name);
        CHECK(call(make_bytes(head, "")).m_result.m_status !=
              transfer_status::complete);
    }
}

TEST_CASE("the client takes what is an answer")
{
    // Guards against a check that is stricter than the grammar.
    for (std::string const& bytes :
         {std::string("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"),
          std::string("HTTP/1.1 200\r\nContent-Length: 3\r\n\r\nabc"),
          std::string("HTTP/1.0 404 No\r\n\r\nabc"),
          std::string("HTTP/1.1 599 Odd\r\nX!#$%&'*+-.^_`|~9: a\t\xe4\r\n"
                      "Transfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n0\r\n"
                      "After: x\r\n\r\n"),
          std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n"
                      "Link: x\r\n\r\nHTTP/1.1 200 OK\r\n"
                      "Content-Length: 3\r\n\r\nabc")})
    {
        CAPTURE(bytes);
        client_response const response = call(bytes);
        CHECK(response.m_result.m_status == transfer_status::complete);
        CHECK(response.m_body == "abc");
    }
}

TEST_CASE("the client takes no answer that is reset behind an upload")
{
    // Guards against a reset that the write of the request takes.
    for (auto const delay : {0ms, 30ms, 300ms})
    {
        for (int i = 0; i < 8; ++i)
        {
            CAPTURE(delay.count());
            client_response const response =
                call("HTTP/1.1 200 OK\r\n\r\n" + std::string(3000, 'b'),
                     4000000, delay);
            CHECK(response.m_result.m_status != transfer_status::complete);
            CHECK(response.m_result.m_may_have_sent);
        }
    }
}
