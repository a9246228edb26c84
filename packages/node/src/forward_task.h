#pragma once

#include "metrics.h"
#include "operator_feed.h"
#include "server_feed.h"

#include <endivespan/config.h>
#include <endivespan/confirmation.h>
#include <endivespan/crash_watch.h>
#include <endivespan/engine_model.h>
#include <endivespan/event_log.h>
#include <endivespan/forward_codec.h>
#include <endivespan/forward_settings.h>
#include <endivespan/host_roster.h>
#include <endivespan/http_pool.h>
#include <endivespan/http_server.h>
#include <endivespan/loop.h>
#include <endivespan/membership.h>
#include <endivespan/placement.h>
#include <endivespan/retry_share.h>
#include <endivespan/server_table.h>
#include <endivespan/suspect.h>
#include <endivespan/weight_progress.h>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Serves forwarded requests: checks each one, waits for a place, sends it on and passes the answer back.
namespace endivespan {

class ForwardRun;

/// What the task works with; everything outlives it.
struct ForwardParts {
    Loop &loop;
    const ForwardSettings &settings;
    const ForwardCodec &codec;
    const OperatorFeed &operators;
    ServerTable &servers;
    SharedStores &stores;
    WeightProgress &progress;
    const ServerFeed &serverFeed;
    Membership &membership;
    const HostRoster &roster;
    Confirmation &confirmation;
    SuspicionTable &suspicions;
    Metrics &metrics;
    EventLog &events;
};

/// Owns the requests under way and the connections to servers.
class ForwardTask
{
public:
    explicit ForwardTask(ForwardParts parts);
    ~ForwardTask();
    ForwardTask(const ForwardTask &) = delete;
    ForwardTask &operator=(const ForwardTask &) = delete;

    /// Serves one request.
    void serve(const std::shared_ptr<HttpExchange> &exchange);

    /// From now on new requests are refused as not run.
    void refuseNew();

    void tick(TimePoint now);

    [[nodiscard]] std::size_t inFlight() const;

    /// @returns whether requests may be served under the configuration held here.
    [[nodiscard]] bool isInForce(TimePoint now) const;

    // For the runs.

    /// @returns whether it is known well enough which weights are in use to move prompt parts made with them.
    [[nodiscard]] bool mayTransfer(TimePoint now) const;

    /// @returns the server for an attempt, if there is one with room.
    [[nodiscard]] PlacementChoice place(PlacementNeed need, TimePoint now);

    /// @returns what all hosts together may send to a cold server of @p service.
    [[nodiscard]] ColdBound coldBound(const ForwardService &service) const;

    /// Fills in what @p need says of weights and cold servers.
    void completeNeed(PlacementNeed &need, TimePoint now) const;

    /// Takes how long the first byte of an engine took.
    void observedEngine(Duration firstByte);

    /// @returns how long first bytes of engines have taken of late.
    [[nodiscard]] Duration firstByteTime() const;

    /// Lets a run wait for a place. @returns false when too many wait.
    bool wait(ForwardRun &run);
    void stopWaiting(const ForwardRun &run);

    /// Lets those who wait try again.
    void placesChanged();

    /// Ends a run; it is destroyed once the current callbacks have returned.
    void finish(ForwardRun &run);

    /// Refuses a request that has certainly not run.
    /// @param roomIn When there will be room, if that is known.
    /// @returns when its caller is told to come back.
    std::chrono::milliseconds replyRefusal(HttpExchange &exchange,
                                           const std::string &requestId,
                                           const Error &error,
                                           std::chrono::milliseconds timeLeft,
                                           std::optional<Duration> roomIn = std::nullopt);

    /// Takes that an attempt ended without a whole answer and without word from its server, which may have crashed.
    void lost(const ServerLife &life, const Fingerprint &fingerprint, TimePoint now);

    /// Takes that a server has said in an answer that it leaves.
    void serverLeaves(const ServerLife &life, const std::string &address);

    /// Takes what a server's refusal says of when it wants requests again.
    void serverRests(const ServerLife &life, const ServerAnswer &answer, const std::string &requestId, TimePoint now);

    /// @returns how many servers have crashed under a request, or may just have.
    [[nodiscard]] std::size_t deathsUnder(const Fingerprint &fingerprint, TimePoint now) const;

    /// @returns how many hosts exist, heard of or not.
    [[nodiscard]] std::size_t hosts() const;

    ForwardParts parts;
    std::unique_ptr<HttpPool> pool;
    RetryShare retries;
    EngineModel engines;
    CrashWatch crashes;
    std::mt19937_64 random;

private:
    void refuse(HttpExchange &exchange, const ForwardRequest &request, const Error &error);
    void watchCrashes(TimePoint now);
    void take(const CrashFinding &finding, TimePoint now);
    void observeRuns();
    [[nodiscard]] std::chrono::milliseconds retryAfter(ErrorKind kind, std::chrono::milliseconds timeLeft);

    std::unique_ptr<Placement> placement;
    /// By model, as of the last tick.
    std::map<std::string, std::shared_ptr<const RolloutQueue>> loadingNext;
    std::map<std::string, double> meanRequests; ///< At an engine, by service, as of the last tick.
    std::map<const ForwardRun *, std::unique_ptr<ForwardRun>> runs;
    std::vector<std::unique_ptr<ForwardRun>> ended;
    std::unique_ptr<Timer> cleanup;
    std::unique_ptr<Timer> wakeup;
    std::vector<ForwardRun *> waiting;
    SmoothedMean firstByte {0, config::FirstByteSmoothing}; ///< In milliseconds.
    bool refusing = false;
};

} // namespace endivespan
