#pragma once

#include <endivespan/clock.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// This host's share of the retry budget of all hosts.
namespace endivespan {

/// Limits for the retries of all hosts together in any window of the given length.
struct RetryBounds {
    double ratio = 0; ///< Retries allowed per request.
    double slack = 0; ///< Retries allowed on top of that.
    Duration window = std::chrono::seconds(10);
};

/// Counts the requests and retries of this host by service and limits the retries. Each host uses an equal share of
/// the slack, so that hosts need not communicate.
///
/// Exists for the load in which many servers fail at once and each failed request would be sent again.
class RetryShare
{
public:
    explicit RetryShare(RetryBounds bounds);

    /// Records that a request of a caller for @p service has arrived.
    void countRequest(const std::string &service, TimePoint now);

    /// Sets the time from which on this host uses its share of the slack; an earlier process of this host may have used
    /// it already. Without this call the slack is not used at all.
    void enableSlackFrom(TimePoint at);

    /// Takes one retry from the budget.
    /// @param hosts Number of hosts that share the slack, reachable or not.
    /// @returns true when a request for @p service may be sent again now; the retry is then counted.
    bool tryTake(const std::string &service, std::size_t hosts, TimePoint now);

private:
    static constexpr std::size_t Slots = 10; ///< Time slots per window.

    struct Slot {
        std::int64_t number = -1; ///< Number of the slot since the epoch of the clock; -1 when unused.
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };
    using Ring = std::array<Slot, Slots + 1>; ///< Indexed by slot number modulo its size.

    Slot &slotAt(const std::string &service, TimePoint now);

    RetryBounds bounds;
    std::optional<TimePoint> slackFrom;
    std::map<std::string, Ring> rings; ///< By service.
};

} // namespace endivespan
