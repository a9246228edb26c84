#pragma once

#include "cold_gate.h"
#include "engine_run.h"
#include "piece_cache.h"
#include "shared_link.h"
#include "standin.h"

#include <deque>
#include <set>

namespace endivespan::standins {

/// A model engine: continuous batching behind a bounded queue, a prefix cache, and transfers to and from stores.
class EngineStandIn : public StandIn
{
public:
    /// @param model The model it serves.
    /// @param version Weight version loaded at the start.
    EngineStandIn(Loop &loop, const std::string &name, std::string model, const std::string &version);

    /// Sets where new weights come from; without one they load at once.
    void setWeightStore(const std::string &address)
    {
        this->weightStore = address;
    }

    [[nodiscard]] json counts() const override;

protected:
    void handle(const ExchangePtr &exchange) override;
    void dropWork() override;

private:
    using RunPtr = std::shared_ptr<Run>;

    struct Counts {
        std::uint64_t accepted = 0;
        std::uint64_t completed = 0;
        std::uint64_t refused = 0;
        std::uint64_t cancelled = 0;
        std::uint64_t disconnected = 0;
        std::uint64_t expired = 0;
        std::uint64_t fellOver = 0;
        std::uint64_t poisoned = 0;
        std::uint64_t badPieces = 0;
        std::uint64_t badImport = 0;
        std::uint64_t importFailed = 0;
        std::uint64_t importRejected = 0;
        std::uint64_t importedPieces = 0;
        std::uint64_t exportedPieces = 0;
        std::uint64_t oldFence = 0;
        std::uint64_t orders = 0;
        std::uint64_t loadsStarted = 0;
        std::uint64_t loadsFailed = 0;
        std::uint64_t promptTokens = 0;
        std::uint64_t cachedTokens = 0;
        std::uint64_t importedTokens = 0;
        std::uint64_t recomputedTokens = 0;
    };

    void addSettings();

    // Requests: engine_standin.cpp
    void complete(const ExchangePtr &exchange);
    bool refuse(const ExchangePtr &exchange, const CompletionRequest &request);
    [[nodiscard]] bool matchesPrompt(const CompletionRequest &request, const std::vector<PieceKey> &chain);
    void cancel(const ExchangePtr &exchange);
    void answerLoad(const ExchangePtr &exchange);
    void answerEvents(const ExchangePtr &exchange);
    void sampleLoad();
    [[nodiscard]] json loadNow() const;

    // Runs: engine_runs.cpp
    void enqueue(CompletionRequest request, const ExchangePtr &exchange);
    void startRuns();
    void startRun(const RunPtr &run);
    void prefill(const RunPtr &run);
    void startDecoding(const RunPtr &run);
    void pinFor(const RunPtr &run, const PieceKey &piece);
    void step();
    void beat();
    [[nodiscard]] RunPtr find(std::uint64_t number) const;
    void forget(const RunPtr &run);
    void finish(const RunPtr &run);
    void silenceStreams();
    [[nodiscard]] std::size_t count(bool queued) const;
    [[nodiscard]] std::uint64_t queuedPrefillTokens() const;

    // Transfers and orders: engine_transfers.cpp
    void importNext(const RunPtr &run);
    void imported(const RunPtr &run, const ImportItem &item, const HttpAnswer &answer);
    void stopImporting(const RunPtr &run);
    void exportPiece(const ExchangePtr &exchange);
    void takeOrder(const ExchangePtr &exchange);
    void answerOrder(const ExchangePtr &exchange, int status, const json &body);
    bool passesFence(const json &body, const ExchangePtr &exchange);
    void loadVersion(const std::string &version);
    void loaded(const std::string &version);
    void startCall(const HttpCall &call, const std::function<void(const HttpAnswer *)> &done);

    std::string model;
    std::string weightStore;
    std::deque<std::string> versions; ///< Loaded ones, oldest first.
    std::set<std::string> loading;

    std::uint64_t capacity = 8;
    std::uint64_t queueLimit = 16;
    double prefillTokensPerSecond = 20'000;
    Duration decodeTime = std::chrono::milliseconds(20);
    std::uint64_t pieceBytes = 32'000'000;
    Duration loadLag = std::chrono::milliseconds(100);
    Duration eventDelay = std::chrono::milliseconds(100);
    Duration heartbeatPeriod = std::chrono::milliseconds(1000);
    bool checksFences = false;
    bool poisonCrashes = false;
    bool refuseCold = false; ///< While cold, refuses what it would not bear instead of falling over.
    bool stopping = false;
    std::uint64_t loseAnswers = 0; ///< So many next exports and orders take effect without an answer.

    ColdGate gate;
    PieceCache cache;
    SharedLink link;
    Counts counted;
    std::uint64_t highestFence = 0;
    std::uint64_t nextRun = 0;
    std::map<std::uint64_t, RunPtr> runs;
    std::vector<RunPtr> silenced; ///< Done, but their connections stay open.
    TimePoint prefillFreeAt {};
    std::deque<std::pair<TimePoint, json>> loadSamples;
    std::uint64_t nextCall = 0;
    std::map<std::uint64_t, std::unique_ptr<HttpPending>> calls;
    std::unique_ptr<Timer> stepTimer;
    std::unique_ptr<Timer> beatTimer;
    std::unique_ptr<Timer> loadTimer;
};

} // namespace endivespan::standins
