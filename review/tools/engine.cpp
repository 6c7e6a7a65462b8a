/** @file Stand-in for a model server that loads weights by orders. */
#include "engine.hpp"

namespace review
{

namespace
{

using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto load_time = 570ms;

/** Age of the values in a report. */
constexpr auto report_lag = 200ms;

constexpr int slots = 48;
constexpr int capacity = 106776;

} // namespace

engine::engine(std::string id, std::string model, store& rows, record& log)
    : m_id(std::move(id)), m_model(std::move(model)), m_store(rows),
      m_log(log), m_states{{clock::now(), false, 1, 0}},
      m_server([this](connection& caller) { serve(caller); })
{
    beat();
}

engine::~engine()
{
    stop();
}

void engine::beat()
{
    json row = make_server_row("scribe", m_server.address(), slots, m_born);
    {
        std::lock_guard const lock(m_mutex);
        end_load();
        row["sequence"] = ++m_beats;
        row["models"] = json::array(
            {{{"name", m_model}, {"version", m_states.back().m_weights}}});
    }
    m_store.put("servers", m_id, row);
}

void engine::note_named(std::int64_t version)
{
    std::lock_guard const lock(m_mutex);
    m_named = std::max(m_named, version);
}

std::vector<received_order> engine::orders()
{
    std::lock_guard const lock(m_mutex);
    return m_orders;
}

/** Ends a load whose time has passed. */
void engine::end_load()
{
    state const last = m_states.back();
    if (last.m_busy && clock::now() - last.m_since >= load_time)
    {
        m_states.push_back(
            {last.m_since + load_time, false, m_loading, last.m_accepted});
    }
}

void engine::serve(connection& caller)
{
    message request;
    while (caller.read_request(request) == end_kind::complete)
    {
        std::string answer;
        std::string const expected = request.field("X-Expect-Instance");
        if (!expected.empty() && expected != m_id)
        {
            answer = make_answer(421, "X-Not-Executed: 1\r\n", "");
        }
        else if (request.target() == "/v1/report")
        {
            answer = report();
        }
        else if (request.target() == "/v1/order")
        {
            answer = take_order(request.m_body);
        }
        else
        {
            answer = make_answer(503, "X-Not-Executed: 1\r\n", "");
        }
        if (!caller.write(answer))
        {
            return;
        }
    }
}

std::string engine::report()
{
    std::lock_guard const lock(m_mutex);
    end_load();
    while (m_states.size() > 1 &&
           m_states[1].m_since <= clock::now() - report_lag)
    {
        m_states.pop_front();
    }
    state const& shown = m_states.front();
    json const body = {{"stage", "unified"},
                       {"models", json::array({{{"name", m_model},
                                                {"version", shown.m_weights},
                                                {"adapters", json::array()}}})},
                       {"busy", shown.m_busy},
                       {"sequence", shown.m_accepted},
                       {"queued", 0},
                       {"active", 0},
                       {"kvUsed", 0},
                       {"kvTotal", capacity},
                       {"handles", 0},
                       {"born", m_born}};
    return make_answer(200, "Content-Type: application/json\r\n", body.dump());
}

std::string engine::take_order(std::string const& body)
{
    json const order = json::parse(body);
    std::lock_guard const lock(m_mutex);
    end_load();
    state const last = m_states.back();
    m_orders.push_back(
        {clock::now(), order.at("holder"), order.at("fencingToken")});
    std::int64_t const version = order.at("version");
    int status = 202;
    if (version > m_named || order.at("model") != m_model)
    {
        status = 400;
    }
    else if (last.m_busy ||
             order.value("precondition", last.m_accepted) != last.m_accepted)
    {
        status = 409;
    }
    else if (version <= last.m_weights)
    {
        status = 200;
    }
    else
    {
        m_loading = version;
        m_states.push_back(
            {clock::now(), true, last.m_weights, last.m_accepted + 1});
    }
    m_log.add(m_id + ": order for version " + std::to_string(version) + " by " +
              m_orders.back().m_holder + " with token " +
              std::to_string(m_orders.back().m_token) + ", answered " +
              std::to_string(status));
    return make_answer(status, "", "");
}

} // namespace review
