#pragma once

#include <endivespan/engine_model.h>
#include <endivespan/rollout.h>
#include <endivespan/server_table.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

/// Chooses the server of one attempt at a forwarded request.
namespace endivespan {

/// What a request requires of its server, with the limits and estimates that the choice is based on.
struct PlacementNeed {
    std::string service;
    std::string model; ///< Empty for services without models.
    std::uint64_t prefixHash = 0; ///< Hash of the prompt parts that other requests share, see hashPrefix().
    std::uint64_t sharedTokens = 0; ///< Number of tokens in those parts.
    std::uint64_t ownTokens = 0; ///< Number of the other prompt tokens.
    std::uint64_t answerTokens = 0; ///< Maximum length of the answer.
    double requestTokens = 0; ///< Engine memory that the request is expected to use; 0 for all of these tokens.
    std::string domain; ///< Failure domain of this host.
    std::uint64_t newestWeights = 0; ///< Newest weight version that operators have named for the model.
    std::uint64_t oldestWeights = 0; ///< Servers with an older weight version must not be used; 0 for no limit.
    ColdBound coldBound; ///< Limit for cold servers.
    std::shared_ptr<const RolloutQueue> weightLoadQueue; ///< Engines that are to load weights; null when none are.
    std::size_t urgency = 0; ///< 0 is the most urgent.
    /// Whether the servers of the service report their pace. It then counts in the choice, waiting requests count with
    /// the time until there is room, and the limits on memory and waiting requests depend on the load of the pool.
    bool loadControl = false;
    std::uint32_t maxInFlight = 0; ///< Maximum number of this host's attempts at one server; 0 for no limit.
    double maxWaiting = 0; ///< Maximum number of requests that wait at one server; 0 for no limit.
    double memoryTokens = 0; ///< Memory of one engine that requests of this urgency may fill; 0 for no limit.
    EngineRates rates; ///< Estimates for the engines of the pool.
    std::size_t hosts = 1; ///< Number of hosts that send to the same servers.
    double meanRequests = 0; ///< Mean number of requests at a server of the pool, by recent load reports.
    std::set<std::string> tried; ///< Servers that must not be sent the request again.
    std::optional<std::set<std::string>> only; ///< When set, no other servers may be sent the request.
};

/// The chosen server, and figures that explain the choice in the log.
struct PlacementChoice {
    std::string server; ///< Id of the server; empty when there is none.
    Duration expected {}; ///< Expected time to the first byte of the answer.
    /// Expected time until the best server could start the request; zero when one can now. Absent when no recent report
    /// says anything, and without load control.
    std::optional<Duration> roomIn;
    std::string likelyHolder; ///< Address of another engine that most likely caches the shared parts; may be empty.
    std::uint32_t known = 0; ///< Servers of the service in the list.
    std::uint32_t leaving = 0; ///< Those of the known ones that are leaving.
    std::uint32_t resting = 0; ///< Those of the known ones that have asked this host for a rest.
    std::uint32_t open = 0; ///< Those of the known ones that accept new work and this request.
    std::uint32_t full = 0; ///< Those of the open ones that have no room for this request now.
    std::uint32_t cold = 0; ///< Those of the open ones that are cold and that this host must not send to now.
};

/// A placement policy.
class Placement
{
public:
    virtual ~Placement() = default;

    /// Chooses the server of one attempt.
    /// @param random Random number, for choices between equal servers.
    [[nodiscard]] virtual PlacementChoice
    choose(const ServerTable &table, const PlacementNeed &need, std::uint64_t random, TimePoint now) const = 0;
};

/// Makes the baseline policy, which chooses the server with the fewest attempts of this host in flight.
std::unique_ptr<Placement> makeLeastInFlightPlacement();

/// Makes the policy that chooses the server with the least expected time to the first byte.
/// A shared prefix is assumed to be cached at the first servers of its rendezvous order, which is the same on all
/// hosts. Exists for a load with many prefixes, each of which any one host sees only rarely. Of a large pool only a few
/// servers are evaluated besides those, so that hosts which see the same loads do not all choose the same server.
std::unique_ptr<Placement> makeExpectedStartPlacement();

/// Hashes a sequence of prefix parts, one part per call.
/// @param before Hash of the parts before this one; 0 for the first part.
/// @returns the hash of the sequence up to and including @p part.
std::uint64_t hashPrefix(std::uint64_t before, std::string_view part);

/// @returns a hash as a pseudorandom number of at least 0 and less than 1.
double hashFraction(std::uint64_t hash);

} // namespace endivespan
