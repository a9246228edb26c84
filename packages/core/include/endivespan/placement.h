#pragma once

#include <endivespan/engine_model.h>
#include <endivespan/rollout.h>
#include <endivespan/server_table.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>

/// Chooses the server of one attempt at a forwarded request.
namespace endivespan {

/// What a request needs of its server.
struct PlacementNeed {
    std::string service;
    std::string model; ///< Empty for services without models.
    std::uint64_t prefixHash = 0; ///< Of the parts that other requests share.
    std::uint64_t sharedTokens = 0; ///< In those parts.
    std::uint64_t ownTokens = 0; ///< Prompt tokens beyond them.
    std::uint64_t answerTokens = 0; ///< At most.
    std::string domain; ///< Failure domain of this host.
    std::uint64_t newestWeights = 0; ///< Newest version named for the model.
    std::uint64_t oldestWeights = 0; ///< Servers with older ones may not be used.
    ColdBound cold;
    std::shared_ptr<const RolloutQueue> loadingNext; ///< Null while no weights change.
    std::size_t urgency = 0; ///< 0 is the most urgent.
    std::uint32_t mostInFlight = 0; ///< Own attempts at one server; 0 for no bound.
    double mostWaiting = 0; ///< Requests that wait at one server; 0 for no bound.
    double memoryTokens = 0; ///< Of an engine's memory, for requests this urgent; 0 for no bound.
    EngineRates rates; ///< Of the engines.
    std::size_t hosts = 1; ///< That send to the same servers.
    double meanRequests = 0; ///< At a server of the pool.
    std::set<std::string> tried; ///< Servers that have had the request.
};

/// Why a server was or was not taken; the numbers of the decision for the log.
struct PlacementChoice {
    std::string server; ///< Empty when there is none.
    Duration expected {}; ///< Until the first byte of the answer.
    std::string likelyHolder; ///< Address of the other engine that most likely keeps the shared parts; may be empty.
    std::uint32_t known = 0; ///< Servers of the service in the list.
    std::uint32_t leaving = 0; ///< Of these, those that leave.
    std::uint32_t resting = 0; ///< Of these, those that have asked this host for a rest.
    std::uint32_t open = 0; ///< Of those known, those that take new work.
    std::uint32_t full = 0; ///< Of the open ones, those with no room for this host now.
    std::uint32_t cold = 0; ///< Of the open ones, the cold ones that this host may not send to now.
};

/// One way to choose.
class Placement
{
public:
    virtual ~Placement() = default;

    /// @param random Any number, for choices between equals.
    [[nodiscard]] virtual PlacementChoice
    choose(const ServerTable &table, const PlacementNeed &need, std::uint64_t random, TimePoint now) const = 0;
};

/// @returns the baseline: the server with least own attempts.
std::unique_ptr<Placement> makeLeastInFlightPlacement();

/// @returns least expected time to the first byte, where a shared prefix is expected at the first servers of its
///     rendezvous order. Answers a load of many subjects that each come back seldom to any one host. Of a large pool
///     only a few servers are weighed beside those, so that hosts which see the same loads do not all take the same
///     server.
std::unique_ptr<Placement> makeExpectedStartPlacement();

/// @returns a number for a sequence of prefix parts.
std::uint64_t hashPrefix(std::uint64_t before, std::string_view part);

} // namespace endivespan
