#pragma once

#include <endivespan/clock.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// Which hosts exist and which of them are reachable. This view may be wrong or differ between hosts; no safety
/// property may depend on it.
namespace endivespan {

/// State of a host, as the host itself reports it.
enum class HostState {
    Live,
    Leaving, ///< Accepts no new work and owns no resources.
};

/// Version of the report of one host; a greater one replaces a smaller one.
struct HostVersion {
    std::uint64_t incarnation = 0; ///< Increases with each start of a process under the same host name.
    std::uint64_t sequence = 0; ///< Increases with each heartbeat and each change.

    auto operator<=>(const HostVersion &) const = default; // NOLINT(modernize-use-nullptr): false positive
};

/// The part of a host's report that changes while the host runs; small, because every heartbeat carries it.
struct HostStatus {
    HostVersion version;
    HostState state = HostState::Live;
    bool logReachable = false; ///< Whether the host can reach the log service.
    std::uint64_t configOffset = 0; ///< Log offset up to which the host has folded the configuration.

    bool operator==(const HostStatus &) const = default;
};

/// What a host reports of itself. Everything but the status is fixed for one incarnation.
struct HostReport {
    std::string name;
    std::string address; ///< "a.b.c.d:port" at which it accepts connections of other hosts.
    std::string domain; ///< Name of its failure domain.
    std::string region;
    HostStatus status;

    bool operator==(const HostReport &) const = default;
};

/// The changing part of a report, with the host identified by number.
struct Heartbeat {
    std::uint64_t host = 0; ///< hostIdOf() of its name.
    HostStatus status;

    bool operator==(const Heartbeat &) const = default;
};

/// @returns a number for a host name: a truncated hash, config::HostIdBytes long, the same on every host.
std::uint64_t hostIdOf(const std::string &name);

/// Result of failure detection for a host, as seen from this host.
enum class Liveness {
    Alive,
    Suspect, ///< No newer report or heartbeat for suspectTimeout().
    Dead, ///< No newer report or heartbeat for twice suspectTimeout().
};

/// One host as seen from this host.
struct HostView {
    std::uint64_t id = 0; ///< hostIdOf() of its name.
    HostReport report; ///< The newest one received.
    Liveness liveness = Liveness::Alive;
    TimePoint advancedAt; ///< When a newer version was last received; later by the length of any pause of this process.
    TimePoint receivedAt; ///< When a newer version was last received.
};

/// Current sizes and counters of one Membership.
struct MembershipStats {
    std::size_t known = 0; ///< Hosts in the view, this one included.
    std::size_t alive = 0; ///< Those of them that are Alive.
    std::uint64_t deaths = 0; ///< Changes of a host to Dead.
    std::uint64_t returns = 0; ///< Dead hosts of which something newer was received.
    std::uint64_t superseded = 0; ///< Reports of a later incarnation under this host's own name.
};

/// What became of a received heartbeat.
enum class HeartbeatResult {
    Old, ///< Ignored: not newer than the view, or about this host itself.
    Applied, ///< Newer than the view, which now has it.
    ReportMissing, ///< Not applied: the full report of this incarnation has not been received yet.
};

/// The versioned reports of all hosts, with failure detection: a host whose version stops increasing becomes suspect
/// and then dead.
class Membership
{
public:
    /// @param self Report of this host; of its version only the incarnation is used.
    Membership(HostReport self, TimePoint now);

    /// @returns the report of this host.
    [[nodiscard]] const HostReport &self() const;

    /// Sets the address at which peers reach this host. Must be called before the first report is sent, because the
    /// address is fixed for one incarnation.
    void setAddress(const std::string &address);
    void setState(HostState state);
    void setConfigOffset(std::uint64_t offset);
    void setLogReachable(bool reachable);

    /// Increments the own heartbeat when it is due, updates the liveness of all other hosts, and removes those of which
    /// nothing was received for config::DeadHostRetention. A pause of this process does not count against other hosts.
    void tick(TimePoint now);

    /// Applies a report if it is newer than the one held. When the view is full, the host that was updated longest ago
    /// is evicted for a new one.
    /// @returns whether the report was applied.
    bool learn(const HostReport &report, TimePoint now);

    /// Applies a heartbeat if it is newer than the report held and of the same incarnation.
    HeartbeatResult learn(const Heartbeat &heartbeat, TimePoint now);

    /// Removes a host from the view. This host itself cannot be removed.
    void forget(const std::string &name);

    /// @returns the view of a host, or null when there is none.
    [[nodiscard]] const HostView *find(const std::string &name) const;
    [[nodiscard]] const HostView *find(std::uint64_t id) const;

    /// @returns every host in the view, this one included, by name.
    [[nodiscard]] const std::map<std::string, HostView> &hosts() const;

    /// @returns the ids of all hosts in the view, this one included, whatever their liveness.
    [[nodiscard]] std::vector<std::uint64_t> ids() const;

    /// @returns the names of the hosts that may own resources: those that are not dead and in state Live.
    [[nodiscard]] std::set<std::string> eligibleOwners() const;

    /// @returns the time between two gossip rounds in a fleet of @p hosts hosts.
    static Duration roundPeriod(std::size_t hosts);

    /// @returns the time between two heartbeats of one host in a fleet of @p hosts hosts.
    static Duration heartbeatPeriod(std::size_t hosts);

    /// @returns the time without a newer version after which a host becomes suspect, in a fleet of @p hosts hosts.
    static Duration suspectTimeout(std::size_t hosts);

    [[nodiscard]] MembershipStats stats() const;

private:
    HostStatus &ownStatus();
    void markAlive(HostView &host, TimePoint now);
    void updateLiveness(HostView &host, Duration timeout, TimePoint now);
    void evictOldest();

    std::string selfName;
    std::map<std::string, HostView> entries; ///< By name.
    std::map<std::uint64_t, std::string> namesById; ///< By id.
    TimePoint lastHeartbeat;
    TimePoint lastTick;
    MembershipStats counters;
};

} // namespace endivespan
