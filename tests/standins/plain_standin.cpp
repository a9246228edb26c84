#include "plain_standin.h"

#include <endivespan/prefix.h>

namespace endivespan::standins {

namespace {

std::string headerOf(const HttpRequest &request, const std::string &name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

bool takeOne(std::uint64_t &left)
{
    if (left == 0) {
        return false;
    }
    --left;
    return true;
}

} // namespace

PlainStandIn::PlainStandIn(Loop &loop, const std::string &name, std::string service, std::shared_ptr<RunLedger> ledger)
    : StandIn(loop, "plain", name)
    , service(std::move(service))
    , ledger(std::move(ledger))
{
    this->setting("run_ms", this->runTime);
    this->setting("crash_before", this->crashBefore);
    this->setting("crash_after", this->crashAfter);
    this->setting("silent_next", this->silentNext);
    this->setting("refuse_next", this->refuseNext);
    this->setting("cold_concurrency", this->gate.coldConcurrency);
    this->setting("warm_concurrency", this->gate.warmConcurrency);
    this->action("cold", [this](const json &value) { value.get<bool>() ? this->gate.chill() : this->gate.heat(); });
}

json PlainStandIn::counts() const
{
    json repeated = json::array();
    for (const auto &[key, times] : this->ledger->byKey) {
        if (times > 1) {
            repeated.push_back({{"organisation", key.first}, {"key", key.second}, {"runs", times}});
        }
    }
    return {{"runs", this->ledger->runs},
            {"keys", this->ledger->byKey.size()},
            {"runs_without_key", this->ledger->withoutKey},
            {"repeated", repeated},
            {"refused", this->refused},
            {"fell_over", this->fellOver}};
}

void PlainStandIn::dropWork()
{
    this->running = 0;
    this->gate.chill();
}

void PlainStandIn::handle(const ExchangePtr &exchange)
{
    const HttpRequest &request = exchange->request();
    if (request.method == "GET" && request.path == "/load") {
        replyJson(exchange,
                  200,
                  {{"incarnation", this->incarnation()},
                   {"running", this->running},
                   {"queued", 0},
                   {"capacity", this->gate.warmConcurrency}});
    } else if (takeOne(this->crashBefore)) {
        this->crash();
    } else if (takeOne(this->refuseNext) || (this->gate.isWarm() && this->running >= this->gate.warmConcurrency)) {
        ++this->refused;
        replyJson(exchange, 503, {{"error", "queue_full"}, {"ran", false}});
    } else if (!this->gate.bears(this->running + 1)) {
        ++this->fellOver;
        this->crash();
    } else {
        ++this->running;
        this->later(this->runTime, [this, exchange] { this->run(exchange); });
    }
}

void PlainStandIn::run(const ExchangePtr &exchange)
{
    const HttpRequest &request = exchange->request();
    const std::uint64_t times = this->countRun(request);
    --this->running;
    this->gate.completed();
    if (takeOne(this->crashAfter)) {
        this->crash();
    } else if (!takeOne(this->silentNext)) {
        replyJson(exchange,
                  200,
                  {{"service", this->service},
                   {"server", this->name()},
                   {"method", request.method},
                   {"path", request.path},
                   {"organisation", headerOf(request, "x-organisation")},
                   {"key", headerOf(request, "idempotency-key")},
                   {"body_sha256", sha256Hex(request.body)},
                   {"run", times}});
    }
}

std::uint64_t PlainStandIn::countRun(const HttpRequest &request)
{
    ++this->ledger->runs;
    const std::string key = headerOf(request, "idempotency-key");
    if (key.empty()) {
        ++this->ledger->withoutKey;
        return 1;
    }
    return ++this->ledger->byKey[{headerOf(request, "x-organisation"), key}];
}

} // namespace endivespan::standins
