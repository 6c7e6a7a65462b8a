/** @file What the entry instance needs from the adapter to a platform. */
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

/** What the system tells an upstream along with a request. */
struct upstream_call
{
    upstream_id m_upstream;                  ///< the only one that may run it
    organisation_id m_organisation;          ///< empty on open routes
    std::chrono::milliseconds m_time_left{}; ///< until the caller gives up
    std::int64_t m_weights = 0;              ///< version it must run on; 0: any
    std::string m_cache_scope;    ///< only equal scopes share cached prompts
    std::string m_fetch_from;     ///< "IP:port" of a KV cache store
    std::string m_save_to;        ///< "IP:port" of a KV cache store
    std::optional<int> m_urgency; ///< 0 is the most urgent
    std::string m_last_event;     ///< resume the stream after this event
};

/** What an upstream's answer says. */
struct answer_info
{
    std::string m_request_id;   ///< request that it answers; empty: not said
    bool m_sealed = false;      ///< signed by the upstream
    bool m_not_run = false;     ///< the upstream did not run the request
    bool m_misdirected = false; ///< another upstream, or other weights
    std::string m_upstream;     ///< who says so; empty: not said
    bool m_encoded = false;     ///< not the upstream's own bytes
    std::int64_t m_weights = 0; ///< version that it ran on; 0: not said
    bool m_leaving = false;     ///< the upstream takes no new work
    /** The upstream wants no request for this long. */
    std::optional<std::chrono::milliseconds> m_retry_after;
};

/** State of an engine as it reports it. */
struct engine_report
{
    std::uint64_t m_accepted_orders = 0;        ///< accepted since its start
    bool m_busy = false;                        ///< carries out an order
    std::map<model_id, std::int64_t> m_weights; ///< loaded versions
};

/** An order to load weights. */
struct load_order
{
    upstream_id m_upstream;     ///< the engine
    std::string m_address;      ///< "IP:port"
    model_id m_model;           ///< the model
    std::int64_t m_version = 0; ///< to load
    std::uint64_t m_token = 0;  ///< fencing token of the sender
    std::uint64_t m_expected_orders =
        0; ///< number of orders that it must have seen
};

/** State of a KV cache store. */
struct kv_store_state
{
    std::int64_t m_epoch = 0; ///< changes when it restarts empty
    std::uint64_t m_next = 0; ///< to ask for what comes after this answer
};

enum class order_outcome
{
    accepted, ///< it loads, or it has the version already
    refused,  ///< it did not take the order
    unknown   ///< no answer; it may take it at any time
};

/** A document with the time of the read. */
struct document_read
{
    serving::document m_document; ///< content
    time_point m_read_at;         ///< when the call was sent
};

/** Result of a write under a condition. */
struct lease_write
{
    enum class status
    {
        written,
        conflict, ///< the row had changed
        unknown   ///< it may have been written
    };
    status m_status = status::unknown; ///< outcome
    std::uint64_t m_version = 0;       ///< of the row, if written
};

/** Calls and formats of one platform. The hooks run on the instance's thread.
 *  They name, format and call; they decide nothing. */
struct adapter
{
    /** @return the request's description, or nothing if it has no id. */
    std::function<serving::request_description(request_header const&)>
        m_describe;
    /** Replaces the header fields that only the system may set. */
    std::function<void(request_header&, upstream_call const&)>
        m_set_upstream_fields;
    /** Reads the header of an answer. */
    std::function<answer_info(response_header const&)> m_read_answer;
    /** Path of readiness checks. */
    std::string m_ready_path;

    /** Reads the configuration; nothing if the store gave no answer. */
    std::function<awaitable<std::optional<document_read>>()> m_read_rules;
    /** Reads service discovery. */
    std::function<awaitable<std::optional<document_read>>()> m_read_upstreams;
    /** Decodes the configuration; nothing if it holds none. */
    std::function<std::optional<serving::catalog>(std::string const&)>
        m_decode_rules;
    /** Decodes service discovery. */
    std::function<std::vector<serving::upstream_record>(std::string const&)>
        m_decode_upstreams;
    /** Reads the rows of the instances. */
    std::function<awaitable<std::optional<std::vector<serving::member>>>()>
        m_read_members;
    /** Writes this instance's row. @return whether it is stored */
    std::function<awaitable<bool>(serving::member const&)> m_write_member;
    /** Reads the order lease. */
    std::function<awaitable<std::optional<serving::lease_row_state>>()>
        m_read_lease;
    /** Writes the order lease if its row has the expected version; to give it
     *  up, with an empty holder and the time since its last order. */
    std::function<awaitable<lease_write>(std::uint64_t expected,
                                         instance_id const& holder,
                                         duration since_last_order)>
        m_write_lease;
    /** Asks an engine for its state. */
    std::function<awaitable<std::optional<engine_report>>(
        upstream_id const&, std::string const& address)>
        m_read_report;
    /** Waits a short time for changes of a KV cache store.
     *  @return nothing if it gave no answer */
    std::function<awaitable<std::optional<kv_store_state>>(
        std::string const& address, std::uint64_t since)>
        m_watch_kv_store;
    /** Sends an order to an engine. */
    std::function<awaitable<order_outcome>(load_order const&)> m_send_order;
};

} // namespace daisylead::entry
