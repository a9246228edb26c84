#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Proposes which host should own which resource, by rendezvous hashing. Only a lease in the log makes a host an owner.
namespace endivespan {

/// @returns the rendezvous hash of @p host for @p resource, which is the same on every host.
std::uint64_t rendezvousWeight(std::string_view host, std::string_view resource);

/// @returns the host with the greatest weight for @p resource, or an empty name when @p hosts is empty.
std::string proposedOwner(const std::set<std::string> &hosts, std::string_view resource);

/// Selects the hosts that own resources. They are at most config::MaxOwningHosts, so that the number of lease renewals
/// is bounded in a large fleet.
/// @param live Hosts that may own resources.
std::set<std::string> owningHosts(const std::set<std::string> &live);

/// @param self Name of this host.
/// @param live Hosts that may own resources.
/// @param resources All resources that need an owner.
/// @returns the resources that @p self should own.
std::set<std::string>
proposedResources(const std::string &self, const std::set<std::string> &live, const std::set<std::string> &resources);

/// @returns the lease resource of the backend server @p server.
std::string serverResource(std::string_view server);

/// Lease resource of the one host that decides when a suspect request may run.
inline constexpr std::string_view SuspectsResource = "suspects";

} // namespace endivespan
