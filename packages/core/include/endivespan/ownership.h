#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Which host should own what. A proposal only: a lease in the log decides.
namespace endivespan {

/// @returns the weight of @p host for @p resource, the same on every host.
std::uint64_t rendezvousWeight(std::string_view host, std::string_view resource);

/// @returns the host of @p hosts with the greatest weight for @p resource, or an empty name when there are none.
std::string proposedOwner(const std::set<std::string> &hosts, std::string_view resource);

/// Chooses the hosts that own anything. Their number is bounded, so that lease renewals stay few in a large fleet.
/// @param live Hosts that may own something.
std::set<std::string> owningHosts(const std::set<std::string> &live);

/// @param self Name of this host.
/// @param live Hosts that may own something.
/// @param resources Everything that needs an owner.
/// @returns the resources that this host should own.
std::set<std::string>
proposedResources(const std::string &self, const std::set<std::string> &live, const std::set<std::string> &resources);

/// @returns the name of the lease of a backend server.
std::string serverResource(std::string_view server);

/// The lease of the one host that lets suspect requests run.
inline constexpr std::string_view SuspectsResource = "suspects";

} // namespace endivespan
