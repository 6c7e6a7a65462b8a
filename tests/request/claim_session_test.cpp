/** @file Golden-file tests of claim sessions. Lines that begin with '>' are
 *  events, lines that begin with '<' are the actions that must follow. */
#include "fake_table.hpp"

#include <daisylead/request/claim_flow_base.hpp>

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace daisylead;
using namespace daisylead::request;

namespace
{

constexpr time_point session_start{std::chrono::hours(1)};

std::string print(claim_transact const& item)
{
    std::string text = "transact " + std::to_string(item.m_call);
    for (table::table_condition const& row : item.m_transaction.m_conditions)
    {
        text += " if " + row.m_row + "=" + std::to_string(row.m_version);
    }
    for (table::table_put const& row : item.m_transaction.m_puts)
    {
        text += " put " + row.m_row + " " + row.m_value;
    }
    for (std::string const& row : item.m_transaction.m_deletes)
    {
        text += " delete " + row;
    }
    return text;
}

std::string print(claim_read const& item)
{
    std::string text = "read " + std::to_string(item.m_call);
    for (std::string const& row : item.m_query.m_rows)
    {
        text += " " + row;
    }
    return text;
}

std::string print(claim_write_object const& item)
{
    return "write_object " + std::to_string(item.m_call) + " " + item.m_name;
}

std::string print(claim_read_object const& item)
{
    return "read_object " + std::to_string(item.m_call) + " " + item.m_name;
}

std::string print(permit_send const& item)
{
    return "permit " + item.m_request.value() +
           (item.m_fresh_connection ? " fresh" : "");
}

std::string print(deliver_response const& item)
{
    return "deliver " + item.m_request.value();
}

std::string print(replay_response const& item)
{
    return "replay " + item.m_request.value() + " " +
           std::to_string(item.m_response->m_status) + " " +
           (item.m_response->m_body == "\xff" ? "binary"
                                              : item.m_response->m_body);
}

std::string print(refuse_claim const& item)
{
    return "refuse " + item.m_request.value() + " " +
           to_string(item.m_refusal.m_outcome) + " " +
           to_string(item.m_refusal.m_code) +
           (item.m_refusal.m_retry_after ? " retry" : "");
}

/** Instances "a" and "b" share one table; "c" is known to be dead. */
class session
{
public:
    session()
    {
        for (std::string const name : {"a", "b", "c"})
        {
            claim_options options;
            options.m_instance = instance_id(name);
            options.m_incarnation = incarnation(1);
            claim_hooks hooks;
            hooks.m_random = []
            {
                return std::uint64_t{7};
            };
            hooks.m_is_instance_alive = [](instance_id const& id, incarnation)
            {
                return id.value() != "c";
            };
            m_flows[name] = std::make_unique<claim_flow>(options, hooks);
        }
    }

    std::string run(std::string const& line)
    {
        std::istringstream words(line);
        std::string event;
        words >> m_instance >> event;
        claim_flow& flow = *m_flows.at(m_instance);
        if (event == "time")
        {
            std::int64_t ms = 0;
            words >> ms;
            m_now = session_start + std::chrono::milliseconds(ms);
            return take(flow.on_timer(m_now));
        }
        if (event == "begin")
        {
            return begin(flow, words);
        }
        if (event == "attempt")
        {
            return attempt(flow, words);
        }
        std::uint64_t call = 0;
        std::string reply_kind;
        words >> call >> reply_kind;
        return answer(flow, event, call, reply_kind);
    }

private:
    std::string begin(claim_flow& flow, std::istream& words)
    {
        claim_request request;
        std::string id;
        std::int64_t deadline = 0;
        words >> id >> request.m_key >> request.m_body_digest >> deadline;
        request.m_id = request_id(id);
        request.m_organisation = organisation_id("o");
        request.m_deadline = m_now + std::chrono::milliseconds(deadline);
        request.m_wall_ms = 1000;
        return take(flow.begin(request, m_now));
    }

    std::string attempt(claim_flow& flow, std::istream& words)
    {
        std::string id;
        std::string outcome;
        std::string body;
        words >> id >> outcome >> body;
        attempt_result result;
        result.m_outcome = outcome == "complete" ? attempt_outcome::complete
                           : outcome == "broken"
                               ? attempt_outcome::broken
                               : attempt_outcome::connect_failed;
        result.m_may_have_sent = outcome != "connect_failed";
        if (outcome == "complete")
        {
            result.m_response =
                std::make_shared<stored_response const>(stored_response{
                    200, "text/plain", body == "binary" ? "\xff" : body});
        }
        return take(flow.on_attempt(request_id(id), result, m_now));
    }

    std::string answer(claim_flow& flow, std::string const& event,
                       std::uint64_t call, std::string const& reply_kind)
    {
        claim_action const& issued = m_calls.at({m_instance, call});
        if (event == "transaction")
        {
            table::transaction_reply reply{
                table::transaction_status::not_applied, {}};
            if (reply_kind != "refused")
            {
                reply =
                    m_table.run(std::get<claim_transact>(issued).m_transaction);
            }
            if (reply_kind == "lost")
            {
                reply = {table::transaction_status::unknown, {}};
            }
            return take(flow.on_transaction(call, reply, m_now));
        }
        if (event == "read")
        {
            table::read_reply const reply =
                reply_kind == "fails"
                    ? table::read_reply{}
                    : m_table.read(std::get<claim_read>(issued).m_query);
            return take(flow.on_read(call, reply, m_now));
        }
        if (event == "object_written")
        {
            auto const& put = std::get<claim_write_object>(issued);
            m_objects[put.m_name] = put.m_content;
            return take(
                flow.on_object_written(call, reply_kind == "ok", m_now));
        }
        auto const& get = std::get<claim_read_object>(issued);
        return take(flow.on_object_read(call, m_objects.at(get.m_name), m_now));
    }

    std::string take(claim_flow::actions const& actions)
    {
        std::string text;
        for (claim_action const& item : actions)
        {
            text += "< " + m_instance + " " +
                    std::visit([](auto const& it) { return print(it); }, item) +
                    "\n";
            std::visit(
                [&](auto const& it)
                {
                    if constexpr (requires { it.m_call; })
                    {
                        m_calls.insert_or_assign({m_instance, it.m_call}, item);
                    }
                },
                item);
        }
        return text;
    }

    std::map<std::string, std::unique_ptr<claim_flow>> m_flows;
    std::map<std::pair<std::string, std::uint64_t>, claim_action> m_calls;
    std::map<std::string, std::string> m_objects;
    testing::fake_table m_table;
    std::string m_instance;
    time_point m_now = session_start;
};

void check_session(std::string const& name)
{
    std::ifstream file(std::string(TEST_DATA_DIR) + "/" + name);
    REQUIRE(file);
    std::string expected;
    std::string actual;
    session run;
    for (std::string line; std::getline(file, line);)
    {
        expected += line + "\n";
        if (!line.starts_with("< "))
        {
            actual += line + "\n";
        }
        if (line.starts_with("> "))
        {
            actual += run.run(line.substr(2));
        }
    }
    CHECK(actual == expected);
}

} // namespace

TEST_CASE("an outcome that another instance stored is replayed")
{
    check_session("claim_replay.txt");
}

TEST_CASE("after a lost reply a send needs a read that finds the token")
{
    check_session("claim_lost_answer.txt");
}

TEST_CASE("a repeat during the run of its call never gets \"not run\"")
{
    check_session("claim_repeat.txt");
}
