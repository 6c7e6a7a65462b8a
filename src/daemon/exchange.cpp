/** @file One caller's request and its attempts at upstreams. */
#include "exchange.hpp"

#include <algorithm>
#include <chrono>

namespace daisylead::daemon
{

namespace
{

using nlohmann::json;
using request::attempt_outcome;

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;

std::chrono::milliseconds to_milliseconds(duration time)
{
    return std::chrono::ceil<std::chrono::milliseconds>(time);
}

std::string retry_after_seconds(duration time)
{
    auto const seconds = std::chrono::ceil<std::chrono::seconds>(time);
    return std::to_string(std::max<std::int64_t>(1, seconds.count()));
}

json error_body(request_id const& id, request::refusal const& answer)
{
    return {{"error",
             {{"code", request::to_string(answer.m_code)},
              {"message", answer.m_message},
              {"request_id", id.value()}}}};
}

bool is_weights_mismatch(std::string const& body)
{
    json const parsed = json::parse(body, nullptr, false);
    return parsed.is_object() && parsed.contains("error") &&
           parsed["error"].is_object() &&
           parsed["error"].value("code", "") == "weights_version_mismatch";
}

/** @return the generated tokens that a whole answer states. */
token_count generated_tokens(std::string const& body)
{
    json const parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("usage") ||
        !parsed["usage"].is_object())
    {
        return token_count(0);
    }
    return token_count(
        parsed["usage"].value("completion_tokens", std::int64_t{0}));
}

} // namespace

exchange::exchange(exchange_options options, http::client& client,
                   http::server_request received, parsed_request parsed,
                   std::shared_ptr<http::response_writer> writer,
                   exchange_hooks hooks)
    : m_options(std::move(options)), m_client(client),
      m_received(std::move(received)), m_parsed(std::move(parsed)),
      m_writer(std::move(writer)), m_hooks(std::move(hooks)),
      m_relay(m_parsed.m_info.m_id.value())
{
}

void exchange::start_attempt(core::start_attempt const& start)
{
    http::client_request request =
        start.m_engine ? engine_request(start) : service_request(start);
    request.m_connect_timeout = m_options.m_connect_timeout;
    request.m_idle_timeout = m_options.m_upstream_idle_timeout;
    request.m_total_timeout = std::max(to_milliseconds(start.m_timeout),
                                       std::chrono::milliseconds(1));
    request.m_fresh_connection = start.m_fresh_connection;
    std::lock_guard const lock(m_mutex);
    m_attempt.emplace();
    m_attempt->m_start = start;
    m_relay.begin_attempt();
    m_attempt->m_transfer =
        m_client.start(std::move(request), make_hooks(start.m_attempt));
}

http::client_request
exchange::engine_request(core::start_attempt const& start) const
{
    json body = m_parsed.m_body;
    body["model"] = start.m_model;
    body["max_tokens"] = start.m_max_tokens.value();
    body.erase("max_completion_tokens");
    json options = {{"attempt", start.m_attempt.value()},
                    {"cache_salt", start.m_cache_salt},
                    {"weights_version", start.m_weights_version},
                    {"priority", start.m_priority},
                    {"blocks", start.m_blocks}};
    if (m_relay.position().value() > 0)
    {
        options["resume_from"] = m_relay.position().value();
        options["resume_text"] = m_relay.text();
    }
    body["daisylead"] = std::move(options);
    http::client_request request;
    request.m_method = "POST";
    request.m_url = "http://" + start.m_address + m_received.m_path;
    request.m_headers = {{"Content-Type", "application/json"}};
    request.m_body = std::make_shared<std::string const>(
        body.dump(-1, ' ', false, json::error_handler_t::replace));
    return request;
}

http::client_request
exchange::service_request(core::start_attempt const& start) const
{
    http::client_request request;
    request.m_method = m_received.m_method;
    request.m_url = "http://" + start.m_address + m_received.m_path;
    std::string const query = forwardable_query(m_received.m_query);
    if (!query.empty())
    {
        request.m_url += "?" + query;
    }
    request.m_headers = forwardable_headers(m_received.m_headers);
    request.m_headers.push_back(
        {"X-Daisylead-Attempt", start.m_attempt.value()});
    if (!start.m_organisation.empty())
    {
        request.m_headers.push_back(
            {"X-Daisylead-Organisation", start.m_organisation.value()});
    }
    bool const has_body =
        !m_received.m_body->empty() || m_received.m_method == "POST";
    request.m_body = has_body ? m_received.m_body : nullptr;
    return request;
}

http::transfer_hooks exchange::make_hooks(attempt_id const& attempt)
{
    auto self = shared_from_this();
    http::transfer_hooks hooks;
    hooks.m_on_headers =
        [self, attempt](int status, http::header_list const& headers)
    {
        self->take_headers(attempt, status, headers);
    };
    hooks.m_on_data = [self, attempt](std::string_view bytes)
    {
        return self->take_data(attempt, bytes);
    };
    hooks.m_on_end = [self, attempt](http::transfer_result const& result)
    {
        self->take_end(attempt, result);
    };
    return hooks;
}

void exchange::take_headers(attempt_id const& id, int status,
                            http::header_list const& headers)
{
    std::lock_guard const lock(m_mutex);
    if (!m_attempt || m_attempt->m_start.m_attempt != id)
    {
        return;
    }
    m_attempt->m_status = status;
    m_attempt->m_content_type =
        http::find_header(headers, "Content-Type").value_or("");
    m_attempt->m_is_stream =
        m_attempt->m_start.m_engine && m_parsed.m_info.m_stream &&
        status == status_ok &&
        m_attempt->m_content_type.starts_with("text/event-stream");
}

bool exchange::take_data(attempt_id const& id, std::string_view bytes)
{
    std::lock_guard const lock(m_mutex);
    if (!m_attempt || m_attempt->m_start.m_attempt != id || m_finished)
    {
        return true;
    }
    if (!m_attempt->m_first_token)
    {
        m_attempt->m_first_token = true;
        m_hooks.m_on_first_token(id);
    }
    if (!m_attempt->m_is_stream)
    {
        m_attempt->m_too_large =
            m_attempt->m_too_large ||
            m_attempt->m_body.size() + bytes.size() > m_options.m_max_answer;
        if (!m_attempt->m_too_large)
        {
            m_attempt->m_body += bytes;
        }
        return true;
    }
    if (m_writer->pending_bytes() > m_options.m_stream_buffer)
    {
        return false;
    }
    std::string output;
    for (std::string const& event : m_relay.feed(bytes))
    {
        output += event;
    }
    if (!output.empty())
    {
        begin_stream();
        m_writer->write(std::move(output));
    }
    if (m_relay.is_broken())
    {
        m_client.cancel(m_attempt->m_transfer);
    }
    return true;
}

void exchange::begin_stream()
{
    if (m_stream_begun)
    {
        return;
    }
    m_stream_begun = true;
    std::weak_ptr<exchange> const weak = weak_from_this();
    m_writer->set_sent_hook(
        [weak]
        {
            auto const self = weak.lock();
            if (!self || self->m_writer->pending_bytes() >
                             self->m_options.m_stream_buffer)
            {
                return;
            }
            std::lock_guard const lock(self->m_mutex);
            if (self->m_attempt)
            {
                self->m_client.resume(self->m_attempt->m_transfer);
            }
        });
    http::header_list headers = response_headers();
    headers.push_back({"Content-Type", "text/event-stream"});
    headers.push_back({"Cache-Control", "no-cache"});
    if (m_close)
    {
        m_writer->close_after_response();
    }
    m_writer->start(status_ok, headers);
}

attempt_outcome exchange::classify_status() const
{
    if (!m_attempt->m_start.m_engine)
    {
        return attempt_outcome::complete;
    }
    if (m_attempt->m_status == status_conflict &&
        is_weights_mismatch(m_attempt->m_body))
    {
        return attempt_outcome::weights_mismatch;
    }
    if (m_attempt->m_status == status_unavailable)
    {
        return attempt_outcome::rejected;
    }
    return attempt_outcome::complete;
}

request::attempt_result
exchange::classify(http::transfer_result const& result) const
{
    request::attempt_result end;
    end.m_http_status = result.m_http_status;
    end.m_may_have_sent = result.m_may_have_sent;
    end.m_generated = m_relay.position();
    end.m_message = result.m_message;
    switch (result.m_status)
    {
    case http::transfer_status::complete:
        end.m_outcome = classify_status();
        break;
    case http::transfer_status::connect_failed:
        end.m_outcome = attempt_outcome::connect_failed;
        break;
    case http::transfer_status::timed_out:
        end.m_outcome = result.m_may_have_sent
                            ? attempt_outcome::timed_out
                            : attempt_outcome::connect_failed;
        break;
    case http::transfer_status::broken:
        end.m_outcome = attempt_outcome::broken;
        break;
    case http::transfer_status::cancelled:
        end.m_outcome = attempt_outcome::cancelled;
        break;
    }
    if (m_attempt->m_is_stream && m_relay.is_broken())
    {
        end.m_outcome = attempt_outcome::broken;
        end.m_message = m_relay.fault();
    }
    bool const complete = end.m_outcome == attempt_outcome::complete;
    if (complete && m_attempt->m_is_stream && !m_relay.is_done())
    {
        end.m_outcome = attempt_outcome::broken;
        end.m_message = "the stream ended without its end mark";
    }
    if (complete && m_attempt->m_too_large)
    {
        end.m_outcome = attempt_outcome::broken;
        end.m_message = "the answer is too large";
    }
    if (end.m_outcome == attempt_outcome::complete && !m_attempt->m_is_stream)
    {
        end.m_generated = m_attempt->m_start.m_engine
                              ? generated_tokens(m_attempt->m_body)
                              : token_count(0);
        end.m_response = std::make_shared<request::stored_response const>(
            request::stored_response{m_attempt->m_status,
                                     m_attempt->m_content_type,
                                     m_attempt->m_body});
    }
    return end;
}

void exchange::take_end(attempt_id const& id,
                        http::transfer_result const& result)
{
    request::attempt_result end;
    {
        std::lock_guard const lock(m_mutex);
        if (!m_attempt || m_attempt->m_start.m_attempt != id)
        {
            return;
        }
        end = classify(result);
    }
    m_hooks.m_on_attempt_end(id, std::move(end));
}

void exchange::cancel_attempt(attempt_id const& attempt)
{
    std::lock_guard const lock(m_mutex);
    if (m_attempt && m_attempt->m_start.m_attempt == attempt)
    {
        m_client.cancel(m_attempt->m_transfer);
    }
}

http::header_list exchange::response_headers() const
{
    http::header_list headers = {
        {"X-Daisylead-Request-Id", m_parsed.m_info.m_id.value()},
        {"X-Daisylead-Instance", m_options.m_instance.value()}};
    if (m_attempt)
    {
        headers.push_back(
            {"X-Daisylead-Upstream", m_attempt->m_start.m_upstream.value()});
    }
    return headers;
}

void exchange::complete()
{
    std::lock_guard const lock(m_mutex);
    if (m_finished || !m_attempt)
    {
        return;
    }
    m_finished = true;
    if (m_attempt->m_is_stream)
    {
        m_writer->finish();
        return;
    }
    http::header_list headers = response_headers();
    headers.push_back({"Content-Type", m_attempt->m_content_type});
    m_writer->send(m_attempt->m_status, headers, m_attempt->m_body, m_close);
}

void exchange::replay(request::stored_response const& stored)
{
    std::lock_guard const lock(m_mutex);
    if (m_finished)
    {
        return;
    }
    m_finished = true;
    http::header_list headers = response_headers();
    headers.push_back({"Content-Type", stored.m_content_type});
    headers.push_back({"X-Daisylead-Outcome",
                       request::to_string(request::run_outcome::done)});
    m_writer->send(stored.m_status, headers, stored.m_body, m_close);
}

void exchange::close_after_response()
{
    std::lock_guard const lock(m_mutex);
    m_close = true;
}

void exchange::refuse(request::refusal const& answer)
{
    std::lock_guard const lock(m_mutex);
    if (m_finished)
    {
        return;
    }
    m_finished = true;
    json const body = error_body(m_parsed.m_info.m_id, answer);
    if (m_stream_begun)
    {
        m_writer->write("event: error\ndata: " + body.dump() + "\n\n");
        m_writer->finish();
        return;
    }
    http::header_list headers = response_headers();
    headers.push_back({"Content-Type", "application/json"});
    headers.push_back(
        {"X-Daisylead-Outcome", request::to_string(answer.m_outcome)});
    if (answer.m_retry_after)
    {
        headers.push_back(
            {"Retry-After", retry_after_seconds(*answer.m_retry_after)});
    }
    m_writer->send(request::http_status(answer.m_code), headers, body.dump(),
                   m_close);
}

void exchange::answer_json(int status, json const& body)
{
    std::lock_guard const lock(m_mutex);
    if (m_finished)
    {
        return;
    }
    m_finished = true;
    http::header_list headers = response_headers();
    headers.push_back({"Content-Type", "application/json"});
    m_writer->send(status, headers, body.dump(), m_close);
}

} // namespace daisylead::daemon
