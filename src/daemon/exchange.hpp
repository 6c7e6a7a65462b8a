/** @file One caller's request and its attempts at upstreams. */
#pragma once

#include "request_parser.hpp"

#include <daisylead/core/action_type.hpp>
#include <daisylead/http/client_base.hpp>
#include <daisylead/http/response_writer_base.hpp>
#include <daisylead/request/stream_relay_base.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace daisylead::daemon
{

/** Limits and timeouts of an exchange. */
struct exchange_options
{
    instance_id m_instance;                ///< named in response headers
    std::size_t m_stream_buffer = 65536;   ///< bytes waiting for a slow caller
    std::size_t m_max_answer = 16U << 20U; ///< bytes of a whole answer
    std::chrono::milliseconds m_connect_timeout{1000};        ///< to upstreams
    std::chrono::milliseconds m_upstream_idle_timeout{15000}; ///< no bytes
};

/** Reports of an exchange; they run on a traffic thread. */
struct exchange_hooks
{
    /** The first bytes of an answer came. */
    std::function<void(attempt_id const&)> m_on_first_token;
    /** An attempt ended. */
    std::function<void(attempt_id const&, request::attempt_result)>
        m_on_attempt_end;
};

/** The attempt that an exchange runs now. */
struct active_attempt
{
    core::start_attempt m_start;
    http::transfer_id m_transfer = 0;
    int m_status = 0;
    std::string m_content_type;
    std::string m_body;
    bool m_is_stream = false;
    bool m_first_token = false;
    bool m_too_large = false;
};

/** Relays one request between a caller and upstreams. The control thread starts
 *  and ends it, the HTTP client's thread feeds it; a mutex orders them. */
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(exchange_options options, http::client& client,
             http::server_request received, parsed_request parsed,
             std::shared_ptr<http::response_writer> writer,
             exchange_hooks hooks);

    /** Sends the request to the upstream of @p start. */
    void start_attempt(core::start_attempt const& start);

    /** Cancels the attempt if it is still the current one. */
    void cancel_attempt(attempt_id const& attempt);

    /** Delivers the collected answer or ends the stream. */
    void complete();

    /** Answers with the stored answer of an earlier run. */
    void replay(request::stored_response const& stored);

    /** From now on the response closes its connection. */
    void close_after_response();

    /** Answers with a refusal, or with an error event in a begun stream. */
    void refuse(request::refusal const& answer);

    /** Answers with a JSON document. */
    void answer_json(int status, nlohmann::json const& body);

private:
    http::client_request engine_request(core::start_attempt const& start) const;
    http::client_request
    service_request(core::start_attempt const& start) const;
    http::transfer_hooks make_hooks(attempt_id const& attempt);
    void take_headers(attempt_id const& id, int status,
                      http::header_list const& headers);
    bool take_data(attempt_id const& id, std::string_view bytes);
    void take_end(attempt_id const& id, http::transfer_result const& result);
    void begin_stream();
    request::attempt_result classify(http::transfer_result const& result) const;
    request::attempt_outcome classify_status() const;
    http::header_list response_headers() const;

    exchange_options m_options;
    http::client& m_client;
    http::server_request m_received;
    parsed_request m_parsed;
    std::shared_ptr<http::response_writer> m_writer;
    exchange_hooks m_hooks;

    std::mutex m_mutex;                      ///< guards all below
    std::optional<active_attempt> m_attempt; ///< current attempt
    request::stream_relay m_relay;           ///< of a streamed answer
    bool m_close = false;        ///< close the connection after the response
    bool m_stream_begun = false; ///< response header was sent
    bool m_finished = false;     ///< the caller has its final answer
};

} // namespace daisylead::daemon
