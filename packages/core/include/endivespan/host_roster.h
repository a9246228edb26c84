#pragma once

#include <endivespan/clock.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// The list of hosts among which a limit for all hosts together is distributed.
namespace endivespan {

/// Distributes the rights to a resource among all hosts that exist, whether or not they are reachable. A right allows
/// its host one unit of use, such as one request per second to a cold server. Each host computes its own rights by
/// rendezvous hashing, without asking the others; a few hosts hold whole rights instead of all holding fractions.
///
/// Exists for the load in which hundreds of hosts send to one server at the same moment while some of them have lost
/// contact with others: a host that receives heartbeats from fewer hosts never gets more rights for that.
class HostRoster
{
public:
    /// @param self This host, as returned by hostIdOf().
    explicit HostRoster(std::uint64_t self);

    /// Sets the hosts that exist. This host is added if it is missing.
    void setHosts(std::vector<std::uint64_t> ids);

    /// Sets the time from which on this host holds rights. Until then other hosts may still distribute the rights
    /// without this host, or an earlier process of this host may have used its rights a moment ago.
    void join(TimePoint at);

    /// @returns the number of hosts.
    [[nodiscard]] std::size_t size() const;

    /// @param rights Number of rights to @p resource that all hosts together hold.
    /// @returns how many of them this host holds; 0 before the time set with join().
    [[nodiscard]] std::uint32_t rightsOf(std::uint64_t resource, std::uint32_t rights, TimePoint now) const;

private:
    [[nodiscard]] std::size_t rankFor(std::uint64_t resource) const;

    std::uint64_t self;
    std::vector<std::uint64_t> hosts; ///< Sorted; includes this host.
    std::optional<TimePoint> joinedAt; ///< May lie in the future.
    mutable std::unordered_map<std::uint64_t, std::size_t> ranks; ///< Cached rendezvous ranks of this host by resource.
};

} // namespace endivespan
