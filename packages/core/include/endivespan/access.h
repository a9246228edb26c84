#pragma once

#include <endivespan/error.h>
#include <endivespan/fleet.h>

#include <string>
#include <string_view>
#include <unordered_map>

/// Who a caller is, and what it may use.
namespace endivespan {

/// Finds the organisation of an API key.
class AccessIndex
{
public:
    /// Rebuilds the index when @p fleet has another revision than the one indexed.
    void update(const Fleet &fleet);

    /// @param apiKey The key as the caller sent it.
    /// @returns the organisation's name, or Unauthorized.
    [[nodiscard]] Result<std::string> organisationOf(std::string_view apiKey) const;

private:
    std::uint64_t revision = 0;
    std::unordered_map<std::string, std::string> organisationByDigest;
};

/// @returns the model @p name if @p organisation may use it, else UnknownModel or NotPermitted.
Result<Model> modelFor(const Fleet &fleet, const std::string &organisation, const std::string &name);

/// @returns the plain service @p name if @p organisation may call it, else UnknownService or NotPermitted.
Result<PlainService> serviceFor(const Fleet &fleet, const std::string &organisation, const std::string &name);

/// @returns true when new work may go to @p server: it and its failure domain are in service.
bool mayTakeWork(const Fleet &fleet, const BackendServer &server);

} // namespace endivespan
