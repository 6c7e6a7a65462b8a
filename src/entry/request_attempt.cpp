/** @file Sends one attempt of a request to an upstream. */
#include "header_func.hpp"
#include "request_runner.hpp"

#include <daisylead/telemetry/log_func.hpp>

#include <boost/beast/http/empty_body.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace daisylead::entry
{

namespace
{

using namespace std::chrono_literals;
using request::attempt_outcome;

/** Timeout for connecting to an upstream, directly and, if that fails, through
 *  a peer; short against the latency targets. */
constexpr std::chrono::milliseconds connect_timeout = 600ms;

/** Time after the deadline in which an answer that the upstream sends at the
 *  deadline can still arrive. */
constexpr std::chrono::milliseconds deadline_answer_margin = 60ms;

/** Maximum number of unreachable upstreams per request. */
constexpr int max_unreachable = 4;

/** Maximum size of an answer that is not a stream, bytes. */
constexpr std::size_t max_answer_size = 4 << 20;

/** Maximum size of an event of a stream, bytes; upstreams send a few tokens
 *  in each. */
constexpr std::size_t max_event_size = 256 << 10;

/** Minimum size of an incomplete event that is accounted for, bytes. */
constexpr std::size_t min_held_event = 16 << 10;

/** Maximum number of late answers to earlier requests that are skipped on a
 *  reused connection. */
constexpr int max_late_answers = 2;

/** Time without requests for an upstream that reports to be full. */
constexpr duration overload_pause = 60ms;

/** Time without requests for an upstream that reports another identity or
 *  other weights; its current state becomes known within that time. */
constexpr duration misdirected_pause = 250ms;

/** Minimum size of a shared prompt prefix for a transfer between caches; a
 *  fetch costs at least about a millisecond. */
constexpr std::int64_t min_fetch_tokens = 256;

/** @return media type of an answer without its parameters. */
std::string media_type(http::fields const& fields)
{
    auto const value = fields[http::field::content_type];
    std::string type(value.substr(0, value.find(';')));
    while (!type.empty() && type.back() == ' ')
    {
        type.pop_back();
    }
    std::transform(type.begin(), type.end(), type.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return type;
}

/** @return whether an answer of a media type to a stream request is a series of
 *          events. */
bool may_hold_events(std::string const& type)
{
    return type.empty() || type == "text/event-stream";
}

/** @return whether a status promises a caller that its request has not run. */
bool promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

std::string request_runner::cache_scope(std::int64_t weights) const
{
    std::string scope =
        m_description.m_model.value() + "." + std::to_string(weights);
    if (m_isolated)
    {
        scope += "." + m_owner.value();
    }
    return scope;
}

void request_runner::set_kv_transfers(upstream_call& call)
{
    if (m_prefix_tokens.value() < min_fetch_tokens)
    {
        return;
    }
    auto const store = m_state.m_kv_stores.choose(m_prefix, boot_time());
    if (!store)
    {
        return;
    }
    call.m_fetch_from = *store;
    if (wants_save(call.m_cache_scope, *store))
    {
        call.m_save_to = *store;
    }
}

bool request_runner::wants_save(std::string const& scope,
                                std::string const& store)
{
    // Each leading prefix is claimed separately: a new prefix often starts with
    // parts that are already saved, and a saved first part helps other prompts.
    std::uint64_t prefix = XXH64(scope.data(), scope.size(), 0);
    bool unsaved = false;
    for (std::size_t i = 0; i + 1 < m_description.m_parts.size(); ++i)
    {
        std::string const& part = m_description.m_parts[i].m_id;
        prefix = XXH64(part.data(), part.size(), prefix);
        unsaved = m_state.claim_prefix_save(
                      m_state.m_kv_stores.save_key(store, prefix)) ||
                  unsaved;
    }
    return unsaved;
}

request_header
request_runner::make_upstream_request(serving::placement const& place,
                                      std::chrono::milliseconds left)
{
    http::request<http::empty_body> copy(m_request.base());
    remove_connection_fields(copy);
    upstream_call call;
    call.m_upstream = place.m_upstream.m_id;
    call.m_organisation = m_owner;
    call.m_time_left = left;
    if (m_route.m_prompted)
    {
        call.m_weights = place.m_weights;
        call.m_cache_scope = cache_scope(place.m_weights);
        call.m_urgency = std::clamp(m_priority, 0, 9);
        set_kv_transfers(call);
    }
    call.m_last_event = m_splitter.last_id();
    m_state.m_adapter.m_set_upstream_fields(copy, call);
    copy.version(11);
    copy.keep_alive(true);
    return std::move(copy.base());
}

/** @return whether an attempt without bytes of an answer may be taken for one
 *          that has not begun: a stream begins with its first bytes, and what
 *          may be repeated is sent to another engine. */
bool request_runner::shows_begin() const
{
    return m_route.m_prompted && (m_route.m_streaming || m_route.m_repeatable);
}

void request_runner::return_connection()
{
    m_silence_watch.reset();
    if (m_held)
    {
        m_held->note_complete();
    }
    m_connector.put(std::exchange(m_upstream, nullptr));
}

void request_runner::end_count()
{
    if (m_counted_at)
    {
        m_state.m_upstream_pool.note_ended(
            *m_counted_at, m_answer_begun,
            m_description.m_tokens.value_or(token_count()));
        m_counted_at.reset();
    }
}

awaitable<request_runner::next_action>
request_runner::attempt(serving::placement const& place)
{
    upstream_id const id = place.m_upstream.m_id;
    attempt_times times{boot_time(), {}, {}, {}};
    bool const is_repeat = !m_tried.insert(id).second;
    token_count const tokens = m_description.m_tokens.value_or(token_count());
    m_state.m_upstream_pool.note_sent(id, m_prefix, tokens, boot_time());
    m_counted_at = id;
    m_answer_begun = false;
    auto const left_to_connect = std::min(time_left(), connect_timeout);
    if (left_to_connect < 1ms)
    {
        end_count();
        co_return after_timeout();
    }
    // A copy of the refusal of the former attempt bears the id of this one; it
    // can only come on the connection of that attempt.
    upstream_connector::result const made = co_await m_connector.connect(
        place.m_upstream, left_to_connect, is_repeat || !m_route.m_repeatable);
    m_upstream = made.m_connection;
    m_via = made.m_via;
    if (!m_upstream)
    {
        end_count();
        m_state.m_upstream_pool.note_unreachable(id, boot_time());
        if (made.m_upstream_down)
        {
            m_state.note_crash({id, incarnation(place.m_upstream.m_started)});
        }
        note_attempt(place, "unreachable", times);
        if (++m_unreachable >= max_unreachable)
        {
            m_refusal =
                refusal{m_possible_runs > 0 ? 502 : 503, "unreachable",
                        "upstreams cannot be reached", suggested_retry_delay()};
            co_return next_action::refuse;
        }
        co_return next_action::retry;
    }
    if (m_software && !may_continue_at(place.m_upstream))
    {
        end_count();
        return_connection();
        note_attempt(place, "unproven", times);
        if (++m_unreachable >= max_unreachable)
        {
            m_refusal = refusal{m_possible_runs > 0 ? 502 : 503, "unproven",
                                "the software of the upstreams is not known "
                                "for sure",
                                suggested_retry_delay()};
            co_return next_action::refuse;
        }
        co_return next_action::retry;
    }
    if (auto refused = check_before_send(boot_time()))
    {
        end_count();
        m_upstream->abort();
        m_refusal = m_possible_runs > 0
                        ? refusal{502, refused->m_code, refused->m_message,
                                  std::nullopt}
                        : *refused;
        co_return next_action::refuse;
    }
    // The weights may have become too old while the connection was established.
    if (m_route.m_prompted && !m_state.m_upstream_pool.may_send(
                                  id, m_description.m_model, boot_time()))
    {
        end_count();
        m_upstream->abort();
        note_attempt(place, "outdated", times);
        co_return next_action::retry;
    }
    auto const left = time_left();
    if (left < 1ms || m_caller->is_gone())
    {
        end_count();
        m_upstream->abort();
        co_return m_caller->is_gone() ? next_action::done : after_timeout();
    }
    request_header message = make_upstream_request(place, left);
    ++m_sends;
    times.m_sent = boot_time();
    times.m_outdated_for = m_state.m_upstream_pool.outdated_for(
        id, m_description.m_model, *times.m_sent);
    attempt_id const current_attempt(m_description.m_id + "/" +
                                     std::to_string(m_sends));
    m_state.m_quarantine.attempt_begun(
        current_attempt, m_suspect,
        {id, incarnation(place.m_upstream.m_started)});
    m_state.m_part_quarantine.attempt_begun(
        current_attempt, m_shared_parts,
        {id, incarnation(place.m_upstream.m_started)});
    m_upstream->begin(std::move(message), m_body,
                      left + deadline_answer_margin);

    m_held.emplace(m_state.m_answers, boot_time() + left,
                   [connection = m_upstream] { connection->abort(); });
    m_silence_watch.emplace(
        m_silence_detector,
        watched_attempt{
            .m_upstream = id,
            .m_request = m_description.m_id,
            .m_capacity = upstream_capacity(),
            .m_target = m_route.m_target_latency,
            .m_repeatable = m_route.m_repeatable,
            .m_abort = [connection = m_upstream] { connection->abort(); },
            .m_model = shows_begin() ? m_description.m_model : model_id()});

    answer_info info;
    io_result read_result = io_result::ok;
    for (int late = 0;; ++late)
    {
        read_result = co_await m_upstream->read_header();
        if (read_result != io_result::ok)
        {
            break;
        }
        info = m_state.m_adapter.m_read_answer(m_upstream->header());
        // On a reused connection, an answer without an id may be a late answer
        // to an earlier request.
        bool const is_own =
            info.m_request_id == m_description.m_id ||
            (info.m_request_id.empty() && m_upstream->answers() == 1);
        if (is_own)
        {
            break;
        }
        std::string skipped;
        read_result = late < max_late_answers
                          ? co_await m_upstream->read_rest(
                                skipped, max_answer_size, &*m_held)
                          : io_result::broken;
        if (read_result != io_result::ok)
        {
            break;
        }
    }
    int const status = read_result == io_result::ok ? m_upstream->status() : 0;
    bool const success = status >= 200 && status < 300;
    attempt_outcome outcome = attempt_outcome::complete;
    next_action result = next_action::done;
    std::string outcome_label;
    if (read_result != io_result::ok)
    {
        ++m_possible_runs;
        m_upstream->abort();
        if (m_caller->is_gone())
        {
            outcome = attempt_outcome::cancelled;
            outcome_label = "caller_left";
        }
        else if (read_result == io_result::timed_out)
        {
            outcome = attempt_outcome::timed_out;
            outcome_label = "timed_out";
            result = after_timeout();
        }
        else
        {
            // An attempt that this instance ended does not make the request a
            // suspect.
            abort_reason const reason = m_silence_watch->reason();
            outcome = reason == abort_reason::none ? attempt_outcome::broken
                                                   : attempt_outcome::timed_out;
            outcome_label = reason == abort_reason::silent     ? "silent"
                            : reason == abort_reason::outdated ? "outdated"
                                                               : "broken";
            result = after_failure(true, reason == abort_reason::silent
                                             ? "upstream_silent"
                                         : reason == abort_reason::outdated
                                             ? "weights_outdated"
                                             : "upstream_broke_off");
        }
    }
    else
    {
        times.m_answered = boot_time();
        m_state.m_upstream_pool.note_reachable(id);
        m_silence_watch->note_bytes();
        m_state.m_upstream_pool.note_bytes(id, *times.m_answered);
        if (info.m_weights > 0)
        {
            time_point const now = boot_time();
            m_state.m_upstream_pool.note_weights(
                {id, place.m_upstream.m_started, m_description.m_model,
                 info.m_weights, m_state.m_upstream_pool.is_switching(id, now)},
                now);
        }
        if (info.m_leaving)
        {
            m_state.note_leaving({id, place.m_upstream.m_started}, {});
        }
        if (info.m_rate_limit)
        {
            m_state.note_rate({id, info.m_rate_limit, boot_time()},
                              place.m_upstream.m_started, {});
        }
        else if (info.m_sealed)
        {
            // Only an answer to a request that was sent after the limit was
            // stated shows that the limit has ended.
            m_state.note_rate({id, std::nullopt, times.m_began},
                              place.m_upstream.m_started, {});
        }
        if (info.m_retry_after)
        {
            m_state.m_upstream_pool.note_rejected_until(
                id, boot_time() + *info.m_retry_after);
        }
        if (info.m_misdirected || (info.m_not_run && status != 400))
        {
            m_state.m_upstream_pool.note_refused(
                id, info.m_misdirected ? misdirected_pause : overload_pause,
                boot_time());
            std::string rest;
            read_result =
                co_await m_upstream->read_rest(rest, max_answer_size, &*m_held);
            if (read_result == io_result::ok)
            {
                return_connection();
            }
            else
            {
                m_upstream->abort();
            }
            outcome = attempt_outcome::rejected;
            outcome_label = info.m_misdirected ? "misdirected" : "rejected";
            result = after_failure(false, outcome_label);
        }
        else
        {
            ++m_possible_runs;
            m_state.m_upstream_pool.note_first_bytes(id);
            m_state.m_part_quarantine.answer_begun(current_attempt,
                                                   boot_time());
            m_answer_begun = true;
            bool const genuine = info.m_sealed && !info.m_encoded;
            if (success && !genuine)
            {
                m_upstream->abort();
                outcome = attempt_outcome::broken;
                outcome_label = "not_genuine";
                result = after_failure(true, "answer_not_genuine");
            }
            else if (m_stream_begun && !continues_stream(*m_upstream))
            {
                // It is no sign of a crash, nor that the prompt can be
                // processed.
                m_upstream->abort();
                outcome = attempt_outcome::cancelled;
                outcome_label = "not_resumed";
                result = after_failure(true, "not_resumed");
            }
            else if (success && m_route.m_streaming && may_have_body(status))
            {
                result = co_await answer_stream(*m_upstream, place.m_upstream);
            }
            else if (m_possible_runs > 1 && promises_not_run(status))
            {
                // The promise covers this attempt only; an earlier one may have
                // run.
                m_upstream->abort();
                outcome_label = "error_" + std::to_string(status);
                result = after_failure(true, "upstream_error");
            }
            else if (status >= 500 && m_route.m_repeatable &&
                     m_possible_runs < m_route.m_max_upstreams &&
                     after_failure(true, "upstream_error") ==
                         next_action::retry)
            {
                m_upstream->abort();
                outcome_label = "error_" + std::to_string(status);
                result = next_action::retry;
            }
            else
            {
                result = co_await answer_whole(*m_upstream, info);
            }
            if (outcome_label.empty())
            {
                bool const is_silent =
                    m_silence_watch &&
                    m_silence_watch->reason() != abort_reason::none;
                outcome_label =
                    is_silent ? "silent"
                    : result == next_action::done && !m_caller->is_gone()
                        ? "status_" + std::to_string(status)
                    : m_caller->is_gone() ? "caller_left"
                                          : "broke_off";
                outcome = is_silent             ? attempt_outcome::timed_out
                          : m_caller->is_gone() ? attempt_outcome::cancelled
                          : result == next_action::done
                              ? attempt_outcome::complete
                              : attempt_outcome::broken;
            }
        }
    }
    m_silence_watch.reset();
    m_held.reset();
    // An error answer does not show that the prompt can be processed.
    m_state.note_attempt_ended(current_attempt,
                               outcome == attempt_outcome::complete && !success
                                   ? attempt_outcome::cancelled
                                   : outcome);
    if (outcome == attempt_outcome::broken)
    {
        ++m_broken_attempts;
        if (!m_shared_parts.empty())
        {
            m_crash_detector.check(place.m_upstream);
        }
        else if (m_stream_begun)
        {
            m_crash_detector.note_stream_broken(place.m_upstream);
        }
    }
    end_count();
    m_state.note_suspects(m_state.m_quarantine.attempt_ended(
        current_attempt, outcome, boot_time()));
    note_attempt(place, outcome_label, times);
    co_return result;
}

bool request_runner::may_have_body(int status) const
{
    return m_request.method() != http::verb::head &&
           status != static_cast<int>(http::status::no_content);
}

awaitable<request_runner::next_action>
request_runner::answer_whole(http_connection& upstream, answer_info const& info)
{
    caller_answer answer;
    answer.m_status = upstream.status();
    answer.m_reason = std::string(upstream.header().reason());
    answer.m_fields = upstream.header();
    remove_connection_fields(answer.m_fields);
    io_result const read_result =
        co_await upstream.read_rest(answer.m_body, max_answer_size, &*m_held);
    if (read_result != io_result::ok)
    {
        upstream.abort();
        if (m_caller->is_gone())
        {
            co_return next_action::done;
        }
        co_return read_result == io_result::timed_out
            ? after_timeout()
            : after_failure(true, "answer_incomplete");
    }
    return_connection();
    m_status = answer.m_status;
    m_end_reason = "answered";
    if (info.m_not_run)
    {
        m_state.m_quotas.refund(m_owner, m_cost);
    }
    bool const written =
        co_await m_caller->write(std::move(answer), m_close_after,
                                 m_request.method() == http::verb::head);
    m_close_after = m_close_after || !written;
    co_return next_action::done;
}

bool request_runner::continues_stream(http_connection const& upstream) const
{
    return upstream.status() == m_status &&
           media_type(upstream.header()) == m_stream_type;
}

awaitable<bool> request_runner::hold_partial_event()
{
    std::size_t const size = m_splitter.partial().size();
    // The buffer grows by doubling.
    std::size_t const held = size > min_held_event ? 2 * size : 0;
    co_return held == m_held->bytes() || co_await m_held->reserve(held);
}

awaitable<request_runner::next_action>
request_runner::answer_stream(http_connection& upstream,
                              serving::upstream_record const& sender)
{
    int const status = upstream.status();
    http::fields fields = upstream.header();
    bool const ends_with_connection = upstream.ends_with_connection();
    bool const is_event_stream = may_hold_events(media_type(fields));
    // All events may have come before the caller resumed the stream.
    bool const needs_event =
        is_event_stream && m_description.m_last_event.empty();
    remove_connection_fields(fields);
    m_splitter.drop_partial();
    std::string bytes;
    for (;;)
    {
        io_result const read_result = co_await upstream.read_some(bytes);
        if (read_result != io_result::ok)
        {
            upstream.abort();
            if (m_caller->is_gone())
            {
                co_return next_action::done;
            }
            co_return read_result == io_result::timed_out
                ? after_timeout()
                : after_failure(true, "stream_broke_off");
        }
        bool const ended = bytes.empty();
        // The framing alone does not show that the last event is whole.
        if (ended && m_splitter.is_inside_event() &&
            (is_event_stream || ends_with_connection))
        {
            upstream.abort();
            co_return after_failure(true, "stream_cut");
        }
        if (ended && needs_event && !m_splitter.has_event())
        {
            upstream.abort();
            co_return after_failure(true, "stream_without_event");
        }
        std::string const whole =
            ended ? m_splitter.partial() : m_splitter.take(bytes);
        if (m_splitter.is_out_of_order())
        {
            upstream.abort();
            co_return after_failure(true, "events_out_of_order");
        }
        if (ended && m_splitter.lacks_event())
        {
            upstream.abort();
            co_return after_failure(true, "stream_cut");
        }
        // Bytes that do not complete an event are not progress.
        if (!whole.empty())
        {
            m_silence_watch->note_bytes();
            if (m_counted_at)
            {
                m_state.m_upstream_pool.note_bytes(*m_counted_at, boot_time());
            }
        }
        if (!co_await hold_partial_event())
        {
            upstream.abort();
            co_return after_failure(true, "no_memory_for_event");
        }
        if (m_splitter.partial().size() > max_event_size)
        {
            upstream.abort();
            co_return after_failure(true, "event_too_long");
        }
        if ((!whole.empty() || ended) && !m_stream_begun)
        {
            m_status = status;
            m_stream_type = media_type(fields);
            m_stream_begun = true;
            note_stream_begun(sender);
            m_state.m_metrics.observe("daisylead_first_event_seconds",
                                      boot_time() - m_began);
            bool const begun =
                co_await m_caller->begin_stream(status, fields, m_close_after);
            if (!begun)
            {
                upstream.abort();
                m_end_reason = "caller_left";
                m_close_after = true;
                co_return next_action::done;
            }
        }
        if (!whole.empty())
        {
            bool const written = co_await m_caller->write_stream(whole);
            if (!written)
            {
                upstream.abort();
                m_end_reason = "caller_left";
                m_close_after = true;
                co_return next_action::done;
            }
        }
        if (m_splitter.has_invalid_event())
        {
            upstream.abort();
            co_return after_failure(true, "event_not_valid");
        }
        if (ended)
        {
            return_connection();
            m_end_reason = "answered";
            bool const written = co_await m_caller->end_stream();
            m_close_after = m_close_after || !written;
            co_return next_action::done;
        }
    }
}

} // namespace daisylead::entry
