#pragma once

#include <endivespan/clock.h>
#include <endivespan/config.h>
#include <endivespan/error.h>
#include <endivespan/handle.h>
#include <endivespan/load.h>

#include <cstddef>
#include <cstdint>
#include <vector>

/// Admission: which prompts start, wait or are refused on this host, and in which order organisations are served.
namespace endivespan {

/// One request that asks to run.
struct AdmissionRequest {
    std::uint64_t id = 0; ///< Unique among the requests that wait or run.
    OrganisationHandle organisation;
    std::uint32_t prefillTokens = 0; ///< Upper bound; corrected by planned().
    std::uint32_t maxTokens = 0;
    TimePoint deadline;
    std::uint64_t random = 0; ///< Fresh random bits for the jitter of a refusal.
};

/// A request that may start now.
struct AdmissionStart {
    std::uint64_t id = 0;
    std::uint32_t priority = 0; ///< For the engine; lower runs first. Grows with what the organisation used of late.
};

/// A request that was never started and gets its final answer now.
struct AdmissionRefusal {
    std::uint64_t id = 0;
    ErrorKind kind = ErrorKind::Overloaded;
    Duration retryAfter {}; ///< With jitter.
};

/// What the caller of a method must do.
struct AdmissionActions {
    std::vector<AdmissionStart> start;
    std::vector<AdmissionRefusal> refuse;
};

/// What this host may have under way at its runners.
struct AdmissionCapacity {
    double runs = 0; ///< Runs in flight.
    double prefillTokens = 0; ///< Prompt tokens sent whose first token has not come.
    double runners = 0; ///< Each may have a typical prompt sent ahead on top.
    double tokensPerSecond = 0; ///< Rate at which this host's share of the runners works off cost; 0 when unknown.
};

/// @param pool The whole pool.
/// @param hosts Live hosts that share it.
/// @returns the part of the pool that one host may use.
AdmissionCapacity capacityOfHost(const PoolCapacity &pool, std::size_t hosts);

/// Sizes of the pools, fixed for the life of the object.
struct AdmissionLimits {
    std::size_t queueBound = config::AdmissionQueueBound;
    std::size_t organisations = config::MaxOrganisations;
    std::size_t inFlight = 4096;
    bool fairShare = true; ///< Off: one queue in order of arrival.
};

/// Counts since the object was made.
struct AdmissionStats {
    std::size_t queued = 0;
    std::size_t inFlight = 0;
    std::size_t activeOrganisations = 0;
    std::uint64_t started = 0;
    std::uint64_t refusedQueueFull = 0;
    std::uint64_t refusedOrganisation = 0;
    std::uint64_t refusedDeadline = 0;
};

/// Bounded queue with start-time fair queueing between organisations, for one model on one host.
/// The cost of every call depends on organisations with requests here, not on how many exist. Nothing starts before
/// setCapacity() was called.
class Admission
{
public:
    explicit Admission(const AdmissionLimits &limits = {});

    /// Sets weight and limit of an organisation.
    /// @param inFlight Requests of it that may wait or run on this host at a time.
    void setOrganisation(OrganisationHandle organisation, std::uint32_t weight, std::uint32_t inFlight);

    /// Sets what may be under way; a fall, as when a failure domain leaves, sheds at once what can no longer be served.
    void setCapacity(const AdmissionCapacity &capacity, TimePoint now, AdmissionActions &actions);

    /// Takes a request: it starts, waits or is refused; a waiting one may be refused in its place.
    void offer(const AdmissionRequest &request, TimePoint now, AdmissionActions &actions);

    /// Corrects the cost of a started request once it is known how much has to be recomputed.
    void planned(std::uint64_t id, std::uint32_t recomputeTokens);

    /// The first token of a started request came.
    void firstToken(std::uint64_t id, TimePoint now, AdmissionActions &actions);

    /// A started request ended in any way.
    void finished(std::uint64_t id, TimePoint now, AdmissionActions &actions);

    /// The caller of a waiting request has gone.
    void abandon(std::uint64_t id);

    /// Refuses what can no longer meet its deadline and starts what may start; call each tick.
    void tick(TimePoint now, AdmissionActions &actions);

    [[nodiscard]] AdmissionStats stats() const;

    /// @returns the bytes of memory that the object has reserved.
    [[nodiscard]] std::size_t memoryBytes() const;

private:
    using Index = std::uint32_t;
    static constexpr Index None = 0xFFFFFFFF;

    // A request that waits; those of one organisation are linked in order of arrival.
    struct Waiting {
        AdmissionRequest request;
        double prefill = 0; ///< Expected to be recomputed.
        std::uint64_t arrival = 0;
        Index previous = None;
        Index next = None;
        bool used = false;
    };

    struct Running {
        std::uint64_t id = 0;
        OrganisationHandle organisation;
        std::uint32_t promptTokens = 0;
        double prefill = 0; ///< Still to come.
    };

    struct Organisation {
        std::uint32_t weight = 1;
        std::uint32_t limit = 64;
        std::uint32_t running = 0;
        std::uint32_t queued = 0;
        double queuedPrefill = 0;
        double recomputeShare = 1.0; ///< Smoothed part of its prompts that has to be recomputed.
        double recentCost = 0; ///< Decays over config::AdmissionUseMemory.
        TimePoint recentAt;
        double finishTag = 0; ///< Virtual time at which its last started request is paid for.
        Index first = None;
        Index last = None;
        Index activePlace = None;
    };

    void refuse(const AdmissionRequest &request, ErrorKind kind, AdmissionActions &actions);
    [[nodiscard]] Duration retryAfter(std::uint64_t random) const;
    [[nodiscard]] double prefillBound() const;
    [[nodiscard]] static double recentCost(const Organisation &organisation, TimePoint now);
    [[nodiscard]] double lightCost(const Organisation &organisation) const;
    [[nodiscard]] bool mayStart(const Organisation &organisation, TimePoint now) const;
    [[nodiscard]] bool isTooLong() const;
    [[nodiscard]] std::size_t bound() const;
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
    double meanPrefill = 0; ///< Smoothed recomputed tokens of a prompt, and of their square.
    double meanSquarePrefill = 0;
    std::size_t busyOrganisations = 0; ///< With requests that wait or run.
    double virtualTime = 0;
    std::uint64_t arrivals = 0;
};

/// Lets retries be a bounded share of successes, so that they cannot multiply an overload.
class RetryBudget
{
public:
    /// Counts a success, which earns a part of one retry.
    void onSuccess();

    /// @returns true when a retry may be made, and counts it.
    bool tryTake();

private:
    double tokens = config::RetryBudgetMax / 2;
};

} // namespace endivespan
