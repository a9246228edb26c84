#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

/// Counters, gauges and time histograms of a node, written as Prometheus text.
namespace endivespan {

/// All metrics of one process.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds to a counter.
    /// @param name Metric name without the "endivespan_" prefix.
    /// @param labels Labels as written in Prometheus text, or empty.
    void count(std::string_view name, std::string_view labels = {}, std::uint64_t by = 1);

    /// Sets a gauge.
    void gauge(std::string_view name, std::string_view labels, double value);

    /// Adds one duration to a histogram.
    void observe(std::string_view name, std::chrono::microseconds value);

    /// @returns all metrics and the counts of all invariants as Prometheus text.
    [[nodiscard]] std::string text() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace endivespan
