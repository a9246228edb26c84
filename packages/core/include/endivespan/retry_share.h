#pragma once

#include <endivespan/clock.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// This host's part of the budget for sending requests once more.
namespace endivespan {

/// Bounds over all hosts together, within each window.
struct RetryBounds {
    double ratio = 0; ///< Repeats for each request.
    double slack = 0; ///< Repeats beyond that.
    Duration window = std::chrono::seconds(10);
};

/// Counts requests and repeats by service. Takes an equal part of the slack, so that hosts need not agree. Answers a
/// load where many servers fail at once and each failed request would be sent again.
class RetryShare
{
public:
    explicit RetryShare(RetryBounds bounds);

    /// Takes that a caller's request for @p service came.
    void requested(const std::string &service, TimePoint now);

    /// Sets from when on the slack may be used: an earlier process of this host may have used its part. Never, before.
    void useSlackFrom(TimePoint at);

    /// @param hosts How many hosts share the slack, heard of or not.
    /// @returns whether a request may be sent once more now, and then counts it.
    bool take(const std::string &service, std::size_t hosts, TimePoint now);

private:
    static constexpr std::size_t Slots = 10;

    struct Slot {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };
    using Ring = std::array<Slot, Slots + 1>;

    Slot &slotAt(const std::string &service, TimePoint now);

    RetryBounds bounds;
    std::optional<TimePoint> slackFrom;
    std::map<std::string, Ring> rings;
};

} // namespace endivespan
