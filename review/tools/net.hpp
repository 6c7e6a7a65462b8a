/** @file Blocking HTTP over loopback sockets, for stand-ins and clients. */
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** A request or an answer. */
struct message
{
    std::string m_start; ///< first line
    std::vector<std::pair<std::string, std::string>> m_fields;
    std::string m_body;

    /** @return value of a header field, or empty. */
    std::string field(std::string_view name) const;

    std::string method() const;
    std::string target() const;
    int status() const;
};

/** How a message ended. */
enum class end_kind
{
    complete,  ///< as its framing says
    cut,       ///< the connection ended before
    no_bytes,  ///< the connection ended before the first byte
    timed_out, ///< nothing came for too long
};

/** A connected socket. */
class connection
{
public:
    explicit connection(int descriptor);
    ~connection();
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    /** @return nothing if the port refuses */
    static std::unique_ptr<connection> open(int port);

    /** Reads a request with its body. */
    end_kind read_request(message& request);

    /** Reads an answer with its body.
     *  @param timeout of the whole answer */
    end_kind read_answer(message& answer, milliseconds timeout);

    /** @return whether all bytes were accepted by the kernel */
    bool write(std::string_view bytes);

    /** @return whether the peer has closed or reset the connection */
    bool is_closed() const;

    /** Ends the sending side. */
    void finish();

    /** Ends the connection in both directions; wakes a blocked read. */
    void shut_down() const;

private:
    end_kind read_head(message& result, clock::time_point until);
    end_kind read_body(message& result, bool until_close,
                       clock::time_point until);
    end_kind read_chunks(message& result, clock::time_point until);
    end_kind need(std::size_t size, clock::time_point until);
    end_kind read_more(clock::time_point until);

    int m_descriptor;
    std::string m_buffer;
};

/** Accepts connections on a free loopback port; one thread for each. */
class server
{
public:
    using handler = std::function<void(connection&)>;

    explicit server(handler run);
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;

    int port() const
    {
        return m_port;
    }

    /** @return "IP:port" */
    std::string address() const;

    void stop();

private:
    void accept_loop();

    handler m_run;
    int m_port = 0; ///< set by the initialisation of m_listener
    int m_listener;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_active = 0;
    std::mutex m_mutex;
    std::set<connection*> m_open; ///< guarded by m_mutex
    std::thread m_acceptor;
};

/** @return a port of the loopback address that nobody listens on. */
int free_port();

/** @return an answer with a length.
 *  @param fields lines of the header, each with its line end */
std::string make_answer(int status, std::string const& fields,
                        std::string const& body);

/** @return bytes as one chunk of a chunked body. */
std::string make_chunk(std::string const& bytes);

} // namespace review
