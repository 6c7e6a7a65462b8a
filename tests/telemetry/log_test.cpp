/** @file Tests of logs on an output that nobody reads. */
#include <daisylead/telemetry/log_func.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <iostream>
#include <thread>
#include <unistd.h>

using namespace daisylead;
using namespace std::chrono_literals;

TEST_CASE("an output that nobody reads neither blocks nor grows without bound")
{
    constexpr int lines = 50'000;
    int pipe_ends[2] = {-1, -1};
    REQUIRE(::pipe(pipe_ends) == 0);
    std::cout.flush();
    int const saved = ::dup(STDOUT_FILENO);
    ::dup2(pipe_ends[1], STDOUT_FILENO);
    telemetry::start_logging("info", "entry-1",
                             telemetry::log_target::standard_output);
    auto const began = std::chrono::steady_clock::now();
    for (int i = 0; i < lines; ++i)
    {
        telemetry::log(telemetry::severity::info, "request",
                       {{"number", i}, {"text", std::string(200, 'x')}});
    }
    auto const took = std::chrono::steady_clock::now() - began;

    // The pipe holds 64 KiB and the queue 2,048 lines; the rest is dropped.
    std::atomic<std::size_t> received = 0;
    std::thread reader(
        [&received, end = pipe_ends[0]]
        {
            char bytes[65536];
            for (ssize_t size = ::read(end, bytes, sizeof bytes); size > 0;
                 size = ::read(end, bytes, sizeof bytes))
            {
                received += static_cast<std::size_t>(size);
            }
        });
    telemetry::stop_logging();
    std::this_thread::sleep_for(300ms);
    std::cout.flush();
    ::dup2(saved, STDOUT_FILENO);
    telemetry::start_logging("error", "test");
    ::close(pipe_ends[1]);
    reader.join();
    ::close(pipe_ends[0]);
    ::close(saved);

    // 50,000 lines take well under a second to format; a blocked writer would
    // never end.
    CHECK(took < 20s);
    CHECK(received > 20'000U);
    CHECK(received < 1'600'000U);
}
