#include "engine_standin.h"

#include <endivespan/config.h>

#include <algorithm>
#include <utility>

namespace endivespan::standins {

namespace {

constexpr std::size_t VersionsHeld = 2;
constexpr std::chrono::seconds TransferTimeout {60};

std::string headerOf(const HttpAnswer &answer, const std::string &name)
{
    const auto found = answer.headers.find(name);
    return found == answer.headers.end() ? std::string() : found->second;
}

// The small body that stands for the bytes of a piece.
std::string pieceBody(const PieceKey &piece)
{
    return "piece " + piece.hex();
}

} // namespace

void EngineStandIn::importNext(const RunPtr &run)
{
    if (run->nextImport >= run->request.imports.size()) {
        this->stopImporting(run);
        return;
    }
    const ImportItem item = run->request.imports[run->nextImport];
    HttpCall call;
    call.address = item.store;
    call.target = "/pieces/" + item.piece.hex() + "?generation=" + std::to_string(item.generation);
    call.silenceTimeout = TransferTimeout;
    HttpCallbacks callbacks;
    // The number instead of the run: a run holds its transfer, and drops it when it ends.
    callbacks.onDone = [this, number = run->number, item](const HttpAnswer &answer) {
        this->imported(this->runs.at(number), item, answer);
    };
    callbacks.onFailure = [this, number = run->number](const HttpFailure &) {
        ++this->counted.importFailed;
        this->stopImporting(this->runs.at(number));
    };
    run->fetch = startHttpCall(this->loop, call, std::move(callbacks));
}

void EngineStandIn::imported(const RunPtr &run, const ImportItem &item, const HttpAnswer &answer)
{
    if (answer.status != 200) {
        ++this->counted.importFailed;
        this->stopImporting(run);
        return;
    }
    const bool intact = headerOf(answer, "x-checksum") == sha256Hex(answer.body)
        && headerOf(answer, "x-generation") == std::to_string(item.generation) && answer.body == pieceBody(item.piece);
    if (!intact) {
        ++this->counted.importRejected;
        this->stopImporting(run);
        return;
    }
    this->later(this->link.book(this->now(), this->pieceBytes), [this, run, item] {
        if (!this->runs.contains(run->number)) {
            return;
        }
        ++this->counted.importedPieces;
        this->cache.store(item.piece, run->request.scope.version, this->now());
        this->pinFor(run, item.piece);
        run->importedTokens += config::PieceTokens;
        ++run->nextImport;
        this->importNext(run);
    });
}

void EngineStandIn::stopImporting(const RunPtr &run)
{
    // The call may be the one that reports right now.
    this->later(Duration::zero(), [this, run] {
        run->fetch.reset();
        if (this->runs.contains(run->number)) {
            this->prefill(run);
        }
    });
}

void EngineStandIn::exportPiece(const ExchangePtr &exchange)
{
    const json body = bodyOf(exchange);
    if (!body.is_object() || !body.contains("piece") || !body.contains("store")) {
        replyJson(exchange, 400, {{"error", "an export needs piece, store and fence"}});
        return;
    }
    if (!this->passesFence(body, exchange)) {
        return;
    }
    const PieceKey piece = PieceKey::fromHex(body["piece"].get<std::string>());
    if (!this->cache.holds(piece)) {
        replyJson(exchange, 404, {{"error", "not_cached"}});
        return;
    }
    HttpCall call;
    call.address = body["store"].get<std::string>();
    call.method = "PUT";
    call.target = "/pieces/" + piece.hex();
    call.body = pieceBody(piece);
    call.headers = {{"X-Checksum", sha256Hex(call.body)}, {"X-Bytes", std::to_string(this->pieceBytes)}};
    call.silenceTimeout = TransferTimeout;
    this->cache.pin(piece);
    this->startCall(call, [this, piece, exchange](const HttpAnswer *answer) {
        this->cache.unpin(piece, this->now());
        if (answer == nullptr) {
            replyJson(exchange, 502, {{"error", "store_unreachable"}});
            return;
        }
        const json stored = json::parse(answer->body, nullptr, false);
        const bool exists = answer->status == 409 && stored.is_object() && stored.contains("generation");
        if (answer->status == 200 || exists) {
            this->counted.exportedPieces += answer->status == 200 ? 1 : 0;
            this->answerOrder(exchange, 200, {{"generation", stored["generation"]}});
        } else {
            replyJson(exchange, answer->status, {{"error", "store_refused"}});
        }
    });
}

void EngineStandIn::takeOrder(const ExchangePtr &exchange)
{
    const json body = bodyOf(exchange);
    if (!body.is_object() || body.value("kind", "") != "load_version" || body.value("version", "").empty()) {
        replyJson(exchange, 400, {{"error", "an order needs kind load_version, version and fence"}});
        return;
    }
    if (!this->passesFence(body, exchange)) {
        return;
    }
    ++this->counted.orders;
    this->loadVersion(body["version"].get<std::string>());
    this->answerOrder(exchange, 202, json::object());
}

void EngineStandIn::answerOrder(const ExchangePtr &exchange, int status, const json &body)
{
    if (this->loseAnswers > 0) {
        --this->loseAnswers;
        this->later(Duration::zero(), [exchange] { exchange->abort(); });
    } else {
        replyJson(exchange, status, body);
    }
}

bool EngineStandIn::passesFence(const json &body, const ExchangePtr &exchange)
{
    const auto fence = body.value("fence", std::uint64_t {0});
    if (fence < this->highestFence) {
        ++this->counted.oldFence;
        if (this->checksFences) {
            replyJson(exchange, 409, {{"error", "old_fence"}});
            return false;
        }
    }
    this->highestFence = std::max(this->highestFence, fence);
    return true;
}

void EngineStandIn::loadVersion(const std::string &version)
{
    const bool held = std::find(this->versions.begin(), this->versions.end(), version) != this->versions.end();
    if (held || !this->loading.insert(version).second) {
        return;
    }
    ++this->counted.loadsStarted;
    if (this->weightStore.empty()) {
        this->loaded(version);
        return;
    }
    HttpCall call;
    call.address = this->weightStore;
    call.target = "/weights/" + this->model + "/" + version;
    call.silenceTimeout = TransferTimeout;
    this->startCall(call, [this, version](const HttpAnswer *answer) {
        if (answer != nullptr && answer->status == 200) {
            this->loaded(version);
        } else {
            ++this->counted.loadsFailed;
            this->loading.erase(version);
        }
    });
}

void EngineStandIn::loaded(const std::string &version)
{
    this->loading.erase(version);
    this->versions.push_back(version);
    while (this->versions.size() > VersionsHeld) {
        this->cache.evictVersion(this->versions.front(), this->now());
        this->versions.pop_front();
    }
}

void EngineStandIn::startCall(const HttpCall &call, const std::function<void(const HttpAnswer *)> &done)
{
    const std::uint64_t id = this->nextCall++;
    HttpCallbacks callbacks;
    callbacks.onDone = [this, id, done](const HttpAnswer &answer) {
        const auto finished = this->calls.extract(id);
        done(&answer);
    };
    callbacks.onFailure = [this, id, done](const HttpFailure &) {
        const auto finished = this->calls.extract(id);
        done(nullptr);
    };
    this->calls[id] = startHttpCall(this->loop, call, std::move(callbacks));
}

} // namespace endivespan::standins
