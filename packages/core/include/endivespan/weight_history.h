#pragma once

#include <endivespan/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// History of the weight versions that operators have named, by model.
namespace endivespan {

/// Records when each weight version of each model was named. A version stays usable for a bounded time after it was
/// replaced; that time runs from the first newer version, and naming still newer ones does not extend it.
class WeightHistory
{
public:
    /// Records that @p version was named.
    /// @param at The earliest time at which it may have been named; the clock's epoch when that is unknown, so that it
    ///     counts as long ago.
    /// @returns false when it was on record already, in which case the earlier time stays.
    bool recordVersion(const std::string &model, std::uint64_t version, TimePoint at);

    /// @returns the newest version by model.
    [[nodiscard]] std::map<std::string, std::uint64_t> newest() const;

    /// @returns the newest version of @p model, or nothing when none was named.
    [[nodiscard]] std::optional<std::uint64_t> newest(const std::string &model) const;

    /// @returns when the first version newer than @p version was named, or nothing while it is the newest.
    [[nodiscard]] std::optional<TimePoint> replacedAt(const std::string &model, std::uint64_t version) const;

    /// @returns the oldest version that may still be used: the newest of those named more than @p bound ago; 0, for any
    ///     version, when there is none.
    [[nodiscard]] std::uint64_t oldestUsable(const std::string &model, Duration bound, TimePoint now) const;

private:
    std::map<std::string, std::map<std::uint64_t, TimePoint>> versions; ///< When each was named, by model and version.
};

} // namespace endivespan
