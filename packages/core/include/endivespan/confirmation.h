#pragma once

#include <endivespan/clock.h>
#include <endivespan/config.h>
#include <endivespan/membership.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// Whether the configuration that this host has folded is recent enough to be acted on.
namespace endivespan {

/// State of a host's configuration, as included in its answers to peers.
struct ConfigStatement {
    std::uint64_t offset = 0; ///< Up to which the configuration stream has been folded.
    std::uint64_t digest = 0; ///< Of the configuration at that offset; 0 when not available.
    /// Time since the log reported, to this host or through peers, that nothing newer exists; absent if it never did.
    std::optional<Duration> confirmedAge;
    bool inForce = false; ///< Whether the host accepts new work under its configuration.
    std::uint32_t knownHosts = 0; ///< Number of hosts in its membership.

    bool operator==(const ConfigStatement &) const = default;
};

/// Why the configuration is in force, or that it is not in force.
enum class ConfigValidity {
    Confirmed, ///< In force: the log confirmed it within the staleness bound, to this host or through peers.
    /// In force: by reports younger than the staleness bound no host can reach the log, so that no host can have read a
    /// newer one.
    LogDownForAll,
    Stale, ///< Not in force: a newer configuration may exist.
};

/// Tracks how long ago the log confirmed that no newer configuration exists than the one folded here. A confirmation
/// that arrives through peers keeps its age, so that hosts that only receive confirmations from each other, and none
/// from the log, all become stale.
class ConfigConfirmation
{
public:
    /// @param hasPeers False when the settings name no other host.
    /// @param staleAfter Age of the latest confirmation from which the configuration is stale.
    explicit ConfigConfirmation(bool hasPeers, Duration staleAfter = config::ConfigurationStalenessBound);

    /// Records that the configuration up to @p offset has been folded, with its digest.
    void onFolded(std::uint64_t offset, std::uint64_t digest);

    /// Handles an answer of the log to a request sent at @p askedAt: the stream ended at @p end.
    void onLogAnswer(std::uint64_t end, TimePoint askedAt);

    /// Handles the statement in a peer's answer.
    /// @param askedAt When this host sent the request. The stated age is counted from then, so that the confirmation is
    ///     never taken for newer than it is.
    /// @param hostsKnown Number of hosts in this host's membership.
    /// @returns true when the peer has a newer configuration that should be fetched.
    bool
    onPeerAnswer(const std::string &peer, const ConfigStatement &statement, TimePoint askedAt, std::size_t hostsKnown);

    /// Compares a peer's digest with the one recorded here for the same offset, and reports a violated invariant if
    /// they differ.
    /// @returns false when they differ; true when they are equal or that offset's digest is not recorded here.
    bool checkDigest(const std::string &peer, std::uint64_t offset, std::uint64_t digest) const;

    /// @returns whether the configuration is in force, that is, whether new work may be accepted under it, and why.
    [[nodiscard]] ConfigValidity validity(const Membership &membership, TimePoint now) const;

    /// @returns whether the log has confirmed the configuration within the staleness bound, to this host or through
    ///     peers. While no host reaches the log, this becomes false although the configuration stays in force: a newer
    ///     one may have been accepted just before, which no host has read.
    [[nodiscard]] bool isConfirmed(TimePoint now) const;

    /// @returns the latest time at which nothing newer than the folded configuration existed, so that what is read next
    ///     was appended later; nothing when no such time is known.
    [[nodiscard]] std::optional<TimePoint> lastKnownNewest() const;

    /// @returns the statement to include in an answer to a peer now.
    [[nodiscard]] ConfigStatement statement(const Membership &membership, TimePoint now) const;

private:
    [[nodiscard]] bool isLogDownForAll(const Membership &membership, TimePoint now) const;
    void confirm(std::uint64_t offset, TimePoint at);

    Duration staleAfter;
    std::uint64_t offset = 0;
    std::map<std::uint64_t, std::uint64_t> digests; ///< Of the last config::ConfirmationDigestsKept offsets folded.
    std::optional<TimePoint> confirmedAt;
    std::map<std::uint64_t, TimePoint> pendingConfirmations; ///< Times by offsets that are not folded yet.
    std::optional<TimePoint> peerAskedAt; ///< When the latest of the requests that a peer has answered was sent.
    /// This host's membership has once had at least as many hosts as that of a peer it asked, or there are no peers.
    bool membershipComplete;
    bool everInForce = false; ///< The configuration has been in force at least once.
};

} // namespace endivespan
