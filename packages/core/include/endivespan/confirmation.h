#pragma once

#include <endivespan/clock.h>
#include <endivespan/config.h>
#include <endivespan/membership.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// Whether the configuration held here may still be acted on.
namespace endivespan {

/// What a host says of its configuration when it answers a peer.
struct ConfigStatement {
    std::uint64_t offset = 0; ///< Log offset folded up to.
    std::uint64_t digest = 0;
    std::optional<Duration> confirmedAge; ///< Since the log itself said that nothing newer exists; absent if never.
    bool inForce = false;
    std::uint32_t knownHosts = 0;

    bool operator==(const ConfigStatement &) const = default;
};

/// Why the configuration is in force, or that it is not.
enum class ConfigStanding {
    Confirmed, ///< The log confirmed it within the staleness bound, here or through peers.
    LogDownForAll, ///< No host can reach the log, so that nothing newer can have been accepted.
    Stale,
};

/// Follows how long ago the log confirmed the configuration held here. Ages add up along the way through peers, so that
/// hosts which only confirm each other grow stale together.
class Confirmation
{
public:
    /// @param hasPeers False when the settings name no other host to ask.
    /// @param staleAfter Since the latest confirmation, until the configuration may not be acted on.
    explicit Confirmation(bool hasPeers, Duration staleAfter = config::ConfigurationStalenessBound);

    /// Takes that the configuration up to @p offset has been folded.
    void folded(std::uint64_t offset, std::uint64_t digest);

    /// Takes an answer of the log: at @p askedAt nothing beyond @p end existed.
    void logAnswered(std::uint64_t end, TimePoint askedAt);

    /// Takes the statement in a peer's answer.
    /// @param askedAt When the exchange was started here; the age counts from then.
    /// @param hostsKnown How many hosts this one knows of.
    /// @returns true when the peer has a newer configuration that should be fetched.
    bool
    peerAnswered(const std::string &peer, const ConfigStatement &statement, TimePoint askedAt, std::size_t hostsKnown);

    /// Checks a digest against the one folded here at the same offset.
    /// @returns false when two hosts disagree.
    bool checkDigest(const std::string &peer, std::uint64_t offset, std::uint64_t digest) const;

    /// @returns whether new work may be accepted under the configuration.
    [[nodiscard]] ConfigStanding standing(const Membership &membership, TimePoint now) const;

    /// @returns what to tell a peer that asks now.
    [[nodiscard]] ConfigStatement statement(const Membership &membership, TimePoint now) const;

private:
    [[nodiscard]] bool isLogDownForAll(const Membership &membership) const;
    void confirm(std::uint64_t offset, TimePoint at);

    Duration staleAfter;
    std::uint64_t offset = 0;
    std::map<std::uint64_t, std::uint64_t> digests; ///< Of the last offsets folded.
    std::optional<TimePoint> confirmedAt;
    std::map<std::uint64_t, TimePoint> waiting; ///< Confirmations of offsets not folded yet.
    bool viewComplete; ///< This host has once known as many hosts as a peer that it asked.
    bool everInForce = false;
};

} // namespace endivespan
