#pragma once

#include "bench_machines.h"
#include "bench_model.h"

#include <deque>
#include <queue>
#include <random>
#include <vector>

/// Internals of the simulation: the simulated machines and hosts and the queue of events that drives them.
namespace endivespan::cli {

constexpr ModelHandle OneModel {0};
constexpr VersionHandle OneVersion {0};
constexpr Duration HostPeriod = std::chrono::milliseconds(50);
constexpr Duration KeepPeriod = std::chrono::milliseconds(20);
constexpr Duration DeletionPeriod = std::chrono::seconds(1);

inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// What happens at one point of simulated time.
enum class EventKind {
    Arrival,
    ReachRunner,
    ChunkDone,
    FirstToken,
    RunEnd,
    LinkDone,
    Report,
    ReportArrives,
    Events,
    EventsArrive,
    HostTick,
    KeepTick,
    DeletionTick,
};

/// One entry of the event queue. The order is reversed, so that a std::priority_queue returns the earliest event first.
struct Event {
    TimePoint at;
    std::uint64_t order = 0; ///< Simultaneous events run in the order in which they were scheduled.
    EventKind kind = EventKind::Arrival;
    std::uint32_t index = 0; ///< Job, runner or store, depending on the kind; 0 for events of the whole system.

    bool operator<(const Event &other) const
    {
        return this->at != other.at ? this->at > other.at : this->order > other.order;
    }
};

/// State of one prompt; its index in Model::jobs is that of its arrival.
struct Job {
    std::uint32_t arrival = 0;
    std::uint32_t priority = 0;
    std::uint32_t runner = 0;
    RouteDecision decision;
    DispatchHandle dispatch;
    TimePoint dispatchedAt;
    TimePoint startedAt;
    std::uint32_t cachedPieces = 0;
    std::uint32_t importedPieces = 0;
    std::uint32_t recomputeTokens = 0;
    std::uint32_t remainingTokens = 0;
    std::vector<PieceKey> pinned;
};

/// One simulated runner.
struct Runner {
    PieceMemory memory;
    std::vector<std::uint32_t> queue; ///< Jobs that wait for a free run.
    std::vector<std::uint32_t> prefill; ///< Jobs ready for prefill.
    std::uint32_t running = 0;
    std::uint32_t prefilling = 0; ///< Job whose chunk is being prefilled, while busy.
    bool busy = false; ///< A chunk of prefill is under way.
    std::vector<CacheEvent> events; ///< Not yet sent to the hosts.
};

/// One simulated host with the decision code that is compared.
struct Host {
    LoadTable loads;
    Directory directory;
    Admission admission;
    std::unique_ptr<Router> router;
};

/// Load reports that have been sent but have not arrived at the hosts.
struct Snapshot {
    std::vector<LoadReport> runners;
    std::vector<LinkReport> links;
};

/// Cache events and changes of listings that have been sent but have not arrived at the hosts. The outer indexes are
/// runners for events and stores for added and removed.
struct Batch {
    std::vector<std::vector<CacheEvent>> events;
    std::vector<std::vector<StoreListing>> added;
    std::vector<std::vector<PieceKey>> removed;
};

/// Simulates one workload with one set of policies.
class Model
{
public:
    Model(const ModelOptions &options, const PolicySet &policies, const Workload &workload);
    ModelResult run();

private:
    void addKeeper();
    void addHost();
    void schedule(TimePoint at, EventKind kind, std::uint32_t index);
    void handle(const Event &event);
    [[nodiscard]] const Arrival &arrivalOf(std::uint32_t job) const;
    [[nodiscard]] const Catalogue &catalogueOf(std::uint32_t job) const;
    [[nodiscard]] std::uint32_t promptTokens(std::uint32_t job) const;
    [[nodiscard]] bool isCounted(std::uint32_t job) const;
    [[nodiscard]] bool isLight(std::uint32_t job) const;
    Host &hostOf(std::uint32_t job);
    [[nodiscard]] std::uint32_t storeOf(const PieceKey &piece) const;
    void arrive(std::uint32_t job);
    void apply(Host &host, AdmissionActions &actions);
    void dispatch(Host &host, std::uint32_t index);
    void firstToken(std::uint32_t index);
    void count(std::uint32_t index, std::uint64_t imported);
    void hostTick();
    void reachRunner(std::uint32_t index);
    std::uint32_t takeFirst(std::vector<std::uint32_t> &list);
    void startRuns(std::uint32_t number);
    void pin(Job &job, const PieceKey &piece);
    void importNext(std::uint32_t index);
    void startPrefill(std::uint32_t index);
    void startChunk(std::uint32_t number);
    void chunkDone(std::uint32_t number);
    void endPrefill(std::uint32_t index);
    void runEnd(std::uint32_t index);
    void notifyKeepers(std::uint32_t index);
    void startTransfer(std::uint32_t number);
    void linkDone(std::uint32_t number);
    void onExported(std::uint32_t number, const Transfer &transfer);
    void keepTick();
    void deletionTick();
    LoadReport reportOf(const Runner &runner) const;
    void report();
    void reportArrives();
    void collectEvents();
    void eventsArrive();
    const ModelOptions &options;
    const PolicySet &policies;
    const Workload &workload;
    std::mt19937_64 random;
    TimePoint now;
    TimePoint end;
    std::uint64_t nextOrder = 0;
    std::priority_queue<Event> events;
    std::vector<Job> jobs;
    std::vector<Runner> runners;
    std::vector<ModelStore> stores;
    std::vector<std::unique_ptr<Keeper>> keepers;
    std::vector<std::unique_ptr<Host>> hosts;
    std::deque<Snapshot> snapshots;
    std::deque<Batch> batches;
    ModelResult result;
};

} // namespace endivespan::cli
