/** @file Transport by Cap'n Proto RPC on a KJ thread. */
#include <daisylead/peer/make_transport_func.hpp>

#include "codec.hpp"

#include <daisylead/base/error_type.hpp>
#include <daisylead/telemetry/log_func.hpp>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fcntl.h>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace daisylead::peer
{

namespace
{

/** Calls to one peer that may wait for a reply; more fail at once, so that a
 *  silent peer cannot take all memory. */
constexpr std::size_t max_open_calls = 512;

/** Maximum size of a message of a peer; the largest ones hold a
 *  configuration. */
constexpr std::uint64_t max_message_words = (16 << 20) / sizeof(capnp::word);

/** Delay before a connection is accepted again, or the thread's work goes on,
 *  after an error, for example when no file descriptor is free. */
constexpr std::chrono::milliseconds retry_delay{50};

capnp::ReaderOptions reader_options()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = max_message_words;
    return options;
}

void log_failure(char const* event, std::string const& text)
{
    telemetry::log(telemetry::severity::warning, event, {{"error", text}});
}

/** Work that another thread hands to the KJ thread. */
using task = std::function<void()>;

/** A queue that wakes the KJ thread through a pipe. */
class task_queue
{
public:
    task_queue()
    {
        if (::pipe2(m_pipe, O_CLOEXEC | O_NONBLOCK) != 0)
        {
            throw error("cannot create a pipe for the peer transport");
        }
    }

    task_queue(task_queue const&) = delete;
    task_queue& operator=(task_queue const&) = delete;

    ~task_queue()
    {
        ::close(m_pipe[0]);
        ::close(m_pipe[1]);
    }

    /** May be called from any thread. */
    void post(task item)
    {
        std::lock_guard const lock(m_mutex);
        m_tasks.push_back(std::move(item));
        char const byte = 0;
        // A full pipe already wakes the reader.
        ssize_t const written = ::write(m_pipe[1], &byte, 1);
        (void)written;
    }

    std::vector<task> take()
    {
        std::lock_guard const lock(m_mutex);
        return std::exchange(m_tasks, {});
    }

    int read_end() const
    {
        return m_pipe[0];
    }

private:
    int m_pipe[2] = {-1, -1};
    std::mutex m_mutex;
    std::vector<task> m_tasks; ///< guarded by m_mutex
};

/** A message that waits for the reply of this process. */
struct open_reply
{
    kj::Own<kj::PromiseFulfiller<void>> m_fulfiller;
    message m_reply;
    bool m_dropped = false;
};

class peer_server final : public wire::Peer::Server
{
public:
    peer_server(message_hook on_message, std::shared_ptr<task_queue> queue)
        : m_on_message(std::move(on_message)), m_queue(std::move(queue))
    {
    }

    kj::Promise<void> deliver(DeliverContext context) override
    {
        auto pair = kj::newPromiseAndFulfiller<void>();
        auto state = std::make_shared<open_reply>();
        state->m_fulfiller = kj::mv(pair.fulfiller);
        m_on_message(decode(context.getParams().getMessage()),
                     [state, queue = m_queue](message reply)
                     {
                         queue->post(
                             [state, reply = std::move(reply)]() mutable
                             {
                                 state->m_reply = std::move(reply);
                                 state->m_fulfiller->fulfill();
                             });
                     });
        return pair.promise.then(
            [state, context]() mutable
            { encode(state->m_reply, context.getResults().initReply()); });
    }

private:
    message_hook m_on_message;
    std::shared_ptr<task_queue> m_queue;
};

/** A stream that counts what it receives. */
class counted_stream final : public kj::AsyncIoStream
{
public:
    explicit counted_stream(kj::Own<kj::AsyncIoStream> inner)
        : m_inner(kj::mv(inner))
    {
    }

    std::uint64_t received() const
    {
        return m_received;
    }

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes,
                                     std::size_t max_bytes) override
    {
        return read_on(static_cast<kj::byte*>(buffer), min_bytes, max_bytes, 0);
    }

    kj::Promise<void> write(void const* buffer, std::size_t size) override
    {
        return m_inner->write(buffer, size);
    }

    kj::Promise<void>
    write(kj::ArrayPtr<kj::ArrayPtr<kj::byte const> const> pieces) override
    {
        return m_inner->write(pieces);
    }

    kj::Promise<void> whenWriteDisconnected() override
    {
        return m_inner->whenWriteDisconnected();
    }

    void shutdownWrite() override
    {
        m_inner->shutdownWrite();
    }

private:
    /** Reads until there are enough bytes, and counts those of each read.
     *  @param before bytes that were read already */
    kj::Promise<std::size_t> read_on(kj::byte* buffer, std::size_t min_bytes,
                                     std::size_t max_bytes, std::size_t before)
    {
        return m_inner
            ->tryRead(buffer, std::min<std::size_t>(min_bytes, 1), max_bytes)
            .then(
                [=, this](std::size_t size) -> kj::Promise<std::size_t>
                {
                    m_received += size;
                    if (size == 0 || size >= min_bytes)
                    {
                        return before + size;
                    }
                    return read_on(buffer + size, min_bytes - size,
                                   max_bytes - size, before + size);
                });
    }

    kj::Own<kj::AsyncIoStream> m_inner;
    std::uint64_t m_received = 0;
};

/** @return whether the reply may hold a document. Such calls have a connection
 *  of their own: others must not wait behind the reply, nor fail with it. */
bool has_large_reply(message const& content)
{
    auto const* const news = std::get_if<serving::fleet_news>(&content.m_body);
    return std::holds_alternative<serving::document_request>(content.m_body) ||
           (news != nullptr &&
            (news->m_wants_rules || news->m_wants_upstreams));
}

/** Names a connection: the address of the peer, and whether it is for calls
 *  with large replies. */
using connection_key = std::pair<std::string, bool>;

/** The connection to one peer. */
class connection
{
public:
    explicit connection(kj::Own<kj::AsyncIoStream> stream)
        : m_stream(kj::mv(stream)),
          m_network(m_stream, capnp::rpc::twoparty::Side::CLIENT,
                    reader_options()),
          m_rpc(capnp::makeRpcClient(m_network)), m_peer(bootstrap())
    {
    }

    /** @return bytes received so far. */
    std::uint64_t received() const
    {
        return m_stream.received();
    }

    wire::Peer::Client& peer()
    {
        return m_peer;
    }

private:
    wire::Peer::Client bootstrap()
    {
        capnp::MallocMessageBuilder message;
        auto id = message.initRoot<capnp::rpc::twoparty::VatId>();
        id.setSide(capnp::rpc::twoparty::Side::SERVER);
        return m_rpc.bootstrap(id).castAs<wire::Peer>();
    }

    counted_stream m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
    wire::Peer::Client m_peer;
};

/** A connection that a peer has made. */
class accepted_connection
{
public:
    accepted_connection(kj::Own<kj::AsyncIoStream> stream,
                        wire::Peer::Client server)
        : m_stream(kj::mv(stream)),
          m_network(*m_stream, capnp::rpc::twoparty::Side::SERVER,
                    reader_options()),
          m_rpc(capnp::makeRpcServer(m_network, kj::mv(server)))
    {
    }

    kj::Promise<void> wait_for_end()
    {
        return m_network.onDisconnect();
    }

private:
    kj::Own<kj::AsyncIoStream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
};

struct peer_state
{
    std::shared_ptr<connection> m_connection;
    std::size_t m_open_calls = 0;
};

/** A failed task needs no handling: each call reports its own failure. */
class failure_sink final : public kj::TaskSet::ErrorHandler
{
public:
    void taskFailed(kj::Exception&&) override {}
};

class capnp_transport final : public transport
{
public:
    capnp_transport(std::string address, message_hook on_message)
        : m_address(std::move(address)), m_on_message(std::move(on_message)),
          m_queue(std::make_shared<task_queue>())
    {
        std::future<void> listening = m_listening.get_future();
        m_thread = std::thread([this] { run(); });
        try
        {
            listening.get();
        }
        catch (...)
        {
            m_thread.join();
            throw;
        }
    }

    ~capnp_transport() noexcept override
    {
        stop();
    }

    void send(std::string const& address, message content,
              std::chrono::milliseconds timeout, reply_hook on_reply) override
    {
        m_queue->post(
            [this, address, content = std::move(content), timeout,
             on_reply = std::move(on_reply)]() mutable
            { begin_call(address, std::move(content), timeout, on_reply); });
    }

    void stop() override
    {
        if (!m_thread.joinable())
        {
            return;
        }
        m_queue->post([this] { m_stop->fulfill(); });
        m_thread.join();
    }

private:
    void run()
    {
        try
        {
            kj::AsyncIoContext io = kj::setupAsyncIo();
            m_io = &io;
            serve(io);
        }
        catch (kj::Exception const& failure)
        {
            report_failure(failure.getDescription().cStr());
        }
        catch (std::exception const& failure)
        {
            report_failure(failure.what());
        }
    }

    void report_failure(std::string const& text)
    {
        if (m_listening_reported)
        {
            log_failure("peer_transport_failed", text);
            return;
        }
        m_listening.set_exception(std::make_exception_ptr(
            listen_error("cannot listen on " + m_address + ": " + text)));
    }

    void serve(kj::AsyncIoContext& io)
    {
        auto address = io.provider->getNetwork()
                           .parseAddress(m_address.c_str())
                           .wait(io.waitScope);
        kj::Own<kj::ConnectionReceiver> receiver = address->listen();
        wire::Peer::Client server(kj::heap<peer_server>(m_on_message, m_queue));
        failure_sink failures;
        kj::TaskSet tasks(failures);
        m_tasks = &tasks;
        auto stop_pair = kj::newPromiseAndFulfiller<void>();
        m_stop = kj::mv(stop_pair.fulfiller);
        auto wake = io.lowLevelProvider->wrapInputFd(
            m_queue->read_end(), kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
        tasks.add(accept_peers(*receiver, server));
        tasks.add(run_tasks(*wake));
        m_listening_reported = true;
        m_listening.set_value();
        stop_pair.promise.wait(io.waitScope);
        m_peers.clear();
        m_tasks = nullptr;
    }

    kj::Promise<void> pause()
    {
        return m_io->provider->getTimer().afterDelay(retry_delay.count() *
                                                     kj::MILLISECONDS);
    }

    kj::Promise<void> accept_peers(kj::ConnectionReceiver& receiver,
                                   wire::Peer::Client& server)
    {
        // It throws at once, instead of by its promise, if a connection waits.
        return kj::evalNow([&receiver] { return receiver.accept(); })
            .then(
                [this, &receiver, &server](
                    kj::Own<kj::AsyncIoStream> stream) -> kj::Promise<void>
                {
                    m_accept_failed = false;
                    auto accepted =
                        kj::heap<accepted_connection>(kj::mv(stream), server);
                    auto ended = accepted->wait_for_end();
                    m_tasks->add(ended.attach(kj::mv(accepted)));
                    return accept_peers(receiver, server);
                },
                [this, &receiver,
                 &server](kj::Exception&& failure) -> kj::Promise<void>
                {
                    // Once for a series of failures.
                    if (!std::exchange(m_accept_failed, true))
                    {
                        log_failure("peer_accept_failed",
                                    failure.getDescription().cStr());
                    }
                    return pause().then(
                        [this, &receiver, &server]
                        { return accept_peers(receiver, server); });
                });
    }

    kj::Promise<void> run_tasks(kj::AsyncInputStream& wake)
    {
        return kj::evalNow(
                   [this, &wake] {
                       return wake.tryRead(m_wake_buffer, 1,
                                           sizeof m_wake_buffer);
                   })
            .then(
                [this, &wake](std::size_t) -> kj::Promise<void>
                {
                    for (task& item : m_queue->take())
                    {
                        run_task(item);
                    }
                    return run_tasks(wake);
                },
                [this, &wake](kj::Exception&& failure) -> kj::Promise<void>
                {
                    log_failure("peer_task_failed",
                                failure.getDescription().cStr());
                    return pause().then([this, &wake]
                                        { return run_tasks(wake); });
                });
    }

    /** Runs a task; its failure must not end the tasks after it. */
    static void run_task(task const& item)
    {
        try
        {
            item();
        }
        catch (kj::Exception const& failure)
        {
            log_failure("peer_task_failed", failure.getDescription().cStr());
        }
        catch (std::exception const& failure)
        {
            log_failure("peer_task_failed", failure.what());
        }
    }

    kj::Promise<std::shared_ptr<connection>> connect(connection_key const& key)
    {
        peer_state& state = m_peers[key];
        if (state.m_connection)
        {
            return state.m_connection;
        }
        return m_io->provider->getNetwork()
            .parseAddress(key.first.c_str())
            .then([](kj::Own<kj::NetworkAddress> parsed)
                  { return parsed->connect().attach(kj::mv(parsed)); })
            .then(
                [this, key](kj::Own<kj::AsyncIoStream> stream)
                {
                    peer_state& target = m_peers[key];
                    if (!target.m_connection)
                    {
                        target.m_connection =
                            std::make_shared<connection>(kj::mv(stream));
                    }
                    return target.m_connection;
                });
    }

    /** Sends a message and waits for its reply. */
    static kj::Promise<message> exchange(std::shared_ptr<connection> target,
                                         message const& content)
    {
        auto request = target->peer().deliverRequest();
        encode(content, request.initMessage());
        return request.send()
            .then([](auto response) { return decode(response.getReply()); })
            .attach(kj::heap(std::move(target)));
    }

    kj::Promise<message> call(connection_key const& key, message content,
                              kj::Duration limit)
    {
        return m_io->provider->getTimer().timeoutAfter(
            limit, connect(key).then(
                       [content = std::move(content)](
                           std::shared_ptr<connection> target)
                       { return exchange(std::move(target), content); }));
    }

    /** A large reply may take long on a narrow link: its peer is silent only if
     *  nothing comes. */
    kj::Promise<message> call_large(connection_key const& key, message content,
                                    kj::Duration limit)
    {
        return m_io->provider->getTimer()
            .timeoutAfter(limit, connect(key))
            .then(
                [this, content = std::move(content),
                 limit](std::shared_ptr<connection> const& target)
                {
                    return exchange(target, content)
                        .exclusiveJoin(fail_when_silent(target, limit));
                });
    }

    /** @return a promise that fails once nothing has been received for
     *          @p limit */
    kj::Promise<message> fail_when_silent(std::shared_ptr<connection> target,
                                          kj::Duration limit)
    {
        std::uint64_t const received = target->received();
        return m_io->provider->getTimer().afterDelay(limit).then(
            [this, target = std::move(target), limit,
             received]() -> kj::Promise<message>
            {
                if (target->received() == received)
                {
                    return KJ_EXCEPTION(DISCONNECTED, "the peer is silent");
                }
                return fail_when_silent(target, limit);
            });
    }

    void begin_call(std::string const& address, message content,
                    std::chrono::milliseconds timeout,
                    reply_hook const& on_reply)
    {
        connection_key const key(address, has_large_reply(content));
        peer_state& state = m_peers[key];
        if (m_tasks == nullptr || state.m_open_calls >= max_open_calls)
        {
            on_reply(std::nullopt);
            return;
        }
        ++state.m_open_calls;
        auto const limit = timeout.count() * kj::MILLISECONDS;
        auto limited = key.second ? call_large(key, std::move(content), limit)
                                  : call(key, std::move(content), limit);
        m_tasks->add(limited.then(
            [this, key, on_reply](message reply)
            {
                --m_peers[key].m_open_calls;
                on_reply(std::move(reply));
            },
            [this, key, on_reply](kj::Exception const&)
            {
                // The next call connects anew: after a timeout the
                // connection may lead to a host that is gone.
                peer_state& failed = m_peers[key];
                --failed.m_open_calls;
                failed.m_connection.reset();
                on_reply(std::nullopt);
            }));
    }

    std::string m_address;
    message_hook m_on_message;
    std::shared_ptr<task_queue> m_queue;
    std::promise<void> m_listening;
    bool m_listening_reported = false; ///< KJ thread only
    std::thread m_thread;

    // Used by the KJ thread only.
    kj::AsyncIoContext* m_io = nullptr;
    kj::TaskSet* m_tasks = nullptr;
    kj::Own<kj::PromiseFulfiller<void>> m_stop;
    std::map<connection_key, peer_state> m_peers;
    bool m_accept_failed = false; ///< the last accept failed
    char m_wake_buffer[256] = {};
};

} // namespace

std::unique_ptr<transport> make_transport(std::string const& address,
                                          message_hook on_message)
{
    return std::make_unique<capnp_transport>(address, std::move(on_message));
}

} // namespace daisylead::peer
