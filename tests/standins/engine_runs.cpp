#include "engine_standin.h"

#include <endivespan/config.h>
#include <endivespan/log.h>

#include <algorithm>
#include <utility>

namespace endivespan::standins {

namespace {

constexpr std::chrono::milliseconds ShortestStep {1};

} // namespace

void EngineStandIn::enqueue(CompletionRequest request, const ExchangePtr &exchange)
{
    if (!this->gate.bears(this->runs.size() + 1)) {
        ++this->counted.fellOver;
        logLine("standin", "{} falls over at {} requests", this->name(), this->runs.size() + 1);
        this->crash();
        return;
    }
    const auto run = std::make_shared<Run>(this->nextRun++, std::move(request), exchange, this->now());
    this->runs[run->number] = run;
    ++this->counted.accepted;
    exchange->startStream(200, {{"Content-Type", "text/event-stream"}});
    // The number instead of the run: a run holds its exchange.
    exchange->onClosed([this, number = run->number](CallerLoss) {
        if (const RunPtr gone = this->find(number); gone != nullptr) {
            this->forget(gone);
            ++this->counted.disconnected;
            this->startRuns();
        }
    });
    this->startRuns();
}

void EngineStandIn::startRuns()
{
    while (this->count(false) < this->capacity) {
        RunPtr first;
        for (const auto &[number, run] : this->runs) {
            const bool earlier = first == nullptr || run->request.priority < first->request.priority;
            if (run->phase == RunPhase::Queued && earlier) {
                first = run;
            }
        }
        if (first == nullptr) {
            return;
        }
        this->startRun(first);
    }
}

void EngineStandIn::startRun(const RunPtr &run)
{
    run->started = this->now();
    run->phase = RunPhase::Importing;
    const std::size_t held = this->cache.prefixHeld(run->chain);
    for (std::size_t i = 0; i < held; ++i) {
        this->pinFor(run, run->chain[i]);
    }
    run->cachedTokens = held * config::PieceTokens;
    run->nextImport = held;
    this->importNext(run);
}

void EngineStandIn::prefill(const RunPtr &run)
{
    run->phase = RunPhase::Prefilling;
    run->recomputedTokens = run->promptTokens - run->cachedTokens - run->importedTokens;
    this->counted.promptTokens += run->promptTokens;
    this->counted.cachedTokens += run->cachedTokens;
    this->counted.importedTokens += run->importedTokens;
    this->counted.recomputedTokens += run->recomputedTokens;
    const double tokens = static_cast<double>(run->recomputedTokens + run->request.resumeFrom);
    const std::chrono::duration<double> taken(tokens / this->prefillTokensPerSecond);
    const TimePoint time = this->now();
    this->prefillFreeAt = std::max(this->prefillFreeAt, time) + std::chrono::duration_cast<Duration>(taken);
    this->later(this->prefillFreeAt - time, [this, run] {
        if (this->runs.contains(run->number)) {
            this->startDecoding(run);
        }
    });
}

void EngineStandIn::startDecoding(const RunPtr &run)
{
    if (this->poisonCrashes && run->poison) {
        ++this->counted.poisoned;
        logLine("standin", "{} crashes on a poison request", this->name());
        this->crash();
        return;
    }
    const std::size_t known = (run->cachedTokens + run->importedTokens) / config::PieceTokens;
    for (std::size_t i = known; i < run->chain.size(); ++i) {
        this->cache.store(run->chain[i], run->request.scope.version, this->now());
        this->pinFor(run, run->chain[i]);
    }
    run->phase = RunPhase::Decoding;
    run->decodeFrom = this->now();
    if (this->stepTimer == nullptr) {
        const Duration period = std::max<Duration>(this->decodeTime, ShortestStep);
        this->stepTimer = this->loop.every(period, [this] { this->step(); });
    }
    this->step();
}

void EngineStandIn::pinFor(const RunPtr &run, const PieceKey &piece)
{
    this->cache.pin(piece);
    run->pinned.push_back(piece);
}

void EngineStandIn::step()
{
    if (this->isFrozen()) {
        return;
    }
    const TimePoint time = this->now();
    std::vector<RunPtr> done;
    bool decoding = false;
    for (const auto &[number, run] : this->runs) {
        if (run->phase != RunPhase::Decoding) {
            continue;
        }
        // Prefill gives the first token; late steps catch up.
        const std::uint64_t steps = (time - run->decodeFrom) / std::max(this->decodeTime, Duration(1));
        const std::uint64_t due = run->request.resumeFrom + 1 + steps;
        run->sendTokens(std::min(due, run->request.maxTokens), time);
        decoding = true;
        if (run->nextToken >= run->request.maxTokens) {
            done.push_back(run);
        }
    }
    for (const RunPtr &run : done) {
        this->finish(run);
    }
    if (!decoding) {
        this->stepTimer.reset();
    }
}

void EngineStandIn::beat()
{
    if (this->isFrozen()) {
        return;
    }
    const TimePoint time = this->now();
    std::vector<RunPtr> expired;
    for (const auto &[number, run] : this->runs) {
        if (time >= run->expires) {
            expired.push_back(run);
        } else if (time - run->lastSent >= this->heartbeatPeriod) {
            run->sendHeartbeat(time);
        }
    }
    for (const RunPtr &run : expired) {
        this->forget(run);
        ++this->counted.expired;
        run->fail("deadline");
    }
    this->startRuns();
}

EngineStandIn::RunPtr EngineStandIn::find(std::uint64_t number) const
{
    const auto found = this->runs.find(number);
    return found == this->runs.end() ? nullptr : found->second;
}

void EngineStandIn::forget(const RunPtr &run)
{
    this->runs.erase(run->number);
    run->fetch.reset();
    run->exchange->onClosed(nullptr);
    for (const PieceKey &piece : run->pinned) {
        this->cache.unpin(piece, this->now());
    }
}

void EngineStandIn::finish(const RunPtr &run)
{
    this->forget(run);
    run->finish(this->now(), this->incarnation());
    if (run->silent) {
        this->silenced.push_back(run);
    }
    ++this->counted.completed;
    this->gate.completed();
    this->startRuns();
}

void EngineStandIn::silenceStreams()
{
    for (const auto &[number, run] : this->runs) {
        run->silent = true;
    }
}

void EngineStandIn::dropWork()
{
    for (const auto &[number, run] : this->runs) {
        run->fetch.reset();
        run->exchange->onClosed(nullptr);
    }
    this->runs.clear();
    this->silenced.clear();
    this->calls.clear();
    this->loading.clear();
    this->loadSamples.clear();
    this->stepTimer.reset();
    this->prefillFreeAt = {};
    this->cache.clear();
    this->gate.chill();
}

std::size_t EngineStandIn::count(bool queued) const
{
    return static_cast<std::size_t>(std::count_if(this->runs.begin(), this->runs.end(), [queued](const auto &entry) {
        return (entry.second->phase == RunPhase::Queued) == queued;
    }));
}

std::uint64_t EngineStandIn::queuedPrefillTokens() const
{
    const TimePoint time = this->now();
    const std::chrono::duration<double> busy(std::max(this->prefillFreeAt, time) - time);
    auto tokens = static_cast<std::uint64_t>(busy.count() * this->prefillTokensPerSecond);
    for (const auto &[number, run] : this->runs) {
        if (run->phase == RunPhase::Queued) {
            tokens += run->promptTokens;
        }
    }
    return tokens;
}

} // namespace endivespan::standins
