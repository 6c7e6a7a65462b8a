/** @file Exchange of news between the entry instances. */
#pragma once

#include "configuration_transfer.hpp"
#include "fleet_state.hpp"

#include <daisylead/peer/transport_base.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

namespace daisylead::entry
{

/** Sends news to peers and applies theirs. The age of the data in a reply
 *  counts from the time at which this instance sent its message, so that a
 *  delayed message never looks newer than it is. serving::fleet_roster
 *  decides which instances exchange news. */
class fleet_exchange
{
public:
    fleet_exchange(boost::asio::any_io_executor const& executor,
                   fleet_state& state,
                   peer::transport_factory const& make_transport);
    ~fleet_exchange();
    fleet_exchange(fleet_exchange const&) = delete;
    fleet_exchange& operator=(fleet_exchange const&) = delete;

    /** Starts the periodic exchange. */
    void start();

    /** Sends news immediately to all peers that depend on this instance for it.
     *  @param from source of the change; empty: this instance */
    void send_now(instance_id const& from = instance_id());

    /** Handles messages of peers that are no news; the result is the reply.
     *  Runs on the thread of the instance. */
    using message_handler =
        std::function<peer::message_body(peer::message_body const&)>;

    void set_message_handler(message_handler handler)
    {
        m_handler = std::move(handler);
    }

    /** Calls a peer.
     *  @param on_reply runs on the thread of the instance, with nothing if no
     *  reply came in time; may not be called when the instance stops */
    void call(std::string const& address, peer::message_body body,
              std::function<void(std::optional<peer::message_body>)> on_reply);

    /** @return start time of this process. */
    time_point started_at() const
    {
        return m_started_at;
    }

    /** @return the member entry of this instance. */
    serving::member const& self() const
    {
        return m_state.m_roster.self();
    }

private:
    /** Parts that a message requests from a peer. */
    struct wanted_parts
    {
        bool m_members = false;
        bool m_rules = false;
        serving::document_state m_announced_rules; ///< if m_rules
        bool m_upstreams = false;
    };

    peer::message_body answer(peer::message_body const& body);
    awaitable<void> send_loop();
    void contact_seeds(time_point now);
    void send_news(instance_id const& id);
    void request_parts(instance_id const& id, wanted_parts wanted);
    serving::fleet_news make_news(serving::peer_state const* peer);
    void send(std::string const& address, serving::fleet_news news,
              instance_id const& to);
    /** @param asked documents that the call requested */
    void note_call_failed(std::string const& address, std::string const& asked,
                          duration elapsed);
    void on_reply(serving::fleet_news const& reply, time_point sent_at);
    void apply_rules(serving::document document, time_point read_at,
                     instance_id const& peer);
    wanted_parts apply_documents(serving::fleet_news const& reply,
                                 time_point sent_at);
    serving::fleet_news handle_news(serving::fleet_news const& news);
    /** @param sent_at when this instance sent the call that the news reply to;
     *  nothing: the peer sent them on its own */
    void apply_news(serving::fleet_news const& news,
                    serving::peer_relation relation,
                    std::optional<time_point> sent_at);
    void apply_usage_and_load(serving::fleet_news const& news,
                              serving::peer_relation relation, time_point now);

    boost::asio::any_io_executor m_executor;
    fleet_state& m_state;
    time_point m_started_at;
    time_point m_next_seed_contact;
    boost::asio::steady_timer m_wake; ///< cancelled to run send_loop() early
    message_handler m_handler;        ///< may be empty
    configuration_transfer m_transfer;
    std::unique_ptr<peer::transport> m_transport;
};

} // namespace daisylead::entry
