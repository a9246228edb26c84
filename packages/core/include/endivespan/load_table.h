#pragma once

#include <endivespan/clock.h>
#include <endivespan/config.h>
#include <endivespan/handle.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// Estimates the load of runners and store links from their reports, corrected for what the delayed reports miss.
namespace endivespan {

/// One load report of a runner.
struct LoadReport {
    std::uint64_t incarnation = 0; ///< Changes when the runner restarts.
    std::uint32_t running = 0; ///< Runs in progress.
    std::uint32_t queued = 0; ///< Runs that wait.
    std::uint32_t capacity = 0; ///< Maximum number of runs at the same time.
    std::uint32_t queuedPrefillTokens = 0;
    double prefillTokensPerSecond = 0;
    double importBytesPerSecond = 0;
    TimePoint observedAt; ///< Estimated time at which the runner took the figures; earlier than their arrival.
};

/// One load report of the network link of a store.
struct LinkReport {
    std::uint64_t queuedBytes = 0;
    double bytesPerSecond = 0;
    TimePoint observedAt;
};

/// A dispatch that has not ended, as identified by the load table.
using DispatchHandle = Handle<struct DispatchTag>;

/// The number of bytes that one run imports from one store.
struct LinkUse {
    StoreHandle store;
    std::uint64_t bytes = 0;
};

/// Maximum number of stores that one run imports from.
constexpr std::size_t MaxLinksPerRun = 4;

/// One prompt that this host sends to a runner.
struct Dispatch {
    ServerHandle server;
    std::uint32_t prefillTokens = 0;
    std::array<LinkUse, MaxLinksPerRun> links {}; ///< Unused entries have no store.
    Duration expectedWait {}; ///< Estimate at the time of the routing decision.
    Duration expectedTransfer {}; ///< Estimate at the time of the routing decision.
};

/// Figures of one run at its first token.
struct FirstTokenSample {
    Duration timeToFirstToken {}; ///< As measured by this host.
    Duration queueTime {}; ///< As reported by the engine; zero when unknown.
    std::uint32_t recomputedTokens = 0;
    std::uint64_t importedBytes = 0;
};

/// State of one runner, as read by the router.
struct ServerLoad {
    static constexpr std::size_t MaxVersions = 4;

    ModelHandle model;
    std::array<VersionHandle, MaxVersions> versions;
    std::uint8_t versionCount = 0;
    bool mayTakeWork = false; ///< In service, not leaving and not suspected.
    bool creditAvailable = false; ///< True for a warm runner, and for a cold one with a credit left.
    bool reported = false; ///< True once a load report has been received since the runner was added.
    LoadReport report; ///< The latest report.
    std::uint32_t unreportedRequests = 0; ///< Dispatches of this host that are too recent for the report.
    std::uint32_t unreportedTokens = 0; ///< Prefill tokens of those dispatches.
    double prefillFactor = 1.0; ///< Smoothed ratio of measured to expected prefill time.
    double runSeconds = 0; ///< Smoothed duration of a run, which is how long it occupies a slot; 0 when unknown.

    /// @returns true when the runner serves the weight version @p version.
    [[nodiscard]] bool serves(VersionHandle version) const;
};

/// State of the network link of one store.
struct LinkLoad {
    LinkReport report; ///< The latest report.
    bool usable = false; ///< Whether imports may use the store.
    bool reported = false; ///< True once a report has been received.
    std::uint32_t unreportedRuns = 0; ///< Importing runs of this host that are too recent for the report.
    double transferFactor = 1.0; ///< Smoothed ratio of measured to expected transfer time.
    TimePoint learnedAt; ///< Time of the latest sample in transferFactor.
};

/// Combined capacity of the runners of one model that may take work and have sent a load report.
struct PoolCapacity {
    double runners = 0; ///< Number of those runners.
    double slots = 0; ///< Slots for runs: the sum of the reported capacities.
    double freeSlots = 0; ///< Slots that neither a running nor a queued run needs.
    double prefillTokensPerSecond = 0;
    double freePrefillTokens = 0; ///< Tokens that fit into config::AdmissionPrefillWindow besides the queued ones.
};

/// Numbers of entries of a load table, fixed for its lifetime.
struct LoadLimits {
    std::size_t servers = 1024;
    std::size_t stores = 64;
    std::size_t models = 64;
    std::size_t dispatches = 8192;
};

/// Keeps the load of every runner and store link, and estimates their rates from completed dispatches.
class LoadTable
{
public:
    explicit LoadTable(const LoadLimits &limits = {});

    /// Adds a runner, or changes the model and versions that it serves.
    void setServer(ServerHandle server, ModelHandle model, std::span<const VersionHandle> versions);

    /// Removes a runner. The ends of dispatches to it may still be reported.
    void removeServer(ServerHandle server);

    /// Sets whether a runner may receive new work.
    /// @param mayTakeWork False for a runner that is leaving, taken out or suspected.
    /// @param creditAvailable False while a cold runner has no credit left.
    void setService(ServerHandle server, bool mayTakeWork, bool creditAvailable);

    /// Records a load report of a runner. A new incarnation resets the estimates for the runner.
    void onReport(ServerHandle server, const LoadReport &report);

    /// Adds a store, or changes whether imports may use it.
    void setStore(StoreHandle store, bool usable);

    /// Records a load report of a store's link.
    void onLinkReport(StoreHandle store, const LinkReport &report);

    /// Adds a dispatch to the load of its runner and links until a report of theirs can contain it.
    /// @returns its handle; an invalid one when the table is full, and the dispatch is then not counted.
    DispatchHandle onDispatch(const Dispatch &dispatch, TimePoint now);

    /// Records the first token of a dispatch and updates the estimated rates of the runner or of the links.
    void onFirstToken(DispatchHandle dispatch, const FirstTokenSample &sample, TimePoint now);

    /// Records that a run has ended or failed. The handle is invalid afterwards.
    /// @param completed True when the whole answer was received.
    void onEnd(DispatchHandle dispatch, bool completed, TimePoint now);

    /// Recomputes the mean waits of the pools. Call it on each tick.
    void tick(TimePoint now);

    /// @returns how long a new request is expected to wait before its import or prefill starts.
    [[nodiscard]] Duration expectedWait(ServerHandle server, TimePoint now) const;

    /// @returns the expected time to recompute @p tokens on an otherwise idle runner.
    [[nodiscard]] Duration expectedPrefill(ServerHandle server, std::uint64_t tokens) const;

    /// @returns how long each piece is expected to wait for the link of @p store; runners fetch one piece at a time.
    [[nodiscard]] Duration expectedLinkWait(StoreHandle store, TimePoint now) const;

    /// @returns the expected rate in bytes per second from @p store to @p server once the transfer has started.
    [[nodiscard]] double transferRate(StoreHandle store, ServerHandle server, TimePoint now) const;

    /// @returns the capacity of the runners of @p model that may take work, by their latest reports.
    [[nodiscard]] PoolCapacity poolCapacity(ModelHandle model) const;

    /// @returns all runners that serve @p model.
    [[nodiscard]] std::span<const ServerHandle> pool(ModelHandle model) const;

    [[nodiscard]] const ServerLoad &server(ServerHandle server) const;
    [[nodiscard]] const LinkLoad &link(StoreHandle store) const;
    [[nodiscard]] std::size_t storeCount() const;

    /// @returns the number of dispatches of this host that have not ended.
    [[nodiscard]] std::size_t dispatchesInFlight() const;

private:
    struct Pending {
        Dispatch dispatch;
        TimePoint at;
        bool inUse = false;
        bool counted = false; ///< Included in ServerLoad::unreportedRequests and unreportedTokens.
        bool linksCounted = false; ///< Included in LinkLoad::unreportedRuns.
    };

    struct Pool {
        std::vector<ServerHandle> servers;
        double meanWaitSeconds = 0;
    };

    [[nodiscard]] double reportedWaitSeconds(const ServerLoad &load) const;
    [[nodiscard]] double prefillRate(const ServerLoad &load) const;
    [[nodiscard]] double linkRate(const LinkLoad &link) const;
    [[nodiscard]] double transferTimeFactor(const LinkLoad &link, TimePoint now) const;
    void subtractUnreported(Pending &pending);
    void subtractUnreportedLinks(Pending &pending);
    void learnPrefill(const Pending &pending, const FirstTokenSample &sample);
    void learnTransfer(const Pending &pending, const FirstTokenSample &sample, TimePoint now);
    void removeFromPool(ServerHandle server);

    std::vector<ServerLoad> servers;
    std::vector<LinkLoad> links;
    std::vector<Pool> pools;
    std::vector<Pending> pendings;
    std::vector<std::uint32_t> freePendings;
    std::vector<std::vector<std::uint32_t>> pendingOfServer;
    std::vector<std::vector<std::uint32_t>> pendingOfLink;
};

} // namespace endivespan
