#pragma once

#include <endivespan/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// History of the weight versions that operators have named, by model.
namespace endivespan {

/// Since when a version may have been named, as one host states it to another.
struct WeightNaming {
    std::string model;
    std::uint64_t version = 0;
    std::optional<Duration> age; ///< Longest time since it was named; absent when that is unknown.

    bool operator==(const WeightNaming &) const = default;
};

/// Records when each weight version of each model was named. A version stays usable for a bounded time after it was
/// replaced; that time runs from the first newer version, and naming still newer ones does not extend it.
class WeightHistory
{
public:
    /// Records that @p version was named.
    /// @param at The earliest time at which it, or any version between it and the next older one on record, may have
    ///     been named. Nothing when that is unknown, so that it counts as long ago.
    /// @returns false when it was on record already, in which case the earlier time stays.
    bool recordVersion(const std::string &model, std::uint64_t version, std::optional<TimePoint> at);

    /// @returns the newest version by model.
    [[nodiscard]] std::map<std::string, std::uint64_t> newest() const;

    /// @returns the newest version of @p model, or nothing when none was named.
    [[nodiscard]] std::optional<std::uint64_t> newest(const std::string &model) const;

    /// @returns true while it is unknown of any version when it was named.
    [[nodiscard]] bool lacksTimes() const;

    /// @returns every version on record with its age at @p now.
    [[nodiscard]] std::vector<WeightNaming> namings(TimePoint now) const;

    /// Takes over the times that are unknown here from the statement of another host. Models and versions are added to
    /// the record only as far as these times need them.
    /// @param statement All that the other host has on record, with the ages when it wrote its answer.
    /// @param askedAt When this host sent the request. The ages are counted from then, so that no version is taken for
    ///     named later than the other host takes it.
    /// @returns the versions whose times became known.
    std::vector<WeightNaming> adoptNamings(const std::vector<WeightNaming> &statement, TimePoint askedAt);

    /// @returns the earliest time at which the first version newer than @p version may have been named,
    ///     TimePoint::min() when that is unknown; nothing while @p version is the newest.
    [[nodiscard]] std::optional<TimePoint> replacedAt(const std::string &model, std::uint64_t version) const;

    /// @returns the oldest version that may still be used: the newest of those named more than @p bound ago; 0, for any
    ///     version, when there is none.
    [[nodiscard]] std::uint64_t oldestUsable(const std::string &model, Duration bound, TimePoint now) const;

private:
    /// The earliest time at which a version may have been named, by version; nothing when unknown.
    using Times = std::map<std::uint64_t, std::optional<TimePoint>>;

    std::map<std::string, Times> versions; ///< By model.
};

} // namespace endivespan
