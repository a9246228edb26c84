#include "metrics.h"

#include <endivespan/invariant.h>

#include <boost/histogram.hpp>
#include <fmt/format.h>

#include <functional>
#include <map>
#include <tuple>

namespace endivespan {

namespace {

namespace bh = boost::histogram;

constexpr unsigned BucketCount = 32;
constexpr double FirstBucketSeconds = 0.0005;
constexpr double LastBucketSeconds = 120.0;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

auto makeHistogram()
{
    return bh::make_histogram(LogAxis(BucketCount, FirstBucketSeconds, LastBucketSeconds));
}

struct TimeHistogram {
    decltype(makeHistogram()) buckets = makeHistogram();
    double sum = 0;
    std::uint64_t count = 0;
};

std::string series(std::string_view name, std::string_view labels)
{
    return labels.empty() ? fmt::format("endivespan_{}", name) : fmt::format("endivespan_{}{{{}}}", name, labels);
}

void writeHistogram(std::string &out, const std::string &name, const TimeHistogram &histogram)
{
    fmt::format_to(std::back_inserter(out), "# TYPE endivespan_{} histogram\n", name);
    const auto &axis = histogram.buckets.axis();
    auto below = static_cast<std::uint64_t>(histogram.buckets.at(-1));
    for (int i = 0; i < axis.size(); ++i) {
        below += static_cast<std::uint64_t>(histogram.buckets.at(i));
        fmt::format_to(
            std::back_inserter(out), "endivespan_{}_bucket{{le=\"{:.5g}\"}} {}\n", name, axis.bin(i).upper(), below);
    }
    fmt::format_to(std::back_inserter(out), "endivespan_{}_bucket{{le=\"+Inf\"}} {}\n", name, histogram.count);
    fmt::format_to(std::back_inserter(out), "endivespan_{}_sum {}\n", name, histogram.sum);
    fmt::format_to(std::back_inserter(out), "endivespan_{}_count {}\n", name, histogram.count);
}

void writeInvariants(std::string &out)
{
    for (int i = 0; i < static_cast<int>(Invariant::Count); ++i) {
        const auto invariant = static_cast<Invariant>(i);
        const auto [checked, violated] = invariantCount(invariant);
        const auto name = invariantName(invariant);
        fmt::format_to(std::back_inserter(out), "endivespan_invariant_checks{{name=\"{}\"}} {}\n", name, checked);
        fmt::format_to(std::back_inserter(out), "endivespan_invariant_violations{{name=\"{}\"}} {}\n", name, violated);
    }
}

} // namespace

struct Metrics::State {
    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, TimeHistogram, std::less<>> histograms;
};

Metrics::Metrics()
    : state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, std::string_view labels, std::uint64_t by)
{
    this->state->counters[series(name, labels)] += by;
}

void Metrics::gauge(std::string_view name, std::string_view labels, double value)
{
    this->state->gauges[series(name, labels)] = value;
}

void Metrics::observe(std::string_view name, std::chrono::microseconds value)
{
    TimeHistogram &histogram = this->state->histograms[std::string(name)];
    const double seconds = std::chrono::duration<double>(value).count();
    histogram.buckets(seconds);
    histogram.sum += seconds;
    ++histogram.count;
}

std::string Metrics::text() const
{
    std::string out;
    for (const auto &[name, value] : this->state->counters) {
        fmt::format_to(std::back_inserter(out), "{} {}\n", name, value);
    }
    for (const auto &[name, value] : this->state->gauges) {
        fmt::format_to(std::back_inserter(out), "{} {}\n", name, value);
    }
    for (const auto &[name, histogram] : this->state->histograms) {
        writeHistogram(out, name, histogram);
    }
    writeInvariants(out);
    return out;
}

} // namespace endivespan
