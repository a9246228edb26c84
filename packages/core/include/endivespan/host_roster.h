#pragma once

#include <endivespan/clock.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// The hosts among which a bound over all hosts is dealt.
namespace endivespan {

/// Deals rights to a resource among all hosts that exist, whether or not they are heard of, by rendezvous: a few hosts
/// hold whole rights instead of all holding fractions. Answers a load where hundreds of hosts turn to one server at the
/// same moment while some have lost sight of others: a host that hears of fewer hosts never holds more.
class HostRoster
{
public:
    /// @param self hostIdOf() this host.
    explicit HostRoster(std::uint64_t self);

    /// Sets the hosts that exist; this host is always one of them.
    void setHosts(std::vector<std::uint64_t> ids);

    /// Sets from when on this host takes part. Before that others may deal without it, or an earlier process of it may
    /// have used its rights a moment ago.
    void join(TimePoint at);

    /// @returns the number of hosts.
    [[nodiscard]] std::size_t size() const;

    /// @returns how many of @p rights to @p resource this host holds; none before it takes part.
    [[nodiscard]] std::uint32_t rightsOf(std::uint64_t resource, std::uint32_t rights, TimePoint now) const;

private:
    [[nodiscard]] std::size_t rankFor(std::uint64_t resource) const;

    std::uint64_t self;
    std::vector<std::uint64_t> hosts; ///< Sorted, with this one.
    std::optional<TimePoint> joinedAt;
    mutable std::unordered_map<std::uint64_t, std::size_t> ranks; ///< Of this host, by resource.
};

} // namespace endivespan
