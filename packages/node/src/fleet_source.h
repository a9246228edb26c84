#pragma once

#include <endivespan/clock.h>
#include <endivespan/fleet.h>

#include <chrono>
#include <optional>
#include <string>

/// Read access to the configuration in force for the tasks of a node.
namespace endivespan {

/// Source of the newest configuration that this host has received.
class FleetSource
{
public:
    virtual ~FleetSource() = default;

    /// @returns the configuration in force; the reference is valid until the next event of the loop.
    [[nodiscard]] virtual const Fleet &fleet() const = 0;

    /// @returns true once a configuration has been received.
    [[nodiscard]] virtual bool isReady() const = 0;

    /// @returns true when neither the log nor a peer has confirmed the configuration within the staleness bound.
    [[nodiscard]] virtual bool isStale() const = 0;

    /// @returns the digest of the configuration, in hexadecimal.
    [[nodiscard]] virtual std::string digest() const = 0;

    /// @returns the time from the append of the newest note at the log service until this host applied it, by this
    /// host's wall clock; empty when it was folded while catching up.
    [[nodiscard]] virtual std::optional<std::chrono::milliseconds> inForceDelay() const = 0;
};

} // namespace endivespan
