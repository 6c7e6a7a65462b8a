/** @file Model servers that restart with other software, and callers that read
 *  streams from them. */
#pragma once

#include "stage.hpp"

#include <set>

namespace stage
{

constexpr int events = 110;
constexpr milliseconds event_interval{50};
constexpr milliseconds heartbeat{1200};

/** Of the route, and of each caller. */
constexpr milliseconds stream_timeout{6000};

/** A model server. Its row in the store is written each 1.2 s. */
class engine
{
public:
    engine(std::string id, store& rows, record& log);
    ~engine();
    engine(engine const&) = delete;
    engine& operator=(engine const&) = delete;

    void crash();

    /** Starts again under the same id. */
    void restart(std::string const& software);

    /** @return number of streams that it runs. */
    int running() const
    {
        return m_running;
    }

    /** @return number of those that another server began. */
    int moved() const
    {
        return m_moved;
    }

private:
    std::string software();
    void write_row();
    void beat();
    void serve(channel& connection);
    bool send_stream(channel& connection, message const& request, int run);

    std::string m_id;
    store& m_rows;
    record& m_log;
    std::mutex m_mutex;
    std::string m_software = "v1";
    std::int64_t m_born = unix_ms();
    int m_sequence = 0;
    clock::time_point m_next_beat = clock::now() + heartbeat;
    std::atomic<bool> m_is_up = true;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_run = 0;
    std::atomic<int> m_running = 0;
    std::atomic<int> m_moved = 0;
    std::thread m_beats;
    listener m_listener;
};

/** What a caller got of one stream, over all its tries. */
struct outcome
{
    std::set<std::string> m_software;
    std::string m_last_event;
    std::string m_first_attempt; ///< that brought the first event
    int m_tries = 0;
    bool m_complete = false;
    bool m_went_on = false; ///< the second try brought an event
    int m_last_status = 0;
};

/** Reads a stream, and takes it up once after a broken connection.
 *  @param parts of the prompt, with prompt_tokens in all
 *  @param addresses of the first try and of the second one */
outcome read_stream(std::vector<std::string> const& addresses,
                    std::string const& name, std::string const& parts,
                    int prompt_tokens);

/** @return a configuration with an open route for streams that may be
 *          resumed. */
json stream_configuration();

} // namespace stage
