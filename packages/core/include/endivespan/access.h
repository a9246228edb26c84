#pragma once

#include <endivespan/error.h>
#include <endivespan/fleet.h>

#include <string>
#include <string_view>
#include <unordered_map>

/// Authentication of callers by API key, and the checks of what an organisation may use.
namespace endivespan {

/// Maps API keys to organisations. Holds only digests of the keys.
class AccessIndex
{
public:
    /// Rebuilds the index when the revision of @p fleet differs from the indexed one.
    void update(const Fleet &fleet);

    /// @param apiKey The key as the caller sent it.
    /// @returns the name of the organisation that the key belongs to, or Unauthorized.
    [[nodiscard]] Result<std::string> organisationOf(std::string_view apiKey) const;

private:
    std::uint64_t revision = 0;
    std::unordered_map<std::string, std::string> organisationByDigest;
};

/// @returns the model @p name if @p organisation may use it; otherwise UnknownModel or NotPermitted.
Result<Model> modelFor(const Fleet &fleet, const std::string &organisation, const std::string &name);

/// @returns the plain service @p name if @p organisation may call it; otherwise UnknownService or NotPermitted.
Result<PlainService> serviceFor(const Fleet &fleet, const std::string &organisation, const std::string &name);

/// @returns true when both @p server and its failure domain are in service, so that it may be sent new requests.
bool mayTakeWork(const Fleet &fleet, const BackendServer &server);

} // namespace endivespan
