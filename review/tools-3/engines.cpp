/** @file Model servers that restart with other software, and callers. */
#include "engines.hpp"

#include <sstream>

namespace stage
{

using namespace std::chrono_literals;

engine::engine(std::string id, store& rows, record& log)
    : m_id(std::move(id)), m_rows(rows), m_log(log),
      m_listener(free_address(),
                 [this](std::shared_ptr<channel> const& connection)
                 { serve(*connection); })
{
    write_row();
    m_beats = std::thread([this] { beat(); });
}

engine::~engine()
{
    m_stopping = true;
    m_beats.join();
    ++m_run;
    m_listener.stop();
}

void engine::crash()
{
    m_log.line(m_id + " crashes, software " + m_software);
    m_is_up = false;
    ++m_run;
    m_listener.stop();
}

void engine::restart(std::string const& software)
{
    {
        std::lock_guard const lock(m_mutex);
        m_software = software;
        m_born = unix_ms();
        m_next_beat = clock::now() + heartbeat;
    }
    m_is_up = true;
    m_listener.start();
    m_log.line(m_id + " is back, software " + software);
}

std::string engine::software()
{
    std::lock_guard const lock(m_mutex);
    return m_software;
}

void engine::write_row()
{
    std::lock_guard const lock(m_mutex);
    m_rows.put("servers", m_id,
               {{"service", "scribe"},
                {"address", m_listener.address()},
                {"zone", "a"},
                {"version", m_software},
                {"slots", 64},
                {"state", "ready"},
                {"coldRemainingMs", 0},
                {"stage", "unified"},
                {"models", {{{"name", "m"}, {"version", 1}}}},
                {"born", m_born},
                {"sequence", ++m_sequence}});
    m_log.line(m_id + " writes its row, software " + m_software);
}

void engine::beat()
{
    while (!m_stopping)
    {
        std::this_thread::sleep_for(10ms);
        bool due = false;
        {
            std::lock_guard const lock(m_mutex);
            due = m_is_up && m_rows.is_up() && clock::now() >= m_next_beat;
            if (due)
            {
                m_next_beat = clock::now() + heartbeat;
            }
        }
        if (due)
        {
            write_row();
        }
    }
}

void engine::serve(channel& connection)
{
    int const run = m_run;
    while (auto const request = connection.read())
    {
        if (request->target() == "/v1/report")
        {
            connection.write(make_answer(
                200, "Content-Type: application/json\r\n",
                R"({"stage":"unified","models":[{"name":"m","version":1}],)"
                R"("busy":false,"sequence":0,"queued":0,"active":0,)"
                R"("kvUsed":0,"kvTotal":100000,"handles":0})"));
            continue;
        }
        if (request->field("x-expect-instance") != m_id)
        {
            connection.write(make_answer(421, "", ""));
            continue;
        }
        if (!send_stream(connection, *request, run))
        {
            return;
        }
    }
}

bool engine::send_stream(channel& connection, message const& request, int run)
{
    std::string const attempt = request.field("x-attempt-id");
    std::string const after = request.field("last-event-id");
    std::string const version = software();
    ++m_running;
    m_moved += after.empty() ? 0 : 1;
    m_log.line(m_id + " runs " + attempt + " after event " +
               (after.empty() ? "-" : after) + ", software " + version);
    bool open = connection.write(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "X-Attempt-Id: " +
        attempt + "\r\nX-Server-Seal: " + m_id +
        "\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = after.empty() ? 1 : std::stoi(after) + 1;
         i <= events && open && run == m_run; ++i)
    {
        open = connection.write(make_chunk("id: " + std::to_string(i) +
                                           "\ndata: " + version + " " + m_id +
                                           "\n\n"));
        std::this_thread::sleep_for(event_interval);
    }
    --m_running;
    m_moved -= after.empty() ? 0 : 1;
    return open && run == m_run && connection.write("0\r\n\r\n");
}

namespace
{

/** Reads one answer. */
void read_answer(channel& connection, std::string const& attempt,
                 outcome& result)
{
    auto const head = connection.read(true);
    result.m_last_status = head ? head->status() : 0;
    if (!head || head->status() != 200)
    {
        return;
    }
    std::string text;
    for (;;)
    {
        auto const part = connection.read_chunk();
        if (!part)
        {
            return;
        }
        if (part->empty())
        {
            result.m_complete = true;
            return;
        }
        text += *part;
        for (std::size_t end = 0; (end = text.find("\n\n")) != text.npos;)
        {
            std::string const event = text.substr(0, end);
            text.erase(0, end + 2);
            std::size_t const data = event.find("data: ") + 6;
            result.m_software.insert(
                event.substr(data, event.find(' ', data) - data));
            result.m_last_event = event.substr(4, event.find('\n') - 4);
            if (result.m_first_attempt.empty())
            {
                result.m_first_attempt = attempt;
            }
        }
    }
}

} // namespace

outcome read_stream(std::vector<std::string> const& addresses,
                    std::string const& name, std::string const& parts,
                    int prompt_tokens)
{
    outcome result;
    auto const until = clock::now() + stream_timeout;
    for (std::size_t i = 0; i < addresses.size() && !result.m_complete; ++i)
    {
        auto const left =
            std::chrono::duration_cast<milliseconds>(until - clock::now());
        auto const connection = channel::connect(addresses[i], 1000ms);
        if (!connection || left < 100ms)
        {
            break;
        }
        connection->set_read_timeout(2400ms);
        std::string const attempt = name + "-" + std::to_string(i);
        std::ostringstream request;
        request << "POST /caption/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: "
                << attempt
                << "\r\nX-Model: m\r\nX-Token-Count: " << prompt_tokens << ","
                << events << "\r\nX-Prompt-Prefix: " << parts
                << "\r\nX-Deadline-Ms: " << left.count()
                << "\r\nContent-Length: 0\r\n";
        if (!result.m_last_event.empty())
        {
            request << "Last-Event-Id: " << result.m_last_event
                    << "\r\nResumes: " << result.m_first_attempt << "\r\n";
        }
        request << "\r\n";
        std::string const before = result.m_last_event;
        ++result.m_tries;
        connection->write(request.str());
        read_answer(*connection, attempt, result);
        result.m_went_on =
            i > 0 && (result.m_last_event != before || result.m_complete);
    }
    return result;
}

json stream_configuration()
{
    return {{"version", 1},
            {"routes",
             {{{"name", "caption"},
               {"host", "h"},
               {"prefix", "/caption/"},
               {"routeType", "streaming"},
               {"timeoutMs", stream_timeout.count()},
               {"targetLatencyMs", 800},
               {"priority", 1},
               {"service", "scribe"},
               {"attempts", 2},
               {"public", true},
               {"sticky", true},
               {"resumable", true},
               {"gapTargetMs", 400}}}},
            {"services",
             {{{"name", "scribe"},
               {"healthPath", "/healthz"},
               {"maxConnections", 780},
               {"engine",
                {{"slots", 64},
                 {"kvCapacity", 102881},
                 {"models", {{{"name", "m"}}}}}}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}}};
}

} // namespace stage
