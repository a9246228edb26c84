#pragma once

#include <endivespan/clock.h>

#include <cstdint>
#include <map>
#include <string>

/// Which prompt parts made by replaced weights may still be fetched, and when they are freed.
namespace endivespan {

/// Gives up the parts of replaced weights one after the other once newer ones have been named, in an order that is the
/// same on all hosts. Thus the engines that still run the replaced weights find parts to fetch, while stores gain room
/// for the parts of the new ones.
///
/// Made for hosts that start, stand still or are cut off during a rollout, so that they have not seen how far it has
/// come. Each part has its time after the naming, of which a host knows the earliest and the latest possible moment. It
/// fetches by the earliest and frees by the latest, so that hosts need not agree.
class OldParts
{
public:
    /// @param time For which older weights may be used after a naming; their parts are given up in the last part of it.
    explicit OldParts(Duration time);

    /// Records since when this host has known of the versions that were named. To be called periodically.
    /// @param newest Newest version that was named, by model.
    void observe(const std::map<std::string, std::uint64_t> &newest, TimePoint now);

    /// @returns whether a fetch of the part @p id may be planned.
    /// @param replacedAt Earliest time at which weights newer than those of the part may have been named;
    ///     TimePoint::min() when that is unknown.
    [[nodiscard]] bool mayUse(TimePoint replacedAt, const std::string &id, TimePoint now) const;

    /// @returns whether the part @p id, made by @p version, may be freed: no host plans fetches of it any more, and all
    ///     that were planned have ended.
    [[nodiscard]] bool
    mayFree(const std::string &model, std::uint64_t version, const std::string &id, TimePoint now) const;

    /// @returns whether this host has known of the newest version of some model for less time than it takes until all
    ///     parts of older ones may be freed.
    [[nodiscard]] bool isUnderWay(TimePoint now) const;

private:
    [[nodiscard]] Duration timeOf(double rank) const;

    Duration time;
    std::map<std::string, std::map<std::uint64_t, TimePoint>> knownSince; ///< By model and version.
};

} // namespace endivespan
