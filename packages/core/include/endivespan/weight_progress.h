#pragma once

#include <endivespan/clock.h>
#include <endivespan/server_table.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

/// Which prompt parts made by replaced weights are still of use.
namespace endivespan {

/// Follows how many engines have left a weight version. Parts of that version are given up in step with them, in an
/// order that all hosts share, so that the engines that still run it find what they need, and stores have room for what
/// the others make. Answers rollouts of any length, also those that start late or stand still.
class WeightProgress
{
public:
    /// Looks at the engines. Call it at regular times.
    /// @param newest Newest version named, by model.
    void observe(const ServerTable &servers, const std::map<std::string, std::uint64_t> &newest, TimePoint now);

    /// @returns whether this host has seen engines with replaced weights.
    [[nodiscard]] bool isUnderWay() const;

    /// @returns whether the part @p id, made by @p version, may still be fetched.
    [[nodiscard]] bool mayUse(const std::string &model, std::uint64_t version, const std::string &id) const;

    /// @returns whether no host can still fetch it: every one has known for long enough that it is given up.
    [[nodiscard]] bool
    mayFree(const std::string &model, std::uint64_t version, const std::string &id, TimePoint now) const;

private:
    /// Shares of the engines that had left a version, rising.
    struct Track {
        double left = 0;
        std::deque<std::pair<TimePoint, double>> history; ///< Each time at which the share rose.
    };

    [[nodiscard]] double leftAt(const std::string &model, std::uint64_t version, TimePoint at) const;

    std::optional<TimePoint> firstSeen;
    std::map<std::string, std::uint64_t> newest;
    std::map<std::pair<std::string, std::uint64_t>, Track> tracks;
};

/// @returns the place of the part @p id in the order in which parts are given up; at least 0 and less than 1.
double oldPartRank(const std::string &id);

} // namespace endivespan
