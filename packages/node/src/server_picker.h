#pragma once

#include "backends.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

/// Chooses the backend server of a plain service for one call.
namespace endivespan {

/// Selects a server among those that may take new requests.
class ServerPicker
{
public:
    virtual ~ServerPicker() = default;

    /// @param service Name of the plain service.
    /// @param excluded Servers that must not receive this request again.
    /// @returns the server, or an invalid handle when none may take work.
    [[nodiscard]] virtual ServerHandle pick(const std::string &service, const std::vector<ServerHandle> &excluded) = 0;
};

/// @returns a picker that selects the server with the fewest requests of this host in flight, at random among equals.
std::unique_ptr<ServerPicker> makeLeastInFlightPicker(const Backends &backends, std::mt19937_64 &random);

} // namespace endivespan
