#pragma once

#include <endivespan/clock.h>
#include <endivespan/server_table.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

/// Progress of weight rollouts, and which prompt parts made by replaced weights may still be fetched.
namespace endivespan {

/// Tracks which share of the engines no longer runs each replaced weight version, and gives up the same share of the
/// prompt parts made by that version, in an order that is the same on all hosts. Thus the engines that still run the
/// version find parts to fetch, while stores gain room for the parts of the new one. Since the share counts and not the
/// time, rollouts may take any time, start late or stall.
class WeightProgress
{
public:
    /// Updates the shares from the list of servers. To be called periodically.
    /// @param newest Newest version that was named, by model.
    void observe(const ServerTable &servers, const std::map<std::string, std::uint64_t> &newest, TimePoint now);

    /// @returns whether this host has ever seen an engine with replaced weights.
    [[nodiscard]] bool isUnderWay() const;

    /// @returns whether the part @p id, made by @p version, may still be fetched.
    [[nodiscard]] bool mayUse(const std::string &model, std::uint64_t version, const std::string &id) const;

    /// @returns whether the part may be freed: it was given up at least config::OldPartsFreeDelay ago, so that every
    ///     host has given it up and all fetches of it have ended. A margin covers hosts that count engines differently.
    [[nodiscard]] bool
    mayFree(const std::string &model, std::uint64_t version, const std::string &id, TimePoint now) const;

private:
    /// Share of the engines that no longer run one version; never falls.
    struct Track {
        double left = 0;
        std::deque<std::pair<TimePoint, double>> history; ///< When the share rose and to what.
    };

    /// @returns the share at an earlier time; 1 for a version that this host has seen no engine run.
    [[nodiscard]] double leftAt(const std::string &model, std::uint64_t version, TimePoint at) const;

    std::optional<TimePoint> firstSeen; ///< Of the first observe().
    std::map<std::string, std::uint64_t> newest; ///< By model.
    std::map<std::pair<std::string, std::uint64_t>, Track> tracks; ///< By model and version.
};

/// @returns the rank of the part @p id in the order in which parts are given up: at least 0, less than 1 and the same
///     on all hosts.
double oldPartRank(const std::string &id);

} // namespace endivespan
