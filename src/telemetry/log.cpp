/** @file Logs as JSON lines by Boost.Log. */
#include <daisylead/telemetry/log_func.hpp>

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <ctime>
#include <future>
#include <iostream>
#include <thread>

namespace daisylead::telemetry
{

namespace
{

namespace logging = boost::log;

/** Lines that wait for the log's thread; some seconds of a busy instance. */
constexpr std::size_t max_waiting_lines = 2048;

/** Time to write waiting lines at the end of the process. */
constexpr std::chrono::milliseconds stop_timeout{300};

using text_backend = logging::sinks::text_ostream_backend;
using bounded_sink = logging::sinks::asynchronous_sink<
    text_backend, logging::sinks::bounded_fifo_queue<
                      max_waiting_lines, logging::sinks::drop_on_overflow>>;

boost::shared_ptr<bounded_sink>& output_sink()
{
    static boost::shared_ptr<bounded_sink> sink;
    return sink;
}

std::string& instance_name()
{
    static std::string name;
    return name;
}

severity parse_severity(std::string const& level)
{
    if (level == "debug")
    {
        return severity::debug;
    }
    if (level == "warning")
    {
        return severity::warning;
    }
    return level == "error" ? severity::error : severity::info;
}

std::string to_string(severity level)
{
    switch (level)
    {
    case severity::debug:
        return "debug";
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "info";
}

std::string utc_now()
{
    auto const now = std::chrono::system_clock::now();
    auto const seconds = std::chrono::system_clock::to_time_t(now);
    auto const millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                            now.time_since_epoch()) %
                        std::chrono::seconds(1);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[40];
    std::size_t const size = std::strftime(text, sizeof text, "%FT%T", &parts);
    std::string result(text, size);
    std::string const digits = std::to_string(millis.count());
    return result + "." + std::string(3 - digits.size(), '0') + digits + "Z";
}

} // namespace

void start_logging(std::string const& level, std::string const& instance,
                   log_target target)
{
    instance_name() = instance;
    auto const backend = boost::make_shared<text_backend>();
    std::ostream& stream =
        target == log_target::standard_output ? std::cout : std::clog;
    backend->add_stream(
        boost::shared_ptr<std::ostream>(&stream, boost::null_deleter()));
    backend->auto_flush(true);
    auto const formatter = logging::expressions::stream
                           << logging::expressions::smessage;
    logging::core::get()->remove_all_sinks();
    if (target == log_target::standard_output)
    {
        auto const front = boost::make_shared<bounded_sink>(backend);
        front->set_formatter(formatter);
        logging::core::get()->add_sink(front);
        output_sink() = front;
    }
    else
    {
        auto const front =
            boost::make_shared<logging::sinks::synchronous_sink<text_backend>>(
                backend);
        front->set_formatter(formatter);
        logging::core::get()->add_sink(front);
    }
    severity const least = parse_severity(level);
    logging::core::get()->set_filter(
        logging::expressions::attr<severity>("Severity") >= least);
}

void stop_logging()
{
    boost::shared_ptr<bounded_sink> const sink = output_sink();
    if (!sink)
    {
        return;
    }
    std::promise<void> written;
    std::future<void> const done = written.get_future();
    std::thread(
        [sink, written = std::move(written)]() mutable
        {
            sink->flush();
            written.set_value();
        })
        .detach();
    done.wait_for(stop_timeout);
}

void log(severity level, std::string const& event, nlohmann::json const& fields)
{
    static logging::sources::severity_logger_mt<severity> logger;
    logging::record record =
        logger.open_record(logging::keywords::severity = level);
    if (!record)
    {
        return;
    }
    nlohmann::ordered_json line = {{"time", utc_now()},
                                   {"level", to_string(level)},
                                   {"instance", instance_name()},
                                   {"event", event}};
    for (auto const& [name, value] : fields.items())
    {
        line[name] = value;
    }
    logging::record_ostream stream(record);
    stream << line.dump(-1, ' ', false,
                        nlohmann::json::error_handler_t::replace);
    stream.flush();
    logger.push_record(std::move(record));
}

} // namespace daisylead::telemetry
