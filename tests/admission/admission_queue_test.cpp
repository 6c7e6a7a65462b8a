/** @file Tests of the admission queue. */
#include <daisylead/admission/admission_queue_base.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>

using namespace daisylead;
using namespace daisylead::admission;
using namespace std::chrono_literals;

namespace
{

time_point const start{std::chrono::hours(1)};

queued_request request(std::string const& id, std::string const& organisation,
                       int priority = 5, std::int64_t cost = 1000,
                       duration patience = 1h)
{
    queued_request item;
    item.m_id = request_id(id);
    item.m_organisation = organisation_id(organisation);
    item.m_priority = priority;
    item.m_cost = token_count(cost);
    item.m_latest_start = start + patience;
    return item;
}

bool always(queued_request const&)
{
    return true;
}

std::string pop(admission_queue& queue, time_point now = start)
{
    auto const item = queue.pop(now, always);
    return item ? item->m_id.value() : "";
}

queue_options small(std::size_t max_queued)
{
    queue_options options;
    options.m_max_queued = max_queued;
    return options;
}

/** Starts one request of 1000 tokens each 100 ms for a second, so that the
 *  measured rate is about 10,000 tokens per second. */
time_point measure_rate(admission_queue& queue)
{
    for (int number = 0; number < 12; ++number)
    {
        queue.push(request("w" + std::to_string(number), "warm"), start);
    }
    time_point now = start;
    for (int number = 0; number < 11; ++number)
    {
        now += 100ms;
        queue.pop(now, always);
    }
    return now;
}

} // namespace

TEST_CASE("within an organisation, requests are ordered by priority, then age")
{
    admission_queue queue(small(10));
    queue.push(request("late", "a", 5), start);
    queue.push(request("late2", "a", 5), start);
    queue.push(request("urgent", "a", 1), start);
    CHECK(pop(queue) == "urgent");
    CHECK(pop(queue) == "late");
    CHECK(pop(queue) == "late2");
    CHECK(pop(queue).empty());
}

TEST_CASE("an organisation that exceeds its rate does not delay the others")
{
    admission_queue queue(small(1000));
    for (int number = 0; number < 100; ++number)
    {
        queue.push(request("f" + std::to_string(number), "flood"), start);
    }
    queue.push(request("one", "small"), start);
    CHECK((pop(queue) == "one" || pop(queue) == "one"));
}

TEST_CASE("tokens are shared by weight among backlogged organisations")
{
    rc::check(
        []
        {
            admission_queue queue(small(100000));
            std::map<std::string, int> const weights{
                {"a", 1}, {"b", 2}, {"c", 4}};
            for (auto const& [name, weight] : weights)
            {
                queue.set_weight(organisation_id(name), weight);
                for (int number = 0; number < 400; ++number)
                {
                    auto const cost = 100 + static_cast<int>(random() % 1900);
                    auto const priority = static_cast<int>(random() % 6);
                    queue.push(request(name + std::to_string(number), name,
                                       priority, cost),
                               start);
                }
            }
            std::map<std::string, double> served;
            for (int number = 0; number < 300; ++number)
            {
                auto const item = queue.pop(start, always);
                served[item->m_organisation.value()] +=
                    static_cast<double>(item->m_cost.value());
            }
            // Fairness bound of start-time fair queueing plus the lead of
            // urgent requests.
            double const bound = 2 * 2000 + 16384;
            for (auto const& [name, weight] : weights)
            {
                RC_ASSERT(std::abs(served[name] / weight - served["a"]) <=
                          bound);
            }
        });
}

TEST_CASE("urgent requests precede other organisations only within the lead")
{
    admission_queue queue(small(1000));
    for (int number = 0; number < 100; ++number)
    {
        queue.push(request("n" + std::to_string(number), "normal"), start);
        queue.push(request("u" + std::to_string(number), "urgent", 0), start);
    }
    int urgent = 0;
    for (int number = 0; number < 10; ++number)
    {
        urgent += pop(queue)[0] == 'u' ? 1 : 0;
    }
    CHECK(urgent >= 9);
    for (int number = 0; number < 90; ++number)
    {
        urgent += pop(queue)[0] == 'u' ? 1 : 0;
    }
    CHECK(urgent <= 60);
}

TEST_CASE(
    "a request whose estimated wait exceeds its deadline is refused at once")
{
    admission_queue queue(small(1000));
    time_point const now = measure_rate(queue);
    for (int number = 0; number < 50; ++number)
    {
        queue.push(request("q" + std::to_string(number), "a"), now);
    }
    auto const refused = queue.push(request("r", "a", 5, 1000, 2s), now);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].m_id == request_id("r"));
    CHECK(refused[0].m_reason == refusal_reason::wait_exceeds_deadline);
    CHECK(refused[0].m_retry_after >= 3s);
    // The share of another organisation is unused, so its request is admitted.
    CHECK(queue.push(request("s", "b", 5, 1000, 3s), now).empty());
}

TEST_CASE("if no requests start, queued ones are refused before their deadline")
{
    admission_queue queue(small(1000));
    time_point const now = measure_rate(queue);
    queue.push(request("first", "a", 5, 5000, 10s), now);
    queue.push(request("second", "a", 5, 5000, 10s), now);
    REQUIRE(queue.next_timer());
    std::vector<refused_request> refused;
    time_point at = now;
    while (refused.empty() && at < now + 20s)
    {
        at = *queue.next_timer();
        refused = queue.expire(at);
    }
    CHECK(refused[0].m_id == request_id("second"));
    CHECK(at < start + 9s);
}

TEST_CASE("requests with time left are kept while a long request is running")
{
    // Guards against an estimated wait of an hour because no request started
    // for a few seconds.
    bool const measured = GENERATE(false, true);
    admission_queue queue(small(1000));
    time_point now = start;
    if (measured)
    {
        now = measure_rate(queue);
        CHECK_FALSE(pop(queue, now).empty());
    }
    queue.push(request("running", "a", 5, 32000), now);
    CHECK(pop(queue, now) == "running");
    queue.push(request("next", "a", 5, 32000), now);
    now += 3s;
    duration const patience = now - start + 20s;
    CHECK(queue.push(request("last", "a", 5, 100, patience), now).empty());
    CHECK(queue.estimated_wait(organisation_id("a"), 5, now) < 10s);
    now += 2s;
    CHECK(queue.expire(now).empty());
    CHECK(pop(queue, now) == "next");
    CHECK(pop(queue, now) == "last");
}

TEST_CASE("a request with less time than a stall has lasted is refused at once")
{
    admission_queue queue(small(1000));
    queue.push(request("next", "a"), start);
    time_point const now = start + 5s;
    auto const refused = queue.push(request("last", "a", 5, 100, 8s), now);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].m_id == request_id("last"));
    CHECK(refused[0].m_reason == refusal_reason::wait_exceeds_deadline);
}

TEST_CASE("a full queue refuses a request of the organisation with most tokens")
{
    admission_queue queue(small(4));
    for (char const* id : {"f1", "f2", "f3", "f4"})
    {
        queue.push(request(id, "flood"), start);
    }
    auto const refused = queue.push(request("one", "small"), start);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].m_id == request_id("f4"));
    CHECK(refused[0].m_reason == refusal_reason::queue_full);
    CHECK(queue.size() == 4);
}

TEST_CASE("a request that cannot start does not block other organisations")
{
    admission_queue queue(small(10));
    queue.push(request("blocked", "a"), start);
    queue.push(request("free", "b"), start);
    auto const item =
        queue.pop(start, [](queued_request const& candidate)
                  { return candidate.m_id != request_id("blocked"); });
    REQUIRE(item);
    CHECK(item->m_id == request_id("free"));
    CHECK(queue.size() == 1);
}

TEST_CASE("requests of a disconnected caller or a revoked key never start")
{
    admission_queue queue(small(10));
    access::key_digest key{};
    queued_request revoked = request("revoked", "a");
    revoked.m_key = key;
    queue.push(revoked, start);
    queue.push(request("left", "a"), start);
    queue.push(request("other", "b"), start);
    CHECK(queue.remove(request_id("left")));
    CHECK_FALSE(queue.remove(request_id("left")));
    CHECK(queue.remove_key(key) ==
          std::vector<request_id>{request_id("revoked")});
    CHECK(queue.remove_organisation(organisation_id("b")).size() == 1);
    CHECK(pop(queue).empty());
    CHECK_FALSE(queue.next_timer());
}
