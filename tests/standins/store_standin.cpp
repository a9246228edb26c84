#include "store_standin.h"

#include <endivespan/prefix.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace endivespan::standins {

namespace {

constexpr std::string_view PiecesPrefix = "/pieces/";
constexpr std::uint64_t DefaultPieceBytes = 32'000'000;
constexpr std::uint64_t MaxListed = 10'000;

std::uint64_t
numberIn(const std::map<std::string, std::string> &fields, const std::string &name, std::uint64_t otherwise)
{
    const auto found = fields.find(name);
    return found == fields.end() ? otherwise : std::strtoull(found->second.c_str(), nullptr, 10);
}

} // namespace

StoreStandIn::StoreStandIn(Loop &loop, const std::string &name)
    : StandIn(loop, "store", name)
{
    this->setting("capacity_bytes", this->capacityBytes);
    this->setting("link_bytes_per_s", this->link.bytesPerSecond);
    this->setting("list_lag_ms", this->listLag);
    this->setting("keep_percent", this->keepPercent);
    this->setting("corrupt_reads", this->corruptReads);
    this->action("cut_link", [this](const json &) { this->cutTransfers(); });
}

json StoreStandIn::counts() const
{
    const auto sealed = std::count_if(
        this->pieces.begin(), this->pieces.end(), [](const auto &entry) { return entry.second.sealed; });
    return {{"pieces", sealed},
            {"puts", this->puts},
            {"gets", this->gets},
            {"deletes", this->deletes},
            {"full", this->full},
            {"half_written", this->halfWritten},
            {"unsealed_reads", this->unsealedReads},
            {"missing_reads", this->missingReads},
            {"freed_while_read", this->freedWhileRead},
            {"link_bytes", this->link.totalBytes()}};
}

void StoreStandIn::dropWork()
{
    this->transfers.clear();
    std::vector<std::string> lost;
    std::uint64_t position = 0;
    for (const auto &[name, piece] : this->pieces) {
        if (!piece.sealed || position++ % 100 >= this->keepPercent) {
            lost.push_back(name);
        }
    }
    for (const std::string &name : lost) {
        this->freePiece(name);
    }
}

void StoreStandIn::handle(const ExchangePtr &exchange)
{
    const HttpRequest &request = exchange->request();
    if (request.path.starts_with(PiecesPrefix)) {
        this->handlePiece(exchange, request.path.substr(PiecesPrefix.size()));
    } else if (request.path == "/pieces" && request.method == "GET") {
        this->list(exchange);
    } else if (request.path == "/pin" && request.method == "POST") {
        this->pin(exchange);
    } else if (request.path == "/load" && request.method == "GET") {
        replyJson(exchange,
                  200,
                  {{"incarnation", this->incarnation()},
                   {"capacity_bytes", this->capacityBytes},
                   {"used_bytes", this->usedBytes},
                   {"link_bytes_per_s", this->link.bytesPerSecond},
                   {"link_queued_bytes", this->link.queuedBytes(this->now())}});
    } else {
        replyJson(exchange, 404, {{"error", "no such path"}});
    }
}

void StoreStandIn::handlePiece(const ExchangePtr &exchange, const std::string &name)
{
    const HttpRequest &request = exchange->request();
    const std::uint64_t generation = numberIn(request.query, "generation", 0);
    if (request.method == "PUT") {
        this->put(exchange, name);
    } else if (request.method == "GET") {
        this->get(exchange, name, generation);
    } else if (request.method == "DELETE") {
        this->remove(exchange, name, generation);
    } else {
        replyJson(exchange, 405, {{"error", "no such method"}});
    }
}

void StoreStandIn::put(const ExchangePtr &exchange, const std::string &name)
{
    const HttpRequest &request = exchange->request();
    if (const auto found = this->pieces.find(name); found != this->pieces.end()) {
        if (found->second.sealed) {
            replyJson(exchange, 409, {{"error", "exists"}, {"generation", found->second.generation}});
            return;
        }
        this->freePiece(name);
    }
    const std::uint64_t bytes = numberIn(request.headers, "x-bytes", DefaultPieceBytes);
    if (this->usedBytes + bytes > this->capacityBytes) {
        ++this->full;
        replyJson(exchange, 507, {{"error", "full"}});
        return;
    }
    const auto checksum = request.headers.find("x-checksum");
    if (checksum == request.headers.end() || checksum->second != sha256Hex(request.body)) {
        replyJson(exchange, 400, {{"error", "checksum"}});
        return;
    }
    this->usedBytes += bytes;
    const std::uint64_t generation = ++this->lastGeneration;
    this->pieces[name] = {generation, bytes, request.body, checksum->second, false, {}, {}};
    const std::uint64_t transfer = this->nextTransfer++;
    this->transfers[transfer] = exchange;
    this->later(this->link.book(this->now(), bytes), [this, transfer, name, generation] {
        if (const auto ready = this->transfers.extract(transfer); !ready.empty()) {
            this->seal(ready.mapped(), name, generation);
        }
    });
}

void StoreStandIn::seal(const ExchangePtr &exchange, const std::string &name, std::uint64_t generation)
{
    const auto found = this->pieces.find(name);
    if (!exchange->isOpen() || found == this->pieces.end() || found->second.generation != generation) {
        // The engine went in the middle: the piece stays half written.
        ++this->halfWritten;
        return;
    }
    found->second.sealed = true;
    found->second.sealedAt = this->now();
    ++this->puts;
    replyJson(exchange, 200, {{"generation", generation}});
}

StoreStandIn::Piece *StoreStandIn::sealedPiece(const std::string &name, std::uint64_t generation)
{
    const auto found = this->pieces.find(name);
    const bool matches = found != this->pieces.end() && found->second.sealed && found->second.generation == generation;
    return matches ? &found->second : nullptr;
}

void StoreStandIn::get(const ExchangePtr &exchange, const std::string &name, std::uint64_t generation)
{
    const Piece *piece = this->sealedPiece(name, generation);
    if (piece == nullptr) {
        const auto found = this->pieces.find(name);
        const bool unsealed = found != this->pieces.end() && !found->second.sealed;
        this->unsealedReads += unsealed ? 1 : 0;
        this->missingReads += unsealed ? 0 : 1;
        replyJson(exchange, 404, {{"error", "no such piece"}});
        return;
    }
    ++this->gets;
    const std::uint64_t transfer = this->nextTransfer++;
    this->transfers[transfer] = exchange;
    this->later(this->link.book(this->now(), piece->bytes), [this, transfer, name, generation] {
        if (const auto ready = this->transfers.extract(transfer); !ready.empty()) {
            this->sendPiece(ready.mapped(), name, generation);
        }
    });
}

void StoreStandIn::sendPiece(const ExchangePtr &exchange, const std::string &name, std::uint64_t generation)
{
    const Piece *piece = this->sealedPiece(name, generation);
    if (piece == nullptr) {
        ++this->freedWhileRead;
        exchange->abort();
        return;
    }
    std::string body = piece->body;
    if (this->corruptReads > 0) {
        --this->corruptReads;
        body += "?";
    }
    exchange->reply(200, {{"X-Checksum", piece->checksum}, {"X-Generation", std::to_string(generation)}}, body);
}

void StoreStandIn::remove(const ExchangePtr &exchange, const std::string &name, std::uint64_t generation)
{
    const auto found = this->pieces.find(name);
    if (found == this->pieces.end() || found->second.generation != generation) {
        replyJson(exchange, 200, {{"deleted", false}});
        return;
    }
    if (found->second.pinnedUntil > this->now()) {
        replyJson(exchange, 423, {{"error", "pinned"}});
        return;
    }
    ++this->deletes;
    this->freePiece(name);
    replyJson(exchange, 200, {{"deleted", true}});
}

void StoreStandIn::pin(const ExchangePtr &exchange)
{
    const json body = bodyOf(exchange);
    if (!body.is_object()) {
        replyJson(exchange, 400, {{"error", "a pin needs piece, generation and ms"}});
        return;
    }
    Piece *piece = this->sealedPiece(body.value("piece", ""), body.value("generation", std::uint64_t {0}));
    if (piece == nullptr) {
        replyJson(exchange, 404, {{"error", "no such piece"}});
        return;
    }
    const std::chrono::milliseconds wanted(body.value("ms", std::int64_t {0}));
    piece->pinnedUntil = std::max(piece->pinnedUntil, this->now() + wanted);
    replyJson(exchange, 200, json::object());
}

void StoreStandIn::list(const ExchangePtr &exchange)
{
    const auto &query = exchange->request().query;
    const std::uint64_t max = std::min(numberIn(query, "max", MaxListed), MaxListed);
    const auto after = query.find("after");
    auto next = after == query.end() ? this->pieces.begin() : this->pieces.upper_bound(after->second);
    json listed = json::array();
    for (; next != this->pieces.end() && listed.size() < max; ++next) {
        const auto &[name, piece] = *next;
        if (piece.sealed && piece.sealedAt + this->listLag <= this->now()) {
            listed.push_back({{"piece", name}, {"generation", piece.generation}, {"bytes", piece.bytes}});
        }
    }
    replyJson(exchange, 200, {{"incarnation", this->incarnation()}, {"pieces", listed}});
}

void StoreStandIn::cutTransfers()
{
    this->halfWritten += static_cast<std::uint64_t>(std::count_if(
        this->pieces.begin(), this->pieces.end(), [](const auto &entry) { return !entry.second.sealed; }));
    for (const auto &[transfer, exchange] : std::exchange(this->transfers, {})) {
        exchange->abort();
    }
}

void StoreStandIn::freePiece(const std::string &name)
{
    const auto found = this->pieces.find(name);
    this->usedBytes -= found->second.bytes;
    this->pieces.erase(found);
}

} // namespace endivespan::standins
