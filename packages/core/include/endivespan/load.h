#pragma once

#include <endivespan/clock.h>
#include <endivespan/config.h>
#include <endivespan/handle.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// What this host believes of the load of runners and store links: lagging reports, corrected.
namespace endivespan {

/// One load report of a runner.
struct LoadReport {
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 0;
    std::uint32_t queuedPrefillTokens = 0;
    double prefillTokensPerSecond = 0;
    double importBytesPerSecond = 0;
    TimePoint observedAt; ///< When the runner looked, as well as can be told; earlier than the arrival.
};

/// One load report of a store.
struct LinkReport {
    std::uint64_t queuedBytes = 0;
    double bytesPerSecond = 0;
    TimePoint observedAt;
};

/// A dispatch under way, as named by the load table.
using DispatchHandle = Handle<struct DispatchTag>;

/// Bytes that one run imports from one store.
struct LinkUse {
    StoreHandle store;
    std::uint64_t bytes = 0;
};

/// Stores that one run imports from.
constexpr std::size_t MaxLinksPerRun = 4;

/// One dispatch that this host makes.
struct Dispatch {
    ServerHandle server;
    std::uint32_t prefillTokens = 0;
    std::array<LinkUse, MaxLinksPerRun> links {}; ///< Unused ones have no store.
    Duration expectedWait {}; ///< As expected when it was placed.
    Duration expectedTransfer {};
};

/// What the engine said of a run, with the time that this host measured.
struct FirstTokenSample {
    Duration timeToFirstToken {};
    Duration queueTime {}; ///< As reported by the engine; zero when unknown.
    std::uint32_t recomputedTokens = 0;
    std::uint64_t importedBytes = 0;
};

/// State of one runner as the router reads it.
struct ServerLoad {
    static constexpr std::size_t MaxVersions = 4;

    ModelHandle model;
    std::array<VersionHandle, MaxVersions> versions;
    std::uint8_t versionCount = 0;
    bool mayTakeWork = false; ///< In service, not leaving, not under suspicion.
    bool creditAvailable = false; ///< Warm, or cold with a credit left.
    bool reported = false; ///< A load report has come since it was added or restarted.
    LoadReport report;
    std::uint32_t unreportedRequests = 0; ///< Own dispatches that the report cannot contain yet.
    std::uint32_t unreportedTokens = 0;
    double prefillFactor = 1.0; ///< Smoothed ratio of measured to expected prefill time.
    double runSeconds = 0; ///< Smoothed time that one run keeps its place.

    /// @returns true when the runner answers with @p version.
    [[nodiscard]] bool serves(VersionHandle version) const;
};

/// State of the link of one store.
struct LinkLoad {
    LinkReport report;
    bool usable = false;
    bool reported = false;
    std::uint32_t unreportedRuns = 0; ///< Own runs that import and that the report cannot contain yet.
    double rateFactor = 1.0; ///< Smoothed ratio of measured to expected transfer time.
    TimePoint learnedAt; ///< Of the last sample in rateFactor.
};

/// What the runners of one model offer together.
struct PoolCapacity {
    double runners = 0; ///< Those that may take work.
    double places = 0; ///< Sum of capacities of the runners that may take work.
    double freePlaces = 0;
    double prefillTokensPerSecond = 0;
    double freePrefillTokens = 0; ///< What fits into config::AdmissionPrefillWindow beside the work reported.
};

/// Sizes of the pools, fixed for the life of a table.
struct LoadLimits {
    std::size_t servers = 1024;
    std::size_t stores = 64;
    std::size_t models = 64;
    std::size_t dispatches = 8192;
};

/// Holds the load of every runner and link, and learns rates from completed dispatches.
class LoadTable
{
public:
    explicit LoadTable(const LoadLimits &limits = {});

    /// Adds a runner or changes what it serves.
    void setServer(ServerHandle server, ModelHandle model, std::span<const VersionHandle> versions);

    /// Removes a runner; dispatches to it may still end.
    void removeServer(ServerHandle server);

    /// @param mayTakeWork False for a runner that is leaving, taken out or suspected.
    /// @param creditAvailable False while a cold runner has no credit left.
    void setService(ServerHandle server, bool mayTakeWork, bool creditAvailable);

    /// Takes a report. A new incarnation forgets what was learned of the runner.
    void onReport(ServerHandle server, const LoadReport &report);

    /// Adds a store or changes whether imports may use it.
    void setStore(StoreHandle store, bool usable);

    /// Takes a report of a store.
    void onLinkReport(StoreHandle store, const LinkReport &report);

    /// Counts a dispatch until a report can contain it.
    /// @returns its name, invalid when the pool is full; the dispatch then goes uncounted.
    DispatchHandle onDispatch(const Dispatch &dispatch, TimePoint now);

    /// The first token came: learns the rates of the runner and of the link.
    void onFirstToken(DispatchHandle dispatch, const FirstTokenSample &sample, TimePoint now);

    /// The run ended or failed; the name is free afterwards.
    /// @param completed True when the whole answer came.
    void onEnd(DispatchHandle dispatch, bool completed, TimePoint now);

    /// Brings the means of the pools up to date; call each tick.
    void tick(TimePoint now);

    /// @returns the expected wait of a new request before its import or prefill starts.
    [[nodiscard]] Duration expectedWait(ServerHandle server, TimePoint now) const;

    /// @returns expected time to recompute @p tokens on an otherwise idle runner.
    [[nodiscard]] Duration expectedPrefill(ServerHandle server, std::uint64_t tokens) const;

    /// @returns expected time that each piece waits for the link of @p store; runners fetch one piece at a time.
    [[nodiscard]] Duration expectedLinkWait(StoreHandle store, TimePoint now) const;

    /// @returns expected rate in bytes a second from @p store to @p server once the transfer has started.
    [[nodiscard]] double transferRate(StoreHandle store, ServerHandle server, TimePoint now) const;

    /// @returns what the runners of @p model that may take work offer, by their reports.
    [[nodiscard]] PoolCapacity poolCapacity(ModelHandle model) const;

    /// @returns the runners that serve @p model.
    [[nodiscard]] std::span<const ServerHandle> pool(ModelHandle model) const;

    [[nodiscard]] const ServerLoad &server(ServerHandle server) const;
    [[nodiscard]] const LinkLoad &link(StoreHandle store) const;
    [[nodiscard]] std::size_t storeCount() const;

    /// @returns own dispatches that have not ended.
    [[nodiscard]] std::size_t dispatchesInFlight() const;

private:
    struct Pending {
        Dispatch dispatch;
        TimePoint at;
        bool inUse = false;
        bool counted = false; ///< Still part of the unreported sums.
        bool linksCounted = false;
    };

    struct Pool {
        std::vector<ServerHandle> servers;
        double meanWaitSeconds = 0;
    };

    [[nodiscard]] double reportedWaitSeconds(const ServerLoad &load) const;
    [[nodiscard]] double prefillRate(const ServerLoad &load) const;
    [[nodiscard]] double linkRate(const LinkLoad &link) const;
    [[nodiscard]] double factorOf(const LinkLoad &link, TimePoint now) const;
    void uncount(Pending &pending);
    void uncountLinks(Pending &pending);
    void learnPrefill(const Pending &pending, const FirstTokenSample &sample);
    void learnTransfer(const Pending &pending, const FirstTokenSample &sample, TimePoint now);
    void leavePool(ServerHandle server);

    std::vector<ServerLoad> servers;
    std::vector<LinkLoad> links;
    std::vector<Pool> pools;
    std::vector<Pending> pendings;
    std::vector<std::uint32_t> freePendings;
    std::vector<std::vector<std::uint32_t>> pendingOfServer;
    std::vector<std::vector<std::uint32_t>> pendingOfLink;
};

} // namespace endivespan
