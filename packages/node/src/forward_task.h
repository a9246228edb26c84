#pragma once

#include "metrics.h"
#include "operator_feed.h"
#include "server_feed.h"
#include "suspect_feed.h"
#include "trial_feed.h"

#include <endivespan/config.h>
#include <endivespan/confirmation.h>
#include <endivespan/crash_watch.h>
#include <endivespan/engine_model.h>
#include <endivespan/event_log.h>
#include <endivespan/first_event_times.h>
#include <endivespan/forward_codec.h>
#include <endivespan/forward_queue.h>
#include <endivespan/forward_settings.h>
#include <endivespan/host_roster.h>
#include <endivespan/http_pool.h>
#include <endivespan/http_server.h>
#include <endivespan/log_cause.h>
#include <endivespan/loop.h>
#include <endivespan/membership.h>
#include <endivespan/old_parts.h>
#include <endivespan/placement.h>
#include <endivespan/retry_share.h>
#include <endivespan/server_table.h>
#include <endivespan/suspect.h>
#include <endivespan/suspect_trial.h>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Serves forwarded requests: checks each one, finds a server with room, forwards it and returns the answer.
namespace endivespan {

class ForwardRun;
struct ForwardJob;

/// Dependencies of ForwardTask; all must outlive it.
struct ForwardParts {
    Loop &loop;
    const ForwardSettings &settings;
    const ForwardCodec &codec;
    const OperatorFeed &operators;
    ServerTable &servers;
    SharedStores &stores;
    OldParts &oldParts;
    const ServerFeed &serverFeed;
    Membership &membership;
    const HostRoster &roster;
    ConfigConfirmation &confirmation;
    SuspicionTable &suspicions;
    SuspectFeed &suspectFeed;
    TrialFeed &trials;
    Metrics &metrics;
    EventLog &events;
};

/// Times that say when a refused caller may return.
struct RefusalTimes {
    std::chrono::milliseconds left {}; ///< Until the request's deadline.
    std::optional<Duration>
        restIn {}; ///< Until servers that have asked for a rest accept requests again, if they have.
    std::optional<Duration> roomIn {}; ///< Until a server is expected to have room, if known.
};

/// A refusal of a request because servers have crashed under it.
struct CrashRefusal {
    RefusalCause cause = RefusalCause::IdenticalCrashes;
    Fingerprint fingerprint; ///< Of the request or the part that the crashes count against.
    std::size_t part = 0; ///< Index of the part; with RefusalCause::PartCrashes only.
};

/// Owns the runs of all requests under way and the connections to servers.
class ForwardTask
{
public:
    explicit ForwardTask(ForwardParts parts);
    ~ForwardTask();
    ForwardTask(const ForwardTask &) = delete;
    ForwardTask &operator=(const ForwardTask &) = delete;

    /// Checks one request, and refuses it or starts a run for it.
    void serve(const std::shared_ptr<HttpExchange> &exchange);

    /// Refuses all further requests; their callers are told that they have not run.
    void refuseNew();

    /// Sets when endAll() will be called. Requests that are not expected to be answered by then are no longer sent to
    /// servers.
    void endAt(TimePoint end);

    /// Ends all requests under way with an answer, or cuts their streams, and refuses all further ones.
    /// @returns the number of requests that it ended.
    std::size_t endAll();

    void tick(TimePoint now);

    [[nodiscard]] std::size_t inFlight() const;

    /// @returns whether there is a configuration and it is confirmed recently enough to serve requests.
    [[nodiscard]] bool isInForce(TimePoint now) const;

    /// @returns whether the configuration is confirmed recently enough to accept API keys, or needs none. Keys may have
    ///     been withdrawn just before the log became unreachable for all hosts, so that their bound also holds then.
    [[nodiscard]] bool acceptsKeys(TimePoint now) const;

    // Called by the runs.

    /// @returns whether the operators' records and the server list held here are recent enough to rely on their weight
    /// versions when parts are fetched or saved. Always true while no host reaches the log.
    [[nodiscard]] bool mayTransfer(TimePoint now) const;

    /// @returns the server for an attempt, or a choice with an empty name when none has room.
    [[nodiscard]] PlacementChoice place(PlacementNeed need, TimePoint now);

    /// @returns the limit on what all hosts together may send to a cold server of @p service.
    [[nodiscard]] ColdBound coldBound(const ForwardService &service) const;

    /// Fills in the fields of @p need that follow from the configuration, the weights and the load on engines.
    void completeNeed(PlacementNeed &need, TimePoint now) const;

    /// Records the time from the start of an attempt until the first byte of an engine's answer.
    void observeFirstByte(Duration firstByte);

    /// @returns the smoothed mean of these times.
    [[nodiscard]] Duration firstByteTime() const;

    /// @returns when endAll() will be called; nothing until the host stops.
    [[nodiscard]] std::optional<TimePoint> endOfStop() const;

    /// @returns whether the rules for services whose servers report their pace apply to @p service.
    [[nodiscard]] bool hasLoadControl(const std::string &service) const;

    /// Lets a run wait until a server may have room, for a service without load control.
    /// @returns false when too many wait.
    bool wait(ForwardRun &run);

    /// Lets a run of a service under load control start in its turn, which may be at once, or refuses it.
    void startInTurn(ForwardRun &run, QueuedRequest request);

    /// Removes a run from those that wait.
    void stopWaiting(const ForwardRun &run);

    /// Lets all runs that wait try again, after the current event.
    void retryWaiting();

    /// Lets those of services under load control try again, after the current event.
    void retryQueued();

    /// Ends a run; it is destroyed once the current callbacks have returned.
    void finish(ForwardRun &run);

    /// Refuses a request that has certainly not run.
    /// @returns the time after which the caller is told to retry; 0 when the error is not retryable.
    std::chrono::milliseconds
    replyRefusal(HttpExchange &exchange, const std::string &requestId, const Error &error, const RefusalTimes &times);

    /// Records that an attempt was lost: it got no complete answer and its server gave no reason, so that the server
    /// may have crashed.
    void recordLostAttempt(const ServerIncarnation &life, LossKind kind, const ForwardJob &job, TimePoint now);

    /// @returns why the request must not be sent to a server, if servers have crashed under it or under a part of it.
    /// @param trials The request and the parts of it that may run all the same, as a trial.
    [[nodiscard]] std::optional<CrashRefusal>
    findCrashRefusal(const ForwardJob &job, const std::set<Fingerprint> &trials, TimePoint now) const;

    /// Records that a trial has shown these to be sound.
    void recordTrialAnswer(const std::set<Fingerprint> &trials, TimePoint now);

    /// Logs that a request is refused for the shared part of its prompt at index @p part.
    void reportRefusedPart(const ForwardJob &job, std::size_t part);

    /// Records that a server has stated in an answer that it is leaving.
    void recordLeaving(const ServerIncarnation &life, const std::string &address);

    /// Records the time for which a refusing server wants no requests from this host.
    void
    recordRest(const ServerIncarnation &life, const ServerAnswer &answer, const std::string &requestId, TimePoint now);

    /// @returns the number of servers that crashed, or may just have crashed, while they ran a request with this
    /// fingerprint.
    [[nodiscard]] std::size_t crashesDuring(const Fingerprint &fingerprint, TimePoint now) const;

    /// @returns the number of hosts that the roster counts.
    [[nodiscard]] std::size_t hosts() const;

    ForwardParts parts;
    std::unique_ptr<HttpPool> pool;
    RetryShare retries;
    EngineModel engines;
    FirstEventTimes firstEvents;
    CrashWatch crashes;
    TrialSurvivals survivals;
    ForwardQueue queue; ///< The runs of services under load control that wait.
    std::mt19937_64 random;

private:
    void refuse(HttpExchange &exchange, const ForwardRequest &request, const Error &error);
    void watchCrashes(TimePoint now);
    void watchTrials(TimePoint now);
    void applyFinding(const CrashFinding &finding, TimePoint now);
    void sampleMemory();
    void offerRoom();
    void offerRoom(QueueKey key, TimePoint now);
    [[nodiscard]] std::chrono::milliseconds retryAfter(ErrorKind kind, std::chrono::milliseconds timeLeft);

    std::unique_ptr<Placement> placement;
    std::map<Fingerprint, std::string> partNames; ///< Ids of the parts of lost attempts, for the log.
    /// Engines that are to load the newest weights, by model, as of the last tick.
    std::map<std::string, std::shared_ptr<const RolloutQueue>> weightLoadQueues;
    std::map<std::string, double> meanRequests; ///< At an engine, by service, as of the last tick.
    std::map<const ForwardRun *, std::unique_ptr<ForwardRun>> runs;
    std::vector<std::unique_ptr<ForwardRun>> ended; ///< Destroyed after the current callbacks.
    std::unique_ptr<Timer> cleanup;
    std::unique_ptr<Timer> wakeup;
    std::unique_ptr<Timer> queueWakeup;
    std::vector<ForwardRun *> waiting; ///< Of services without load control.
    std::map<QueueKey, ForwardRun *> queued;
    bool isOfferingRoom = false;
    SmoothedMean firstByte {0, config::FirstByteSmoothing}; ///< Of engines, in milliseconds.
    bool refusing = false;
    std::optional<TimePoint> end; ///< When endAll() will be called; unset until the host stops.
};

} // namespace endivespan
