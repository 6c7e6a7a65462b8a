/** @file Metrics in the Prometheus text format. */
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace daisylead::telemetry
{

/** One label of a metric. */
struct label
{
    std::string m_name;  ///< for example "code"
    std::string m_value; ///< for example "over_limit"
};

/** Counters, gauges and histograms of a process; safe for all threads. */
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;

    /** Adds to a counter; the name ends in "_total". */
    void count(std::string const& name, std::vector<label> const& labels = {},
               std::uint64_t amount = 1);

    /** Sets a gauge. */
    void set(std::string const& name, double value);

    /** Adds a duration to a histogram; the name ends in "_seconds". */
    void observe(std::string const& name, std::chrono::nanoseconds value);

    /** @return all metrics in the Prometheus text format. */
    std::string render() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisylead::telemetry
