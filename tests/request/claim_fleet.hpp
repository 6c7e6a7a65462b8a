/** @file Simulated instances that share a table, an object store and a service.
 */
#pragma once

#include "fake_table.hpp"

#include <daisylead/request/claim_flow_base.hpp>

#include <map>
#include <memory>
#include <set>

namespace daisylead::request::testing
{

using table::read_reply;
using table::transaction_reply;
using table::transaction_status;

/** Faults that a simulation injects. */
struct fleet_faults
{
    bool m_outage = false; ///< the table refuses calls or does not answer them
    bool m_crash = false;  ///< instances restart and lose their state
};

/** A platform call in flight. */
struct pending_call
{
    std::size_t m_instance = 0;
    int m_incarnation = 0; ///< calls of an earlier incarnation get no reply
    claim_action m_call;
    bool m_applied = false;
    bool m_answered = false;
    transaction_reply m_transaction;
    read_reply m_read;
    std::optional<std::string> m_object;
};

/** A permitted send. */
struct pending_send
{
    std::size_t m_instance = 0;
    int m_incarnation = 0;
    request_id m_request;
    bool m_sent = false;
    attempt_result m_result;
};

struct issued_request
{
    std::string m_key;
    std::size_t m_instance = 0;
    int m_incarnation = 0;
    bool m_caller_gone = false;
    int m_final_answers = 0;
    bool m_not_run = false;
    bool m_sent = false;
    /** The same call was sent before this request began. */
    bool m_sent_before = false;
};

/** Executes random steps and checks the guarantees after each: a call runs at
 *  most once, a request gets one answer, and "not run" is never answered for a
 *  call that was sent. */
class fleet
{
public:
    fleet(std::size_t instances, fleet_faults faults) : m_faults(faults)
    {
        m_instances.resize(instances);
        for (std::size_t i = 0; i < instances; ++i)
        {
            start(i);
        }
    }

    /** @param choice any number; selects the step and its arguments */
    void step(std::uint32_t choice)
    {
        std::uint32_t const argument = choice / 16;
        switch (choice % 16)
        {
        case 0:
        case 1:
            return issue_request(argument);
        case 2:
        case 3:
        case 4:
            return apply(argument);
        case 5:
        case 6:
        case 7:
            return answer(argument, true);
        case 8:
            return answer(argument, false);
        case 9:
        case 10:
            return send(argument);
        case 11:
        case 12:
            return report(argument);
        case 13:
            return m_faults.m_crash ? crash(argument) : advance(argument);
        case 14:
            return argument % 4 == 0 ? disconnect_caller(argument / 4)
                                     : advance(argument);
        default:
            return advance(argument);
        }
    }

    /** Ends all faults, completes all pending work and checks the final state.
     */
    void finish_all()
    {
        m_faults = {};
        for (int round = 0; round < 400; ++round)
        {
            for (std::size_t i = m_sends.size(); i > 0; --i)
            {
                send(1);
                report(0);
            }
            for (std::size_t i = m_calls.size(); i > 0; --i)
            {
                apply(0);
                answer(0, true);
            }
            advance_by(std::chrono::seconds(1));
        }
        for (auto const& [id, request] : m_requests)
        {
            bool const alive = request.m_incarnation ==
                               m_instances[request.m_instance].m_incarnation;
            if (alive && !request.m_caller_gone && request.m_final_answers != 1)
            {
                fail("a request got no answer");
            }
        }
        for (fleet_instance const& item : m_instances)
        {
            if (item.m_flow->keys_in_progress() != 0 ||
                item.m_flow->releases_pending() != 0)
            {
                fail("a call or a release does not end");
            }
        }
    }

    std::string const& failure() const
    {
        return m_failure;
    }

    int runs() const
    {
        int total = 0;
        for (auto const& [key, count] : m_runs)
        {
            total += count;
        }
        return total;
    }

private:
    struct fleet_instance
    {
        std::unique_ptr<claim_flow> m_flow;
        int m_incarnation = 0;
    };

    void fail(std::string const& text)
    {
        if (m_failure.empty())
        {
            m_failure = text;
        }
    }

    void start(std::size_t index)
    {
        fleet_instance& item = m_instances[index];
        ++item.m_incarnation;
        claim_options options;
        options.m_instance = instance_id("i" + std::to_string(index));
        options.m_incarnation = incarnation(item.m_incarnation);
        claim_hooks hooks;
        hooks.m_random = []
        {
            return std::uint64_t{4};
        };
        hooks.m_is_instance_alive =
            [this](instance_id const& id, incarnation value)
        {
            auto const at =
                static_cast<std::size_t>(std::stoi(id.value().substr(1)));
            return m_instances[at].m_incarnation == value.value();
        };
        item.m_flow = std::make_unique<claim_flow>(options, hooks);
    }

    void issue_request(std::uint32_t argument)
    {
        std::size_t const at = argument % m_instances.size();
        std::string const key = argument / 4 % 3 == 0 ? "k2" : "k1";
        claim_request request;
        request.m_id = request_id("r" + std::to_string(m_requests.size()));
        request.m_organisation = organisation_id("o");
        request.m_key = key;
        request.m_body_digest = argument / 16 % 16 == 0 ? "other" : "digest";
        request.m_deadline = m_now + std::chrono::seconds(10);
        issued_request& issued = m_requests[request.m_id];
        issued.m_key = key + request.m_body_digest;
        issued.m_sent_before = m_sent_keys.contains(issued.m_key);
        issued.m_instance = at;
        issued.m_incarnation = m_instances[at].m_incarnation;
        take(at, m_instances[at].m_flow->begin(request, m_now));
    }

    void disconnect_caller(std::uint32_t argument)
    {
        if (m_requests.empty())
        {
            return;
        }
        auto const item =
            std::next(m_requests.begin(), argument % m_requests.size());
        issued_request& request = item->second;
        if (request.m_incarnation ==
            m_instances[request.m_instance].m_incarnation)
        {
            request.m_caller_gone = true;
            take(request.m_instance,
                 m_instances[request.m_instance].m_flow->caller_gone(
                     item->first, m_now));
        }
    }

    void apply(std::uint32_t argument)
    {
        if (m_calls.empty())
        {
            return;
        }
        std::size_t const index = argument % m_calls.size();
        if (!std::exchange(m_calls[index].m_applied, true))
        {
            apply_call(m_calls[index]);
        }
        if (m_calls[index].m_answered)
        {
            m_calls.erase(m_calls.begin() + static_cast<long>(index));
        }
    }

    void apply_call(pending_call& call)
    {
        if (auto const* run = std::get_if<claim_transact>(&call.m_call))
        {
            call.m_transaction = m_table.run(run->m_transaction);
        }
        else if (auto const* read = std::get_if<claim_read>(&call.m_call))
        {
            call.m_read = m_table.read(read->m_query);
        }
        else if (auto const* put =
                     std::get_if<claim_write_object>(&call.m_call))
        {
            m_objects[put->m_name] = put->m_content;
        }
        else if (auto const* get = std::get_if<claim_read_object>(&call.m_call))
        {
            auto const found = m_objects.find(get->m_name);
            call.m_object = found == m_objects.end()
                                ? std::nullopt
                                : std::optional(found->second);
        }
    }

    /** Replies to a call. If the reply is lost before the call was applied, the
     *  call stays in flight and may be applied later. */
    void answer(std::uint32_t argument, bool arrives)
    {
        if (m_calls.empty())
        {
            return;
        }
        std::size_t const index = argument % m_calls.size();
        pending_call call = m_calls[index];
        bool const refused = m_faults.m_outage && !call.m_applied && !arrives &&
                             argument % 3 == 0;
        bool const must_arrive =
            !m_faults.m_outage &&
            std::holds_alternative<claim_read>(call.m_call);
        if (call.m_answered || (!call.m_applied && (arrives || must_arrive)))
        {
            return;
        }
        m_calls[index].m_answered = true;
        if (call.m_applied || refused)
        {
            m_calls.erase(m_calls.begin() + static_cast<long>(index));
        }
        if (call.m_incarnation == m_instances[call.m_instance].m_incarnation)
        {
            deliver(call, arrives, refused);
        }
    }

    void deliver(pending_call const& call, bool arrives, bool refused)
    {
        claim_flow& flow = *m_instances[call.m_instance].m_flow;
        if (auto const* run = std::get_if<claim_transact>(&call.m_call))
        {
            transaction_reply reply = call.m_transaction;
            if (!arrives)
            {
                reply = {refused ? transaction_status::not_applied
                                 : transaction_status::unknown,
                         {}};
            }
            take(call.m_instance,
                 flow.on_transaction(run->m_call, reply, m_now));
        }
        else if (auto const* read = std::get_if<claim_read>(&call.m_call))
        {
            bool const fails = m_faults.m_outage && !arrives;
            take(call.m_instance,
                 flow.on_read(read->m_call, fails ? read_reply{} : call.m_read,
                              m_now));
        }
        else if (auto const* put =
                     std::get_if<claim_write_object>(&call.m_call))
        {
            take(call.m_instance,
                 flow.on_object_written(put->m_call, arrives, m_now));
        }
        else if (auto const* get = std::get_if<claim_read_object>(&call.m_call))
        {
            take(call.m_instance,
                 flow.on_object_read(get->m_call,
                                     arrives ? call.m_object : std::nullopt,
                                     m_now));
        }
    }

    /** Starts a permitted send, or fails it before its first byte. */
    void send(std::uint32_t argument)
    {
        for (pending_send& item : m_sends)
        {
            if (item.m_sent || item.m_incarnation !=
                                   m_instances[item.m_instance].m_incarnation)
            {
                continue;
            }
            item.m_sent = true;
            issued_request& request = m_requests[item.m_request];
            if (argument % 4 == 0)
            {
                item.m_result.m_outcome = attempt_outcome::connect_failed;
                return;
            }
            if (request.m_not_run)
            {
                fail("a request was sent after it was answered \"not run\"");
            }
            request.m_sent = true;
            m_sent_keys.insert(request.m_key);
            item.m_result.m_may_have_sent = true;
            item.m_result.m_outcome = argument % 4 == 2
                                          ? attempt_outcome::broken
                                          : attempt_outcome::complete;
            if (argument % 8 != 2)
            {
                run(item, request, argument);
            }
            return;
        }
    }

    void run(pending_send& item, issued_request const& request,
             std::uint32_t argument)
    {
        if (++m_runs[request.m_key.substr(0, 2)] > 1)
        {
            fail("a call ran twice");
        }
        std::string const body =
            argument % 3 == 0 ? "\xff" + request.m_key : request.m_key;
        m_answers[request.m_key] = body;
        item.m_result.m_response = std::make_shared<stored_response const>(
            stored_response{200, "text/plain", body});
    }

    void report(std::uint32_t argument)
    {
        if (m_sends.empty())
        {
            return;
        }
        std::size_t const index = argument % m_sends.size();
        pending_send const item = m_sends[index];
        if (!item.m_sent &&
            item.m_incarnation == m_instances[item.m_instance].m_incarnation)
        {
            return;
        }
        m_sends.erase(m_sends.begin() + static_cast<long>(index));
        if (item.m_incarnation == m_instances[item.m_instance].m_incarnation)
        {
            take(item.m_instance,
                 m_instances[item.m_instance].m_flow->on_attempt(
                     item.m_request, item.m_result, m_now));
        }
    }

    void crash(std::uint32_t argument)
    {
        start(argument % m_instances.size());
    }

    void advance(std::uint32_t argument)
    {
        constexpr int steps[] = {3, 3, 200, 1000, 6000};
        advance_by(std::chrono::milliseconds(steps[argument % 5]));
    }

    void advance_by(duration time)
    {
        m_now += time;
        for (std::size_t i = 0; i < m_instances.size(); ++i)
        {
            auto const due = m_instances[i].m_flow->next_timer();
            if (due && *due <= m_now)
            {
                take(i, m_instances[i].m_flow->on_timer(m_now));
            }
        }
    }

    void take(std::size_t at, claim_flow::actions const& actions)
    {
        for (claim_action const& item : actions)
        {
            if (auto const* permit = std::get_if<permit_send>(&item))
            {
                m_sends.push_back({at,
                                   m_instances[at].m_incarnation,
                                   permit->m_request,
                                   false,
                                   {}});
            }
            else if (auto const* deliver = std::get_if<deliver_response>(&item))
            {
                finish(deliver->m_request);
            }
            else if (auto const* replay = std::get_if<replay_response>(&item))
            {
                finish(replay->m_request);
                check_replay(*replay);
            }
            else if (auto const* refusal = std::get_if<refuse_claim>(&item))
            {
                finish(refusal->m_request);
                check_refusal(*refusal);
            }
            else
            {
                m_calls.push_back({at,
                                   m_instances[at].m_incarnation,
                                   item,
                                   false,
                                   false,
                                   {},
                                   {},
                                   {}});
            }
        }
    }

    void finish(request_id const& id)
    {
        if (++m_requests[id].m_final_answers > 1)
        {
            fail("a request got two answers");
        }
    }

    void check_replay(replay_response const& replay)
    {
        auto const known = m_answers.find(m_requests[replay.m_request].m_key);
        if (known == m_answers.end() ||
            known->second != replay.m_response->m_body)
        {
            fail("a replayed response differs from the response of the run");
        }
    }

    void check_refusal(refuse_claim const& item)
    {
        issued_request& request = m_requests[item.m_request];
        if (item.m_refusal.m_outcome == run_outcome::done &&
            !m_sent_keys.contains(request.m_key))
        {
            fail("a call that never ran was answered \"done\"");
        }
        if (item.m_refusal.m_outcome != run_outcome::not_run)
        {
            return;
        }
        request.m_not_run = true;
        // During a table outage "not run" refers to this request only.
        // Otherwise a caller that repeats a request must not get "not run" for
        // a call that was sent.
        if (request.m_sent || (request.m_sent_before && !m_had_outage))
        {
            fail("\"not run\" was answered for a call that was sent");
        }
    }

    fleet_faults m_faults;
    bool m_had_outage = m_faults.m_outage;
    std::vector<fleet_instance> m_instances;
    fake_table m_table;
    std::map<std::string, std::string> m_objects;
    std::vector<pending_call> m_calls;
    std::vector<pending_send> m_sends;
    std::map<request_id, issued_request> m_requests;
    std::map<std::string, int> m_runs;            ///< by key
    std::map<std::string, std::string> m_answers; ///< by key and digest
    std::set<std::string> m_sent_keys;            ///< key and digest
    time_point m_now{std::chrono::hours(1)};
    std::string m_failure;
};

} // namespace daisylead::request::testing
