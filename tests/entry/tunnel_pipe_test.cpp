/** @file Tests of what the ends of a tunnel look like to the peer. */
#include <entry/tunnel_pipe.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace daisylead;
namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace
{

/** Size of the buffers of the connection to the upstream, bytes. */
constexpr int buffer_size = 4096;

struct connected_pair
{
    tcp::socket m_first;
    tcp::socket m_second;
};

connected_pair connect(asio::io_context& context, int receive_buffer = 0)
{
    tcp::acceptor acceptor(context);
    acceptor.open(tcp::v4());
    if (receive_buffer > 0)
    {
        acceptor.set_option(
            asio::socket_base::receive_buffer_size(receive_buffer));
    }
    acceptor.bind({asio::ip::address_v4::loopback(), 0});
    acceptor.listen();
    tcp::socket first(context);
    first.connect(acceptor.local_endpoint());
    return {std::move(first), acceptor.accept()};
}

/** A tunnel between a peer and an upstream of the test. */
class open_tunnel
{
public:
    open_tunnel()
        : m_to_pipe(connect(m_context)),
          m_to_upstream(connect(m_context, buffer_size)),
          m_pipe(std::make_shared<entry::tunnel_pipe>(
              m_context.get_executor(), std::move(m_to_pipe.m_second), m_open))
    {
        m_to_upstream.m_first.set_option(
            asio::socket_base::send_buffer_size(buffer_size));
        m_pipe->connect(std::move(m_to_upstream.m_first));
        asio::co_spawn(
            m_context,
            [pipe = std::move(m_pipe)]() -> asio::awaitable<void>
            { co_await pipe->run("", true); },
            asio::detached);
    }

    tcp::socket& peer()
    {
        return m_to_pipe.m_first;
    }

    tcp::socket& upstream()
    {
        return m_to_upstream.m_second;
    }

    void reset_upstream()
    {
        upstream().set_option(asio::socket_base::linger(true, 0));
        upstream().close();
    }

    void run_for(std::chrono::milliseconds time)
    {
        m_context.run_for(time);
        m_context.restart();
    }

    /** Sends bytes while the tunnel runs. */
    void send_as_peer(std::size_t size)
    {
        std::string const bytes(size, 'u');
        asio::write(peer(), asio::buffer(bytes));
        run_for(5ms);
    }

    /** @return what the peer reads, and how the connection ends. */
    std::pair<std::string, boost::system::error_code> read_as_peer()
    {
        std::string bytes;
        boost::system::error_code failure;
        peer().non_blocking(true);
        for (int i = 0; i < 200; ++i)
        {
            char part[4096];
            std::size_t const size =
                peer().read_some(asio::buffer(part), failure);
            bytes.append(part, size);
            if (failure && failure != asio::error::would_block)
            {
                break;
            }
            run_for(1ms);
        }
        return {bytes, failure};
    }

    std::size_t open_count() const
    {
        return *m_open;
    }

private:
    asio::io_context m_context{1};
    std::shared_ptr<std::size_t> m_open = std::make_shared<std::size_t>(0);
    connected_pair m_to_pipe;
    connected_pair m_to_upstream;
    std::shared_ptr<entry::tunnel_pipe> m_pipe;
};

} // namespace

TEST_CASE("a tunnel whose upstream resets behind an upload is reset")
{
    // Guards against a reset that the tunnel's write takes: the peer would see
    // a plain end. The sizes go from less than the buffers hold to more.
    for (std::size_t size = 1024; size <= 65536; size += 1024)
    {
        CAPTURE(size);
        open_tunnel tunnel;
        tunnel.send_as_peer(size);
        asio::write(tunnel.upstream(), asio::buffer("part", 4));
        tunnel.reset_upstream();
        CHECK(tunnel.read_as_peer().second == asio::error::connection_reset);
        tunnel.run_for(20ms);
        CHECK(tunnel.open_count() == 0);
    }
}

TEST_CASE("a tunnel ends as its upstream ends before it has read an upload")
{
    // Guards against a tunnel that resets behind an orderly end.
    for (std::size_t size = 1024; size <= 65536; size += 1024)
    {
        CAPTURE(size);
        open_tunnel tunnel;
        tunnel.send_as_peer(size);
        asio::write(tunnel.upstream(), asio::buffer("answer", 6));
        tunnel.upstream().shutdown(tcp::socket::shutdown_send);
        auto const [bytes, end] = tunnel.read_as_peer();
        CHECK(bytes == "answer");
        CHECK(end == asio::error::eof);
        tunnel.peer().close();
        tunnel.upstream().close();
        tunnel.run_for(20ms);
        CHECK(tunnel.open_count() == 0);
    }
}

TEST_CASE("a tunnel goes on to send a request after its upstream has ended")
{
    open_tunnel tunnel;
    tunnel.send_as_peer(1000);
    asio::write(tunnel.upstream(), asio::buffer("answer", 6));
    tunnel.upstream().shutdown(tcp::socket::shutdown_send);
    CHECK(tunnel.read_as_peer().second == asio::error::eof);
    tunnel.send_as_peer(1000);
    std::string bytes(2000, ' ');
    CHECK(asio::read(tunnel.upstream(), asio::buffer(bytes)) == 2000);
}
