#pragma once

#include <endivespan/clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// Whether the configuration that a host holds is still the one in force.
namespace endivespan {

/// What another host says about its configuration in a heartbeat.
struct PeerConfiguration {
    std::uint64_t covers = 0; ///< Offset of the stream "config" that its state covers.
    std::optional<Duration> confirmedAge; ///< Since the log confirmed that offset, there or further on; empty if never.
};

/// Keeps track of who confirmed the configuration last. A host whose configuration is unconfirmed for longer than the
/// staleness bound takes no new work.
class Confirmation
{
public:
    /// @param bound Longest time without a confirmation.
    explicit Confirmation(Duration bound);

    /// Notes that the log had nothing beyond the own state.
    /// @param askedAt When the log was asked.
    void confirmedByLog(TimePoint askedAt);

    /// Notes what @p host says.
    /// @param covers Offset that the own state covers.
    void heardPeer(const std::string &host, const PeerConfiguration &peer, std::uint64_t covers, TimePoint now);

    /// Notes that the own state now covers @p covers, so that earlier words of peers may confirm it.
    void moved(std::uint64_t covers);

    /// Sets how many hosts the platform's host list names, this one included.
    void setExpectedHosts(std::size_t hosts);

    /// @returns when the log last confirmed the own state, as known here or from peers.
    [[nodiscard]] std::optional<TimePoint> confirmedAt() const;

    /// @returns true when neither the log nor a peer confirmed the state within the bound and the log is not down for
    /// all.
    /// @param covers Offset that the own state covers.
    [[nodiscard]] bool isStale(std::uint64_t covers, TimePoint now) const;

    /// @returns true when most hosts were heard from within the bound and none of them reaches the log or covers more.
    [[nodiscard]] bool isLogDownForAll(std::uint64_t covers, TimePoint now) const;

private:
    struct Heard {
        PeerConfiguration peer;
        TimePoint at;
    };

    void confirm(TimePoint at);

    Duration bound;
    std::size_t expectedHosts = 1;
    std::optional<TimePoint> last;
    std::map<std::string, Heard> peers;
};

} // namespace endivespan
