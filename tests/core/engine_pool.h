#pragma once

#include <endivespan/placement.h>
#include <endivespan/server_table.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace endivespan {

constexpr TimePoint Start {std::chrono::hours(1)}; ///< Of the tests' time.

/// @returns the list entry of an engine with @p weights of the model "m".
inline ServerEntry engine(const std::string &id, std::uint64_t weights = 1, std::uint64_t heartbeat = 1)
{
    ServerEntry entry;
    entry.id = id;
    entry.service = "llm";
    entry.address = "10.0.0.1:80";
    entry.domain = "z";
    entry.born = 1000;
    entry.heartbeat = heartbeat;
    entry.slots = 64;
    entry.weights["m"] = weights;
    return entry;
}

/// @returns a pool of the engines "e0", "e1" and so on.
inline ServerTable enginePool(std::size_t count, std::uint64_t weights = 1)
{
    ServerTable table;
    for (std::size_t i = 0; i < count; ++i) {
        table.update(engine("e" + std::to_string(i), weights), Start);
    }
    return table;
}

/// @returns a prompt for the model of these engines.
inline PlacementNeed promptNeed(std::uint64_t prefix)
{
    PlacementNeed need;
    need.service = "llm";
    need.model = "m";
    need.prefixHash = prefix;
    need.sharedTokens = 2000;
    need.ownTokens = 500;
    need.domain = "z";
    return need;
}

} // namespace endivespan
