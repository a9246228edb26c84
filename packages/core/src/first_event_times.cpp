#include <endivespan/first_event_times.h>

#include <algorithm>
#include <bit>
#include <chrono>
#include <cmath>
#include <numeric>

namespace endivespan {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// Weight that samples still have after some time.
double decayAfter(Duration time)
{
    const double halfLives = Milliseconds(time).count() / Milliseconds(config::FirstEventHalfLife).count();
    return std::exp2(-std::max(halfLives, 0.0));
}

template<typename Histogram>
double weightOf(const Histogram &histogram)
{
    return std::accumulate(histogram.begin(), histogram.end(), 0.0);
}

// Returns the quantile of the samples in the bins from the first one on, by interpolation in its bin. It stays below
// the upper end, so that an attempt which is recorded as the usual time does not enter the next bin.
template<typename Histogram>
Duration quantileFrom(const Histogram &histogram, int first, double weight, double share)
{
    const auto &axis = histogram.axis(0);
    int bin = first;
    double left = share * weight;
    while (bin + 1 < axis.size() && left > histogram.at(bin)) {
        left -= histogram.at(bin++);
    }
    const double part = std::min(left / std::max(histogram.at(bin), left), config::FirstEventBinPart);
    return std::chrono::duration_cast<Duration>(Milliseconds(axis.value(bin + part)));
}

} // namespace

FirstEventTimes::Times::Times()
    : histogram(std::tuple(Axis(config::FirstEventBins,
                                Milliseconds(config::FirstEventLeast).count(),
                                Milliseconds(config::FirstEventMost).count())),
                Storage())
{
}

FirstEventTimes::Key FirstEventTimes::keyOf(const FirstEventKind &kind)
{
    return {kind.route, std::bit_width(kind.work)};
}

void FirstEventTimes::observe(const FirstEventKind &kind, Duration time, TimePoint now)
{
    Times &times = this->kinds[keyOf(kind)];
    times.histogram *= decayAfter(now - times.decayedAt);
    times.decayedAt = now;
    const double sample = Milliseconds(time).count();
    // Inside the bounds, since the bins for values outside them are not part of quantiles.
    times.histogram(std::clamp(
        sample, Milliseconds(config::FirstEventLeast).count(), Milliseconds(config::FirstEventMost).count() - 1));
}

void FirstEventTimes::observeGivenUp(const FirstEventKind &kind, Duration elapsed, TimePoint now)
{
    if (const auto usual = this->usualTime(kind, now)) {
        this->observe(kind, std::min(elapsed, *usual), now);
    }
}

// Returns the times of a kind with enough recent samples, or null.
const FirstEventTimes::Times *FirstEventTimes::find(const FirstEventKind &kind, TimePoint now) const
{
    const auto found = this->kinds.find(keyOf(kind));
    if (found == this->kinds.end()) {
        return nullptr;
    }
    const double weight = weightOf(found->second.histogram) * decayAfter(now - found->second.decayedAt);
    return weight >= config::FirstEventLeastSamples ? &found->second : nullptr;
}

std::optional<Duration> FirstEventTimes::usualTime(const FirstEventKind &kind, TimePoint now) const
{
    const Times *times = this->find(kind, now);
    if (times == nullptr) {
        return std::nullopt;
    }
    return quantileFrom(times->histogram, 0, weightOf(times->histogram), config::FirstEventQuantile);
}

Duration
FirstEventTimes::waitLeft(const FirstEventKind &kind, Duration elapsed, bool isServerSilent, TimePoint now) const
{
    const auto usual = isServerSilent ? std::nullopt : this->usualTime(kind, now);
    return std::max(usual.value_or(Duration::zero()) - elapsed, Duration::zero());
}

bool FirstEventTimes::isSecondFirst(const FirstEventKind &kind,
                                    Duration elapsed,
                                    Duration expected,
                                    TimePoint now) const
{
    const Times *times = this->find(kind, now);
    if (times == nullptr) {
        return true;
    }
    const auto &axis = times->histogram.axis(0);
    const int first = axis.index(Milliseconds(elapsed).count()) + 1;
    double longer = 0;
    for (int bin = std::max(first, 0); bin < axis.size(); ++bin) {
        longer += times->histogram.at(bin);
    }
    if (longer * decayAfter(now - times->decayedAt) < config::FirstEventLongerLeast) {
        return true;
    }
    return expected <= quantileFrom(times->histogram, std::max(first, 0), longer, config::FirstEventMedian) - elapsed;
}

} // namespace endivespan
