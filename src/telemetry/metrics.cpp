/** @file Metrics on Boost.Histogram. */
#include <daisylead/telemetry/metrics_base.hpp>

#include <boost/histogram.hpp>

#include <map>
#include <mutex>
#include <sstream>

namespace daisylead::telemetry
{

namespace
{

namespace histogram = boost::histogram;

/** Upper bounds of latency buckets, seconds: close together around the targets
 *  of 1 ms and 5 ms added latency and 0.96 s to the first token. */
std::vector<double> const latency_bounds = {
    0,     0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01,
    0.025, 0.05,   0.1,     0.25,   0.5,   0.75,   0.96,  1.5,
    2.5,   5,      10,      30,     60,    120};

using axis = histogram::axis::variable<>;
using latency_histogram =
    decltype(histogram::make_histogram(axis(latency_bounds)));

struct series
{
    latency_histogram m_histogram =
        histogram::make_histogram(axis(latency_bounds));
    double m_sum = 0;
    std::uint64_t m_count = 0;
};

std::string escape(std::string const& value)
{
    std::string text;
    for (char const c : value)
    {
        if (c == '"' || c == '\\')
        {
            text += '\\';
        }
        text += c == '\n' ? ' ' : c;
    }
    return text;
}

std::string render_labels(std::vector<label> const& labels)
{
    std::string text;
    for (label const& item : labels)
    {
        text += text.empty() ? "{" : ",";
        text += item.m_name + "=\"" + escape(item.m_value) + "\"";
    }
    return text.empty() ? text : text + "}";
}

void render_histogram(std::ostream& stream, std::string const& name,
                      series const& item)
{
    stream << "# TYPE " << name << " histogram\n";
    double total = item.m_histogram.at(-1);
    int index = 0;
    for (auto const& bin : item.m_histogram.axis(0))
    {
        total += item.m_histogram.at(index++);
        stream << name << "_bucket{le=\"" << bin.upper() << "\"} " << total
               << '\n';
    }
    stream << name << "_bucket{le=\"+Inf\"} " << item.m_count << '\n'
           << name << "_sum " << item.m_sum << '\n'
           << name << "_count " << item.m_count << '\n';
}

} // namespace

class metrics::impl
{
public:
    mutable std::mutex m_mutex;
    std::map<std::string, std::map<std::string, std::uint64_t>> m_counters;
    std::map<std::string, double> m_gauges;
    std::map<std::string, series> m_series;
};

metrics::metrics() : m_impl(std::make_unique<impl>()) {}

metrics::~metrics() = default;

void metrics::count(std::string const& name, std::vector<label> const& labels,
                    std::uint64_t amount)
{
    std::lock_guard const lock(m_impl->m_mutex);
    m_impl->m_counters[name][render_labels(labels)] += amount;
}

void metrics::set(std::string const& name, double value)
{
    std::lock_guard const lock(m_impl->m_mutex);
    m_impl->m_gauges[name] = value;
}

void metrics::observe(std::string const& name, std::chrono::nanoseconds value)
{
    double const seconds = std::chrono::duration<double>(value).count();
    std::lock_guard const lock(m_impl->m_mutex);
    series& item = m_impl->m_series[name];
    item.m_histogram(seconds);
    item.m_sum += seconds;
    ++item.m_count;
}

std::string metrics::render() const
{
    std::lock_guard const lock(m_impl->m_mutex);
    std::ostringstream stream;
    for (auto const& [name, values] : m_impl->m_counters)
    {
        stream << "# TYPE " << name << " counter\n";
        for (auto const& [labels, value] : values)
        {
            stream << name << labels << ' ' << value << '\n';
        }
    }
    for (auto const& [name, value] : m_impl->m_gauges)
    {
        stream << "# TYPE " << name << " gauge\n"
               << name << ' ' << value << '\n';
    }
    for (auto const& [name, item] : m_impl->m_series)
    {
        render_histogram(stream, name, item);
    }
    return stream.str();
}

} // namespace daisylead::telemetry
