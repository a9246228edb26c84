#pragma once

#include <endivespan/clock.h>
#include <endivespan/log_cause.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

/// Decides which of the forwarded requests that wait for a server starts next, and which are refused.
namespace endivespan {

/// Estimates how long an answer takes on each route, from the start of its attempt. An upper quantile stands for the
/// usual time. The first estimate of a route is its aim.
class RouteTimes
{
public:
    /// Records a complete answer.
    /// @param aim Aim of the route.
    /// @param firstEvent From the start of the attempt to the first event, or to the whole answer if it is no stream.
    /// @param rest From the first event to the end.
    void observe(const std::string &route, std::chrono::milliseconds aim, Duration firstEvent, Duration rest);

    /// Records that an answer was still incomplete at the deadline.
    /// @param atLeast From the start of the attempt to the deadline.
    void observeIncomplete(const std::string &route, std::chrono::milliseconds aim, Duration atLeast);

    /// @returns the usual time from the start of an attempt to the end of its answer.
    [[nodiscard]] Duration usual(const std::string &route, std::chrono::milliseconds aim) const;

private:
    /// An upper quantile of times, in milliseconds.
    struct Quantile {
        double value = 0;
        std::uint32_t samples = 0;

        void add(double sample);
    };
    struct Times {
        Quantile firstEvent;
        Quantile rest;
    };

    Times &timesOf(const std::string &route, std::chrono::milliseconds aim);

    std::map<std::string, Times> routes;
};

/// What the queue considers of a request.
struct QueuedRequest {
    std::string service;
    std::string model; ///< Empty for services without models.
    std::string route;
    std::string organisation; ///< Empty on public routes, which together count as one organisation.
    std::size_t urgency = 0; ///< 0 is the most urgent.
    std::uint64_t tokens = 0; ///< Of the prompt and the longest answer; 0 for services without models.
    std::chrono::milliseconds aim {}; ///< Aim of the route.
    TimePoint deadline;
};

/// Identifies a waiting request. Later requests have greater keys.
using QueueKey = std::uint64_t;

/// A request that the queue gives up, which has not run.
struct QueueRefusal {
    QueueKey key = 0;
    RefusalCause cause = RefusalCause::None;
    std::optional<Duration> roomIn; ///< Expected time until it could have started, if known.
};

/// @returns whether a request for which a server was found may be sent to it: now, or so soon that it need not wait
/// here.
/// @param roomIn Expected time until the server can start it, if known.
bool isRoomNear(std::optional<Duration> roomIn);

/// @returns for how long a request may wait while nothing is known about when a server will have room.
Duration waitWithoutForecast(std::chrono::milliseconds aim);

/// Forecasts the remaining time in the queue.
/// @param roomIn Time until the best server could start the request if no other one waited.
/// @param ahead Number of requests on this host that start before it.
/// @param gap Usual time between two starts from the queue of this host.
Duration expectedWait(Duration roomIn, std::size_t ahead, Duration gap);

/// @returns after what time a refused caller is told to retry: the expected time until there is room and a random
///     part, which together are at most a fraction of the time that the caller has left.
/// @param random Random number.
std::chrono::milliseconds retryAfterRoom(Duration roomIn, std::chrono::milliseconds timeLeft, std::uint64_t random);

/// The requests of one host that wait for a server, of services whose callers compete for too little capacity.
///
/// Requests start by urgency, then by the recent use of their organisations, then by the time left for a start. One
/// waits as long as its forecast leaves time for its answer. When requests have started late for a while, the queue is
/// a standing one that only adds delay, and its last requests are refused one after the other.
///
/// A round offers room to the waiting requests in their order: startRound(), then for each next() one of started(),
/// noRoom() and remove(), and finishRound(). Call it when a server may have room and at regular intervals.
class ForwardQueue
{
public:
    /// Adds a request. A round must follow.
    QueueKey add(QueuedRequest request, TimePoint now);

    /// Removes a request that has ended, also within a round. Does nothing when it is not in the queue.
    void remove(QueueKey key, TimePoint now);

    [[nodiscard]] bool hasWaiting(const std::string &service) const;
    [[nodiscard]] std::size_t size() const;

    void startRound(TimePoint now);

    /// @returns the request to find a server for next; nothing when the others cannot have room either.
    [[nodiscard]] std::optional<QueueKey> next();

    /// Records that the request started, and removes it.
    /// @returns the time that it waited.
    Duration started(QueueKey key);

    /// Records that no server has room for the request.
    /// @param roomIn Expected time until one has; nothing when it is unknown.
    void noRoom(QueueKey key, std::optional<Duration> roomIn);

    /// @returns the requests that wait no longer, which are removed.
    std::vector<QueueRefusal> finishRound();

    /// @returns the recent use of an organisation, in tokens.
    [[nodiscard]] double recentUse(const std::string &organisation, TimePoint now) const;

    RouteTimes routeTimes;

private:
    struct Waiting {
        QueuedRequest request;
        TimePoint since;
        std::size_t place = 0; ///< In the order of the current round, from 1; 0 until its turn has come.
        std::optional<Duration> roomIn; ///< Found in the current round.
        std::optional<TimePoint> unknownSince; ///< Set while the time until there is room is unknown.
    };

    /// Starts of requests of one service that are at most as urgent as a level.
    struct Flow {
        double gap = 0; ///< Smoothed time between two starts while requests wait, in milliseconds.
        TimePoint countsFrom; ///< Latest start, or the time from which requests waited if that is later.
        TimePoint idleSince; ///< End of the latest time in which requests waited.
        std::optional<TimePoint> lateSince; ///< Set while each start of this level comes later than the target.
        bool isStanding = false;
        Duration interval {}; ///< Between the first two refusals of a standing queue.
        std::uint32_t refused = 0; ///< Requests refused since the queue is standing.
        TimePoint nextRefusal;
    };

    struct Use {
        double tokens = 0;
        TimePoint at;
    };

    using Entries = std::map<QueueKey, Waiting>;
    using Level = std::pair<std::string, std::size_t>; ///< Service and urgency.
    /// Urgency, recent use of the organisation, latest start and key; the least comes first.
    using Rank = std::tuple<std::size_t, double, TimePoint, QueueKey>;

    [[nodiscard]] bool hasWaiting(const Level &level) const;
    [[nodiscard]] TimePoint latestStart(const QueuedRequest &request) const;
    void sortTurns();
    [[nodiscard]] const Waiting *sameWithoutRoom(const QueuedRequest &request) const;
    [[nodiscard]] Duration gapOf(const Level &level) const;
    [[nodiscard]] std::vector<QueueKey> inOrder() const;
    void take(Entries::iterator entry);
    void noteUse(const QueuedRequest &request, TimePoint now);
    void noteStart(const Waiting &waiting);
    void noteDelay(const Waiting &waiting);
    [[nodiscard]] std::optional<RefusalCause>
    judge(Waiting &waiting, std::optional<Duration> expected, TimePoint latest) const;
    void refuseUnpromising(std::vector<QueueRefusal> &refusals);
    void refuseStanding(std::vector<QueueRefusal> &refusals);
    void refuseLast(const Level &level, RefusalCause cause, std::vector<QueueRefusal> &refusals);
    void refuseBeyondBound(std::vector<QueueRefusal> &refusals);
    void refuse(QueueKey key, RefusalCause cause, std::optional<Duration> roomIn, std::vector<QueueRefusal> &refusals);

    Entries entries;
    std::map<Level, Flow> flows;
    std::map<std::string, Use> uses; ///< By organisation.
    QueueKey lastKey = 0;
    TimePoint roundAt;
    std::vector<Rank> turns; ///< Of the current round, the next one at the back.
    bool isSorted = false; ///< Whether turns follows the recent uses.
    std::size_t places = 0; ///< Given in the current round.
};

} // namespace endivespan
