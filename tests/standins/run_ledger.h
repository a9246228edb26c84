#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace endivespan::standins {

/// Runs of one plain service by (organisation, idempotency key), over all its servers.
struct RunLedger {
    std::uint64_t runs = 0;
    std::uint64_t withoutKey = 0;
    std::map<std::pair<std::string, std::string>, std::uint64_t> byKey;
};

} // namespace endivespan::standins
