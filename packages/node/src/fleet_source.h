#pragma once

#include <endivespan/clock.h>
#include <endivespan/fleet.h>

#include <chrono>
#include <optional>
#include <string>

/// Where the parts of a node read the configuration in force.
namespace endivespan {

/// The configuration as this host knows it.
class FleetSource
{
public:
    virtual ~FleetSource() = default;

    /// @returns the configuration in force; the reference stays good until the next event.
    [[nodiscard]] virtual const Fleet &fleet() const = 0;

    /// @returns true once a configuration is known.
    [[nodiscard]] virtual bool isReady() const = 0;

    /// @returns true when neither the log nor a peer has confirmed the configuration within the staleness bound.
    [[nodiscard]] virtual bool isStale() const = 0;

    /// @returns the digest of the configuration, in hexadecimal.
    [[nodiscard]] virtual std::string digest() const = 0;

    /// @returns how long the newest note took from the log service to here, by this host's wall clock; empty when it
    /// was folded while catching up.
    [[nodiscard]] virtual std::optional<std::chrono::milliseconds> inForceDelay() const = 0;
};

} // namespace endivespan
