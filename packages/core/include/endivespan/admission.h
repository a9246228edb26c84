#pragma once

#include <endivespan/clock.h>
#include <endivespan/config.h>
#include <endivespan/error.h>
#include <endivespan/handle.h>
#include <endivespan/load_table.h>

#include <cstddef>
#include <cstdint>
#include <vector>

/// Admission control: decides which prompts start, wait or are rejected on this host, and in which order the
/// organisations are served.
namespace endivespan {

/// One request that asks for admission.
struct AdmissionRequest {
    std::uint64_t id = 0; ///< Unique among the waiting and running requests.
    OrganisationHandle organisation;
    std::uint32_t prefillTokens = 0; ///< Upper bound of the tokens to prefill; correctPrefill() corrects it.
    std::uint32_t maxTokens = 0;
    TimePoint deadline;
    std::uint64_t random = 0; ///< Fresh random bits, for the jitter of AdmissionRefusal::retryAfter.
};

/// A request that may start now.
struct AdmissionStart {
    std::uint64_t id = 0;
    /// Priority at the engine; lower values run first. Grows with the recent usage of the organisation.
    std::uint32_t priority = 0;
};

/// A request that was never started and is rejected now.
struct AdmissionRefusal {
    std::uint64_t id = 0;
    ErrorKind kind = ErrorKind::Overloaded;
    Duration retryAfter {}; ///< When the caller should retry, with jitter.
};

/// What the caller of an Admission method must do afterwards.
struct AdmissionActions {
    std::vector<AdmissionStart> start;
    std::vector<AdmissionRefusal> refuse;
};

/// How much work this host may have in flight at its runners.
struct AdmissionCapacity {
    double runs = 0; ///< Maximum number of runs in flight.
    double prefillTokens = 0; ///< Maximum prefill tokens of runs that have not returned their first token yet.
    double runners = 0; ///< This host's share of the runners; for each, one typical prompt is allowed on top.
    double tokensPerSecond = 0; ///< Prefill throughput of this host's share of the runners; 0 when unknown.
};

/// @param pool Capacity of the whole pool.
/// @param hosts Number of live hosts that share it.
/// @returns the part of the pool that one host may use. It exceeds an equal share while runners are idle.
AdmissionCapacity capacityOfHost(const PoolCapacity &pool, std::size_t hosts);

/// Sizes of an Admission object, fixed for its lifetime.
struct AdmissionLimits {
    std::size_t queueBound = config::AdmissionQueueBound; ///< Maximum number of waiting requests.
    std::size_t organisations = config::MaxOrganisations;
    std::size_t inFlight = 4096; ///< Maximum number of running requests.
    bool fairShare = true; ///< When false, all organisations share one queue in order of arrival.
};

/// Current numbers of requests, and counters since the object was created.
struct AdmissionStats {
    std::size_t queued = 0;
    std::size_t inFlight = 0;
    std::size_t activeOrganisations = 0; ///< With at least one waiting request.
    std::uint64_t started = 0;
    std::uint64_t refusedQueueFull = 0;
    std::uint64_t refusedOrganisation = 0;
    std::uint64_t refusedDeadline = 0;
};

/// Bounded request queue of one model on one host, with start-time fair queueing between organisations.
/// The cost of a call depends on the queue bound and on the number of organisations that have requests on this host,
/// not on the number of organisations that exist. No request starts before the first call of setCapacity().
class Admission
{
public:
    explicit Admission(const AdmissionLimits &limits = {});

    /// Sets weight and limit of an organisation.
    /// @param weight Share of the capacity relative to the other organisations.
    /// @param inFlight Maximum number of its requests that wait or run on this host at the same time.
    void setOrganisation(OrganisationHandle organisation, std::uint32_t weight, std::uint32_t inFlight);

    /// Sets the capacity. When it drops, as after the loss of a failure domain, requests that can no longer be served
    /// in time are rejected at once.
    void setCapacity(const AdmissionCapacity &capacity, TimePoint now, AdmissionActions &actions);

    /// Admits a new request: it starts, waits or is rejected. To make room, a waiting request may be rejected instead.
    void offer(const AdmissionRequest &request, TimePoint now, AdmissionActions &actions);

    /// Corrects the cost of a started request once routing has decided how many tokens have to be recomputed.
    void correctPrefill(std::uint64_t id, std::uint32_t recomputeTokens);

    /// Records that the first token of a started request has arrived, so that its prefill is done.
    void firstToken(std::uint64_t id, TimePoint now, AdmissionActions &actions);

    /// Records that a started request has ended, with any outcome.
    void finished(std::uint64_t id, TimePoint now, AdmissionActions &actions);

    /// Removes a waiting request whose caller has disconnected.
    void abandon(std::uint64_t id);

    /// Rejects waiting requests whose deadline has passed and starts those that may start. Call it on each tick.
    void tick(TimePoint now, AdmissionActions &actions);

    [[nodiscard]] AdmissionStats stats() const;

    /// @returns the memory that the object has reserved, in bytes.
    [[nodiscard]] std::size_t memoryBytes() const;

private:
    using Index = std::uint32_t;
    static constexpr Index None = 0xFFFFFFFF;

    // A waiting request. The requests of one organisation form a linked list in order of arrival.
    struct Waiting {
        AdmissionRequest request;
        double prefill = 0; ///< Tokens that are expected to be recomputed.
        std::uint64_t arrival = 0;
        Index previous = None;
        Index next = None;
        bool used = false;
    };

    struct Running {
        std::uint64_t id = 0;
        OrganisationHandle organisation;
        std::uint32_t promptTokens = 0;
        double prefill = 0; ///< Expected prefill tokens; 0 after the first token.
    };

    struct Organisation {
        std::uint32_t weight = 1;
        std::uint32_t limit = 64; ///< Maximum number of waiting and running requests.
        std::uint32_t running = 0;
        std::uint32_t queued = 0;
        double queuedPrefill = 0;
        double recomputeShare = 1.0; ///< Smoothed share of its prompt tokens that has to be recomputed.
        double recentCost = 0; ///< As of recentAt; decays with the time constant config::AdmissionUsageDecayTime.
        TimePoint recentAt;
        double finishTag = 0; ///< Start-time fair queueing: virtual finish time of its last started request.
        Index first = None; ///< Oldest waiting request.
        Index last = None; ///< Newest waiting request.
        Index activeIndex = None; ///< Index into active.
    };

    void refuse(const AdmissionRequest &request, ErrorKind kind, AdmissionActions &actions);
    [[nodiscard]] Duration retryAfter(std::uint64_t random) const;
    [[nodiscard]] double prefillBound() const;
    [[nodiscard]] static double recentCost(const Organisation &organisation, TimePoint now);
    [[nodiscard]] double lightCostLimit(const Organisation &organisation) const;
    [[nodiscard]] bool mayStart(const Organisation &organisation, TimePoint now) const;
    [[nodiscard]] bool isQueueTooLong() const;
    [[nodiscard]] std::size_t maxQueued() const;
    [[nodiscard]] bool meetsDeadline(const AdmissionRequest &request, TimePoint now) const;
    void enqueue(const AdmissionRequest &request);
    void remove(Index index);
    void shedOne(AdmissionActions &actions);
    [[nodiscard]] Index nextOrganisation() const;
    [[nodiscard]] Index longestOrganisation() const;
    void startWaiting(TimePoint now, AdmissionActions &actions);
    void start(const AdmissionRequest &request, double prefill, TimePoint now, AdmissionActions &actions);
    [[nodiscard]] std::uint32_t priorityOf(const Organisation &organisation, TimePoint now) const;
    void activate(Index organisation);
    void deactivate(Index organisation);
    void checkBound() const;
    [[nodiscard]] Running *findRunning(std::uint64_t id);

    AdmissionLimits limits;
    AdmissionCapacity capacity;
    AdmissionStats counters;
    std::vector<Waiting> waiting;
    std::vector<Index> freeWaiting;
    std::vector<Running> running;
    std::vector<Organisation> organisations;
    std::vector<Index> active; ///< Organisations with waiting requests.
    double prefillInFlight = 0;
    double queuedPrefill = 0;
    double meanPrefill = 0; ///< Smoothed mean of the recomputed tokens of a prompt.
    double meanSquarePrefill = 0; ///< Smoothed mean of their square.
    std::size_t busyOrganisations = 0; ///< With at least one waiting or running request.
    double virtualTime = 0;
    std::uint64_t arrivals = 0;
};

/// Limits retries to a share of the successful requests, so that retries cannot amplify an overload.
class RetryBudget
{
public:
    /// Counts a successful request, which adds a fraction of one retry (config::RetryBudgetShare) to the budget.
    void onSuccess();

    /// Takes one retry from the budget.
    /// @returns true when the retry may be made.
    bool tryTake();

private:
    double tokens = config::RetryBudgetMax / 2;
};

} // namespace endivespan
