#pragma once

#include <endivespan/weight_history.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <rapidcheck.h>
#include <vector>

/// Hosts that learn from the log which weights were named.
namespace endivespan::tests {

/// A host's record, which it extends by reading the newest version from the log.
struct ReadingHost {
    WeightHistory history;
    std::optional<TimePoint> readAt; ///< Latest read, which found nothing newer.

    void read(const std::vector<TimePoint> &namings, TimePoint now)
    {
        const auto version = std::count_if(namings.begin(), namings.end(), [now](TimePoint at) { return at <= now; });
        if (version > 0) {
            this->history.recordVersion("m", static_cast<std::uint64_t>(version), this->readAt);
        }
        this->readAt = now;
    }
};

/// @returns an arbitrary time of at most @p most.
inline Duration upTo(Duration most)
{
    return Duration(*rc::gen::inRange<Duration::rep>(0, most.count() + 1));
}

} // namespace endivespan::tests
