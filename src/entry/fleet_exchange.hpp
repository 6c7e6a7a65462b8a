/** @file News between the entry instances. */
#pragma once

#include "fleet_state.hpp"

#include <daisylead/peer/transport_base.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

namespace daisylead::entry
{

/** Sends news to peers and takes theirs. A reply proves the age of what the
 *  peer knows from the moment at which this instance sent its news, so that a
 *  message that was held up never looks newer than it is. Who talks to whom is
 *  decided by serving::fleet_roster. */
class fleet_exchange
{
public:
    fleet_exchange(boost::asio::any_io_executor const& executor,
                   fleet_state& state,
                   peer::transport_factory const& make_transport);
    ~fleet_exchange();
    fleet_exchange(fleet_exchange const&) = delete;
    fleet_exchange& operator=(fleet_exchange const&) = delete;

    /** Starts sending at intervals. */
    void start();

    /** Sends news at once to all peers that depend on it.
     *  @param from who told what is new; empty: this instance */
    void send_now(instance_id const& from = instance_id());

    /** @return when this process started. */
    time_point started_at() const
    {
        return m_started_at;
    }

    /** @return this instance as a member. */
    serving::member const& self() const
    {
        return m_state.m_roster.self();
    }

private:
    /** What a message asks for. */
    struct wanted_parts
    {
        bool m_members = false;
        bool m_rules = false;
        bool m_upstreams = false;
    };

    awaitable<void> send_loop();
    void contact_seeds(time_point now);
    void send_news(instance_id const& id);
    void request_parts(instance_id const& id, wanted_parts wanted);
    serving::fleet_news make_news(serving::peer_state const* peer);
    void send(std::string const& address, serving::fleet_news news,
              instance_id const& to);
    void on_reply(serving::fleet_news const& reply, time_point sent_at);
    wanted_parts apply_documents(serving::fleet_news const& reply,
                                 time_point sent_at);
    serving::fleet_news handle_news(serving::fleet_news const& news);
    void apply_news(serving::fleet_news const& news,
                    serving::peer_relation relation);
    void apply_usage_and_load(serving::fleet_news const& news,
                              serving::peer_relation relation, time_point now);

    boost::asio::any_io_executor m_executor;
    fleet_state& m_state;
    time_point m_started_at;
    time_point m_next_seed_contact;
    boost::asio::steady_timer m_wake; ///< ends the pause of send_loop()
    std::unique_ptr<peer::transport> m_transport;
};

} // namespace daisylead::entry
