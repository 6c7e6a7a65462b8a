/** @file Where streams began that callers may resume at any instance. */
#pragma once

#include "fleet_exchange.hpp"

#include <daisylead/serving/stream_registry_base.hpp>

#include <list>
#include <map>

namespace daisylead::entry
{

/** Finds the process that began a stream. While all upstreams of a service
 *  have had the same software version, nothing is recorded or sent. Else this
 *  instance sends the origin of each stream to a few peers at once and to all
 *  with the next news, so that any instance that is left knows it. */
class stream_directory
{
public:
    /** Waits until service discovery is known to be as read at @p after or
     *  later. @return false if the store did not answer */
    using confirm_hook = std::function<awaitable<bool>(time_point after)>;

    stream_directory(boost::asio::any_io_executor const& executor,
                     fleet_state& state, fleet_exchange& exchange,
                     confirm_hook confirm);
    stream_directory(stream_directory const&) = delete;
    stream_directory& operator=(stream_directory const&) = delete;

    /** Records a stream that has its first event now.
     *  @param timeout of its route */
    void note_begun(serving::stream_origin origin,
                    std::chrono::milliseconds timeout);

    /** Software that a resumed stream needs. */
    struct requirement
    {
        service_id m_service;        ///< service that began the stream
        software_version m_software; ///< version that began it
        std::string m_source;        ///< how it is known, for the log
        bool m_confirmed = false;    ///< service discovery was read again
    };

    /** Whether a stream may go on at another upstream. */
    enum class join_check
    {
        refused,    ///< the version that began it is not known for sure
        confirmed,  ///< service discovery was read again
        unconfirmed ///< its version is known, but those of other upstreams may
                    ///< have changed since the last read
    };

    /** Finds out which software version a stream needs.
     *  @param stream id of the request that began it; may be empty
     *  @param service service that would get a new stream
     *  @param timeout of its route
     *  @return nothing if it cannot be proven */
    awaitable<std::optional<requirement>>
    find(std::string stream, service_id service,
         std::chrono::milliseconds timeout);

    /** Reads service discovery again before a stream that this instance has
     *  begun goes on at another upstream.
     *  @param connected_at when the connection on which it began was made
     *  @param timeout of its route */
    awaitable<join_check> confirm(serving::stream_origin origin,
                                  time_point connected_at,
                                  std::chrono::milliseconds timeout);

private:
    using reply_hook = std::function<void(peer::stream_records const&)>;

    /** @param calls at most, if the peer does not answer */
    void call_keeper(std::string const& address,
                     peer::stream_records const& records, int calls,
                     reply_hook const& on_reply);
    /** Checks that the software in the origin of a stream is the one that
     *  began it. */
    serving::process_check check(serving::stream_origin const& origin,
                                 time_point now) const;
    std::optional<software_version> sole_version(service_id const& service,
                                                 duration lifetime,
                                                 duration margin = {}) const;
    awaitable<std::optional<serving::stream_origin>>
    ask_peers(std::string stream);
    void on_upstreams();
    void send_origins(std::vector<serving::stream_origin> const& origins);
    peer::message_body on_message(peer::message_body const& body);

    boost::asio::any_io_executor m_executor;
    fleet_state& m_state;
    fleet_exchange& m_exchange;
    confirm_hook m_confirm;
    /** Ids of the streams that this instance began, with the end of their
     *  lifetime, for the time at which a second version appears; oldest
     *  first. */
    std::list<std::pair<time_point, std::string>> m_own;
    /** Services whose streams need not be sent, with the route's timeout. */
    std::map<service_id, std::chrono::milliseconds> m_uniform;
};

} // namespace daisylead::entry
