/** @file Fetches configurations from peers in parts. */
#pragma once

#include "fleet_state.hpp"

#include <daisylead/peer/message_type.hpp>
#include <daisylead/serving/document_assembly_base.hpp>
#include <daisylead/serving/document_source_base.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <string>

namespace daisylead::entry
{

/** Fetches the newest configuration from the peers that have announced it, one
 *  part at a time from one peer at a time, so that the link of this instance
 *  stays free for other messages. What has been received is kept when a call
 *  fails. Hands the own configuration out in the same way. */
class configuration_transfer
{
public:
    using reply_hook =
        std::function<void(std::optional<peer::message_body> const&)>;

    /** Calls a peer; the reply hook runs on the thread of the instance, with
     *  nothing if no reply came in time. */
    using call_hook = std::function<void(std::string const& address,
                                         peer::message_body body, reply_hook)>;

    /** Takes a complete document.
     *  @param read_at when the store was known to hold it */
    using document_hook =
        std::function<void(serving::document document, time_point read_at,
                           instance_id const& peer)>;

    configuration_transfer(boost::asio::any_io_executor const& executor,
                           fleet_state& state, call_hook call,
                           document_hook on_document);

    /** A peer has announced a configuration that is newer than that of this
     *  instance. */
    void note_newer(serving::member const& peer,
                    serving::document_state const& announced);

    /** Keeps the configuration in force for peers that ask for it. */
    void note_in_force();

    /** @return the part of the configuration that a peer asks for. */
    serving::document_part answer(serving::document_request const& request);

private:
    struct source
    {
        std::string m_address;
        serving::document_state m_announced;
        int m_failures = 0; ///< in a row
    };

    void request_next();
    void on_reply(instance_id const& peer, time_point sent_at,
                  std::optional<peer::message_body> const& reply);
    void on_part(instance_id const& peer, serving::document_part const& part,
                 time_point sent_at);
    void take_document(instance_id const& peer);
    void note_failure(instance_id const& peer, time_point sent_at,
                      std::string const& reason);

    fleet_state& m_state;
    call_hook m_call;
    document_hook m_on_document;
    boost::asio::steady_timer m_retry;
    serving::document_source m_own;
    serving::document_assembly m_assembly;
    time_point m_began; ///< first request of the document in progress
    std::map<instance_id, source> m_sources;
    instance_id m_current;                  ///< peer of the last request
    bool m_waiting = false;                 ///< for a reply or for the next try
    std::uint64_t m_kept_revision = 0;      ///< of the newest one in m_own
    std::uint64_t m_kept_content_order = 0; ///< of the same
};

} // namespace daisylead::entry
