/** @file Interface between the entry instance and a platform. */
#pragma once

#include <daisylead/serving/fleet_news_type.hpp>
#include <daisylead/serving/order_lease_base.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisylead::entry
{

using request_header = boost::beast::http::header<true>;
using response_header = boost::beast::http::header<false>;

template <class T>
using awaitable = boost::asio::awaitable<T>;

/** Metadata sent to an upstream with a request. */
struct upstream_call
{
    upstream_id m_upstream; ///< the only upstream that may run the request
    organisation_id m_organisation;          ///< empty on open routes
    std::chrono::milliseconds m_time_left{}; ///< until the caller's deadline
    std::int64_t m_weights = 0;   ///< required weights version; 0: any
    std::string m_cache_scope;    ///< prompts are cached separately per scope
    std::string m_fetch_from;     ///< "IP:port" of a KV cache store
    std::string m_save_to;        ///< "IP:port" of a KV cache store
    std::optional<int> m_urgency; ///< 0 is the most urgent
    std::string m_last_event;     ///< resume the stream after this event
};

/** Metadata read from the header of an upstream's answer. */
struct answer_info
{
    std::string m_request_id;   ///< request that it answers; empty: not stated
    bool m_sealed = false;      ///< signed by the upstream
    bool m_not_run = false;     ///< the upstream did not run the request
    bool m_misdirected = false; ///< wrong upstream or wrong weights
    std::string m_upstream;     ///< upstream that answered; empty: not stated
    bool m_encoded = false;     ///< content-encoded, not the upstream's bytes
    std::int64_t m_weights = 0; ///< weights version used; 0: not stated
    bool m_leaving = false;     ///< upstream shuts down, takes no new work
    /** The upstream must get no request for this long. */
    std::optional<std::chrono::milliseconds> m_retry_after;
    /** Requests per second that the upstream takes from all instances together;
     *  nothing: not limited. */
    std::optional<double> m_rate_limit;
};

/** State that an engine reports about itself. */
struct engine_report
{
    std::uint64_t m_accepted_orders = 0; ///< orders accepted since its start
    bool m_busy = false;                 ///< an order is in progress
    std::map<model_id, std::int64_t> m_weights; ///< loaded versions
};

/** An order to load weights. */
struct load_order
{
    upstream_id m_upstream;              ///< the engine
    std::string m_address;               ///< "IP:port"
    model_id m_model;                    ///< the model
    std::int64_t m_version = 0;          ///< version to load
    std::uint64_t m_token = 0;           ///< fencing token of the sender
    std::uint64_t m_expected_orders = 0; ///< precondition: accepted so far
};

/** State of a KV cache store. */
struct kv_store_state
{
    std::int64_t m_epoch = 0; ///< changes when it restarts empty
    std::uint64_t m_next = 0; ///< position from which to request later changes
};

enum class order_outcome
{
    accepted, ///< the engine loads the version or already has it
    refused,  ///< the engine rejected the order
    unknown   ///< no answer; the engine may still accept the order
};

/** A document and the time at which it was read. */
struct document_read
{
    serving::document m_document; ///< content
    time_point m_read_at;         ///< when the read was sent
    std::size_t m_size = 0;       ///< bytes that the store sent
};

/** Result of a conditional write of the lease row. */
struct lease_write
{
    enum class status
    {
        written,
        conflict, ///< the row version did not match
        unknown   ///< it may have been written
    };
    status m_status = status::unknown; ///< outcome
    std::uint64_t m_version = 0;       ///< new version of the row, if written
};

/** Calls and formats of one platform. The hooks run on the instance's
 *  thread. They translate names and formats and make calls; all decisions
 *  are made by the instance. */
struct adapter
{
    /** @return the parsed request, or nothing if it has no id. */
    std::function<serving::request_description(request_header const&)>
        m_describe;
    /** Sets the header fields that callers must not set themselves, and
     *  removes what callers sent in them. */
    std::function<void(request_header&, upstream_call const&)>
        m_set_upstream_fields;
    /** Reads the header of an answer. */
    std::function<answer_info(response_header const&)> m_read_answer;
    /** Path of readiness checks. */
    std::string m_ready_path;

    /** Reads the configuration; nothing if the store did not answer. */
    std::function<awaitable<std::optional<document_read>>()> m_read_rules;
    /** Reads the service discovery document; nothing if the store did not
     *  answer. */
    std::function<awaitable<std::optional<document_read>>()> m_read_upstreams;
    /** Decodes the configuration; nothing if the bytes hold none. */
    std::function<std::optional<serving::catalog>(std::string const&)>
        m_decode_rules;
    /** Rewrites a configuration for peers of builds that fetch it as a whole;
     *  empty: they read the same form. */
    std::function<std::string(std::string const&)> m_rules_for_earlier_builds;
    /** Decodes service discovery. */
    std::function<std::vector<serving::upstream_record>(std::string const&)>
        m_decode_upstreams;
    /** Reads the member rows of all instances. */
    std::function<awaitable<std::optional<std::vector<serving::member>>>()>
        m_read_members;
    /** Writes this instance's member row. @return whether it is stored */
    std::function<awaitable<bool>(serving::member const&)> m_write_member;
    /** Reads the row of the order lease. */
    std::function<awaitable<std::optional<serving::lease_row_state>>()>
        m_read_lease;
    /** Writes the order lease if its row has the expected version.
     *  @param holder this instance; empty to release the lease
     *  @param since_last_order time since the last order, for a release */
    std::function<awaitable<lease_write>(std::uint64_t expected,
                                         instance_id const& holder,
                                         duration since_last_order)>
        m_write_lease;
    /** Reads the blocked prompt parts; nothing if the store did not answer. */
    std::function<
        awaitable<std::optional<std::vector<request::blocked_part>>>()>
        m_read_blocked_parts;
    /** Records a blocked prompt part. @return whether it is stored */
    std::function<awaitable<bool>(request::blocked_part const&)>
        m_write_blocked_part;
    /** Removes the record of a prompt part that is no longer blocked.
     *  @return whether it is removed */
    std::function<awaitable<bool>(request::part_digest)> m_erase_blocked_part;
    /** Asks an engine for its state. */
    std::function<awaitable<std::optional<engine_report>>(
        upstream_id const&, std::string const& address)>
        m_read_report;
    /** Long-polls a KV cache store for changes.
     *  @return nothing if it did not answer */
    std::function<awaitable<std::optional<kv_store_state>>(
        std::string const& address, std::uint64_t since)>
        m_watch_kv_store;
    /** Sends an order to an engine. */
    std::function<awaitable<order_outcome>(load_order const&)> m_send_order;
};

} // namespace daisylead::entry
