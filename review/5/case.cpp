/** @file The servers of a service say that they are brittle; the instance goes
 *  on to send them more than they have room for, and they fall over. */
#include "../tools/shop.hpp"

#include <deque>
#include <semaphore>

namespace
{

using namespace review;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto steady_time = 3s;
constexpr auto brittle_time = 15s;
constexpr int servers = 3;
constexpr int slots = 6;
constexpr int usual_queue = 24;
constexpr int brittle_queue = 2;
constexpr int callers = 60;
constexpr auto work_time = 60ms;

/** Requests that a server may have to turn away in a second, as it states. */
constexpr int max_rejections = 10;

/** Time that the rule leaves after the first statement. */
constexpr auto stable_time = 3s;

/** A server that has fallen over is back after this time. */
constexpr auto down_time = 2s;

/** Falls that the rule permits: 2 and a tenth of the servers. */
constexpr double max_falls = 2 + servers * 0.1;

struct totals
{
    std::atomic<int> m_sent = 0;
    std::atomic<int> m_answered = 0;
    std::atomic<int> m_refused = 0;
    std::atomic<int> m_failed = 0;
    std::atomic<int> m_rejected = 0;
    std::atomic<int> m_falls = 0;
};

/** Whether the servers are brittle, and since when. */
class brittleness
{
public:
    void begin()
    {
        m_began = clock::now();
        m_active = true;
    }

    void end()
    {
        m_active = false;
    }

    bool is_active() const
    {
        return m_active;
    }

    int queue() const
    {
        return m_active && clock::now() - m_began.load() > stable_time
                   ? brittle_queue
                   : usual_queue;
    }

private:
    std::atomic<bool> m_active = false;
    std::atomic<clock::time_point> m_began;
};

/** Places and queue of a server. */
class room
{
public:
    /** @return whether the request is taken */
    bool enter(int queue)
    {
        std::lock_guard const lock(m_mutex);
        bool const taken = m_held < slots + queue;
        m_held += taken ? 1 : 0;
        return taken;
    }

    /** Waits for a place, works and leaves. */
    void work()
    {
        m_places.acquire();
        std::this_thread::sleep_for(work_time);
        m_places.release();
        std::lock_guard const lock(m_mutex);
        --m_held;
    }

    /** @return requests that were turned away in the last second */
    int note_rejection()
    {
        clock::time_point const now = clock::now();
        std::lock_guard const lock(m_mutex);
        m_rejections.push_back(now);
        while (now - m_rejections.front() > 1s)
        {
            m_rejections.pop_front();
        }
        return static_cast<int>(m_rejections.size());
    }

    void forget_rejections()
    {
        std::lock_guard const lock(m_mutex);
        m_rejections.clear();
    }

    std::atomic<bool> m_falls = false;

private:
    std::counting_semaphore<slots> m_places{slots};
    std::mutex m_mutex;
    int m_held = 0;                             ///< guarded by m_mutex
    std::deque<clock::time_point> m_rejections; ///< guarded by m_mutex
};

void serve(connection& caller, room& place, brittleness const& state,
           totals& counts)
{
    message request;
    while (caller.read_request(request) == end_kind::complete)
    {
        std::string fields = answer_fields(request);
        if (state.is_active())
        {
            fields +=
                "Server-Brittle: " + std::to_string(max_rejections) + "\r\n";
        }
        if (place.enter(state.queue()))
        {
            place.work();
            if (!caller.write(make_answer(200, fields, "done")))
            {
                return;
            }
            continue;
        }
        ++counts.m_rejected;
        bool const is_over = place.note_rejection() > max_rejections;
        place.m_falls = place.m_falls || (state.is_active() && is_over);
        if (!caller.write(
                make_answer(503, fields + "X-Not-Executed: 1\r\n", "")))
        {
            return;
        }
    }
}

/** Lets a server fall over that has turned away too many. */
void watch_server(shop& deployment, int number, room& place, totals& counts,
                  record& log)
{
    while (!deployment.is_stopping())
    {
        if (place.m_falls)
        {
            ++counts.m_falls;
            log.add("server " + std::to_string(number) + " falls over");
            deployment.set_down(number, true);
            std::this_thread::sleep_for(down_time);
            place.forget_rejections();
            place.m_falls = false;
            deployment.set_down(number, false);
        }
        std::this_thread::sleep_for(5ms);
    }
}

void send_bookings(shop& deployment, int number, totals& counts)
{
    std::unique_ptr<connection> kept;
    for (int i = 0; !deployment.is_stopping(); ++i)
    {
        if (!kept)
        {
            kept = connection::open(deployment.entry().caller_port());
        }
        if (!kept)
        {
            std::this_thread::sleep_for(100ms);
            continue;
        }
        ++counts.m_sent;
        kept->write("POST /booking/1 HTTP/1.1\r\nHost: shop.example\r\n"
                    "X-Attempt-Id: booking-" +
                    std::to_string(number) + "-" + std::to_string(i) +
                    "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nsale");
        message answer;
        if (kept->read_answer(answer, 2500ms) != end_kind::complete)
        {
            ++counts.m_failed;
            kept.reset();
            continue;
        }
        int const status = answer.status();
        ++(status == 200   ? counts.m_answered
           : status == 503 ? counts.m_refused
                           : counts.m_failed);
        if (status == 503)
        {
            // Callers wait as they are told.
            std::this_thread::sleep_for(std::chrono::duration<double>(
                std::atof(answer.field("Retry-After").c_str())));
        }
    }
}

int run(record& log)
{
    brittleness state;
    totals counts;
    std::vector<room> places(servers);
    shop deployment(
        log,
        [&](connection& caller, int number)
        { serve(caller, places[number], state, counts); },
        json::array({make_route("booking", "/booking/", "non_idempotent",
                                "scribe", 1500, 150, 1)}),
        slots);
    if (!deployment.start())
    {
        return 2;
    }
    for (int i = 0; i < servers; ++i)
    {
        deployment.run_thread(
            [&, i] { watch_server(deployment, i, places[i], counts, log); });
    }
    for (int i = 0; i < callers; ++i)
    {
        deployment.run_thread([&, i] { send_bookings(deployment, i, counts); });
    }
    std::this_thread::sleep_for(steady_time);
    log.add(std::to_string(counts.m_rejected) + " turned away before");
    if (has_trouble())
    {
        log.add("the servers say that they are brittle");
        state.begin();
    }
    std::this_thread::sleep_for(brittle_time);
    state.end();
    log.add("the servers are sound again");
    deployment.stop();
    log.add("bookings: " + std::to_string(counts.m_sent) + " sent, " +
            std::to_string(counts.m_answered) + " answered, " +
            std::to_string(counts.m_refused) + " refused, " +
            std::to_string(counts.m_failed) + " failed; servers turned " +
            std::to_string(counts.m_rejected) + " away and fell over " +
            std::to_string(counts.m_falls) + " times (2 permitted)");
    if (counts.m_answered == 0)
    {
        return 2;
    }
    bool const is_broken = counts.m_falls > max_falls;
    log.add(is_broken ? "LIMIT is broken" : "LIMIT holds");
    return is_broken ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, &run);
}
