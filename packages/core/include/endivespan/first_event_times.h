#pragma once

#include <endivespan/clock.h>
#include <endivespan/config.h>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

/// Decides from the usual times to the first event when a second attempt at a request is worth its cost.
namespace endivespan {

/// What is compared with the usual times: the requests of one route whose prompts take about the same work.
struct FirstEventKind {
    std::string route;
    std::uint64_t work = 0; ///< Prompt tokens that the server is expected to process; 0 for services without prompts.
};

/// Learns the distribution of the time to the first event by route and by power of two of the prompt work. Recent
/// samples count more, so that it follows a pool that slows down or recovers. Without enough recent samples of a kind
/// nothing is known of it, and callers use their own delay.
///
/// Exists for the load in which the usual time is just below the aim of the route: a delay that follows from the aim
/// sends a third of the requests to two servers, each of which then has less room for others.
class FirstEventTimes
{
public:
    /// Records the time from the start of an attempt to its first event.
    void observe(const FirstEventKind &kind, Duration time, TimePoint now);

    /// Records an attempt that was given up for another one after @p elapsed without an event. It counts as at most the
    /// usual time, so that servers which never answer do not raise that without limit.
    void observeGivenUp(const FirstEventKind &kind, Duration elapsed, TimePoint now);

    /// @returns the 95th percentile of the recent times; nothing when there are too few samples.
    [[nodiscard]] std::optional<Duration> usualTime(const FirstEventKind &kind, TimePoint now) const;

    /// @returns how much longer than @p elapsed an attempt has to wait before a second one is started, as far as the
    ///     usual time says; zero when there are too few samples.
    /// @param isServerSilent True when the server sends nothing for any request, so that its usual time does not count.
    [[nodiscard]] Duration
    waitLeft(const FirstEventKind &kind, Duration elapsed, bool isServerSilent, TimePoint now) const;

    /// @returns whether a second attempt that is expected to take @p expected is likely to be first. The attempt under
    ///     way has taken @p elapsed; it is expected to need as much more as the median of recent ones that took longer.
    ///     True when there are too few samples or none took longer.
    [[nodiscard]] bool
    isSecondFirst(const FirstEventKind &kind, Duration elapsed, Duration expected, TimePoint now) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = boost::histogram::dense_storage<double>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, Storage>;

    /// Times of one kind, in milliseconds.
    struct Times {
        Times();

        Histogram histogram;
        TimePoint decayedAt; ///< As of when the counts have decayed.
    };

    using Key = std::pair<std::string, int>; ///< Route and power of two of the work.

    [[nodiscard]] static Key keyOf(const FirstEventKind &kind);
    [[nodiscard]] const Times *find(const FirstEventKind &kind, TimePoint now) const;

    std::map<Key, Times> kinds;
};

} // namespace endivespan
