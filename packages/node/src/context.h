#pragma once

#include "backends.h"
#include "explain.h"
#include "fleet_source.h"
#include "metrics.h"

#include <endivespan/engine_client.h>
#include <endivespan/loop.h>
#include <endivespan/settings.h>

#include <random>
#include <string>

/// What the tasks of a node share; everything outlives the tasks.
namespace endivespan {

/// References to the parts of one node.
struct NodeContext {
    Loop &loop;
    const Settings &settings;
    const FleetSource &fleet;
    Metrics &metrics;
    ExplainBook &explain;
    EngineClient &engines;
    Backends &backends;
    std::mt19937_64 &random;
};

/// One authenticated caller's request.
struct Caller {
    std::string organisation;
    std::string requestId; ///< Made by this host, unless the caller goes on with an earlier request.
};

/// @returns a fresh identifier of 16 hexadecimal digits.
std::string makeId(std::mt19937_64 &random);

} // namespace endivespan
