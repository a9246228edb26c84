#pragma once

#include <endivespan/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// When operators named the weight versions of each model.
namespace endivespan {

/// Versions by model. Each version counts from its own naming: a later one does not make an older one fresh again.
class WeightHistory
{
public:
    /// Takes that @p version was named.
    /// @param at When it was first read; the epoch when that is not known, so that it counts as long ago.
    /// @returns false when it was known.
    bool named(const std::string &model, std::uint64_t version, TimePoint at);

    /// @returns the newest version by model.
    [[nodiscard]] std::map<std::string, std::uint64_t> newest() const;
    [[nodiscard]] std::optional<std::uint64_t> newest(const std::string &model) const;

    /// @returns when the first version newer than @p version was named, or nothing while it is the newest.
    [[nodiscard]] std::optional<TimePoint> replacedAt(const std::string &model, std::uint64_t version) const;

    /// @returns the oldest version that may be used: the newest of those named at least @p bound ago, 0 for any.
    [[nodiscard]] std::uint64_t oldestUsable(const std::string &model, Duration bound, TimePoint now) const;

private:
    std::map<std::string, std::map<std::uint64_t, TimePoint>> versions;
};

} // namespace endivespan
