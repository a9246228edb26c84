#include "part_store.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace rig {

namespace {

using namespace std::chrono_literals;

constexpr double TokenBytes = 35136;
constexpr double LinkBytesPerMs = 25'000.0 * 1e6 / 8 / 1000;
constexpr auto FirstTime = 1ms;
constexpr int MostEventCalls = 12;

} // namespace

std::int64_t clockMs()
{
    return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
}

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> list;
    std::stringstream stream(text);
    for (std::string one; std::getline(stream, one, ',');) {
        list.push_back(one);
    }
    return list;
}

PartStore::PartStore(Record &record)
    : record(record)
{
    this->listener = std::make_unique<Listener>([this](Channel &channel) { this->serve(channel); });
}

std::string PartStore::address() const
{
    return this->listener->address();
}

void PartStore::restart(milliseconds time)
{
    this->isDown = true;
    {
        const std::lock_guard lock(this->mutex);
        ++this->epoch;
        this->parts.clear();
        this->events.clear();
        this->record.line("the store of parts goes down and drops all parts");
    }
    this->changed.notify_all();
    std::this_thread::sleep_for(time);
    this->isDown = false;
    this->record.line("the store of parts is back, empty");
}

void PartStore::addEvent(const Event &event)
{
    const auto place = std::upper_bound(
        this->events.begin(), this->events.end(), event, [](const Event &a, const Event &b) { return a.at < b.at; });
    this->events.insert(place, event);
    this->changed.notify_all();
}

void PartStore::save(const std::string &salt, const std::string &id, int tokens, Clock::time_point wholeAt)
{
    const std::lock_guard lock(this->mutex);
    if (this->isDown || this->parts.count({salt, id}) > 0) {
        return;
    }
    this->parts[{salt, id}] = {tokens, wholeAt};
    this->addEvent({true, salt, id, tokens, wholeAt});
}

PartStore::Found PartStore::find(const std::string &salt, const std::string &id)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->parts.find({salt, id});
    if (this->isDown || found == this->parts.end()) {
        return Found::Missing;
    }
    return found->second.wholeAt <= Clock::now() ? Found::Whole : Found::Partial;
}

int PartStore::freed()
{
    const std::lock_guard lock(this->mutex);
    return this->freedParts;
}

void PartStore::serve(Channel &channel)
{
    while (const auto call = channel.receive()) {
        if (this->isDown || !channel.send(this->answer(*call))) {
            channel.reset();
            return;
        }
    }
}

std::string PartStore::answer(const Message &call)
{
    const std::string target = call.target();
    if (target.rfind("/v1/kv-events", 0) == 0) {
        return this->answerEvents(call);
    }
    if (target == "/v1/kv-list") {
        return this->answerList();
    }
    return target == "/v1/kv-free" ? this->answerFree(call) : answerText(404, "");
}

std::size_t PartStore::toldEvents() const
{
    const auto now = Clock::now();
    return static_cast<std::size_t>(
        std::count_if(this->events.begin(), this->events.end(), [now](const Event &one) { return one.at <= now; }));
}

std::string PartStore::answerEvents(const Message &call)
{
    std::unique_lock lock(this->mutex);
    if (this->eventCalls >= MostEventCalls) {
        return answerText(429, "");
    }
    ++this->eventCalls;
    const std::size_t since = std::strtoul(call.query("since").c_str(), nullptr, 10);
    const auto until = Clock::now() + milliseconds(std::strtol(call.field("wait-ms").c_str(), nullptr, 10));
    const int before = this->epoch;
    while (Clock::now() < until && before == this->epoch && since == this->toldEvents()) {
        this->changed.wait_for(lock, 10ms);
    }
    --this->eventCalls;
    const std::size_t told = this->toldEvents();
    nlohmann::json list = nlohmann::json::array();
    for (std::size_t i = since; i < told; ++i) {
        const Event &one = this->events[i];
        list.push_back({i + 1, one.isStored ? "+" : "-", one.salt, one.id, one.tokens, "m1"});
    }
    return answerText(200, this->head(told) + R"(,"lost":false,"events":)" + list.dump() + "}");
}

std::string PartStore::answerList()
{
    const std::lock_guard lock(this->mutex);
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[key, part] : this->parts) {
        if (part.wholeAt <= Clock::now()) {
            list.push_back({key.first, key.second, part.tokens, "m1"});
        }
    }
    return answerText(200, this->head(this->toldEvents()) + R"(,"held":)" + list.dump() + "}");
}

std::string PartStore::answerFree(const Message &call)
{
    const std::lock_guard lock(this->mutex);
    const auto fields = nlohmann::json::parse(call.body, nullptr, false);
    if (!fields.is_object() || fields.value("epoch", this->epoch) != this->epoch) {
        return answerText(409, "{}");
    }
    int count = 0;
    for (const auto &part : fields.at("parts")) {
        const std::pair key(part.at(0).get<std::string>(), part.at(1).get<std::string>());
        if (const auto found = this->parts.find(key); found != this->parts.end()) {
            this->addEvent({false, key.first, key.second, found->second.tokens, Clock::now()});
            this->parts.erase(found);
            ++count;
        }
    }
    this->freedParts += count;
    this->record.line("a host frees " + std::to_string(count) + " parts at " + this->address());
    return answerText(200, "{}");
}

std::string PartStore::head(std::size_t next) const
{
    return R"({"epoch":)" + std::to_string(this->epoch) + R"(,"next":)" + std::to_string(next) + R"(,"clock_ms":)"
        + std::to_string(clockMs());
}

Clock::time_point Link::add(int tokens)
{
    const std::lock_guard lock(this->mutex);
    const milliseconds time(static_cast<int>(tokens * TokenBytes / LinkBytesPerMs));
    this->freeAt = std::max(this->freeAt, Clock::now()) + FirstTime + time;
    return this->freeAt;
}

std::string withPartStores(std::string config, const std::vector<std::string> &addresses)
{
    const std::string services = R"("services":[)";
    std::string listed;
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        listed += R"({"name":"parts-)" + std::to_string(i) + R"(","kv_store_addr":")" + addresses[i]
            + R"(","zone":"z1","kv_capacity_tokens":50000000,"link_mbps":180000.0,"max_inflight":12,"managed":true,)"
            + R"("first_ms":1.0},)";
    }
    return config.insert(config.find(services) + services.size(), listed);
}

std::string streamOf(const Message &request, int weights)
{
    const std::string id = request.field("x-endivespan-request-id");
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n"
           "X-Endivespan-Request-Id: "
        + id + "\r\nX-Endivespan-Server-Seal: seal." + id + "\r\nX-Endivespan-Weight-Versions: "
        + std::to_string(weights) + "\r\n\r\n10\r\nid: 1\ndata: a\n\n\n\r\n0\r\n\r\n";
}

} // namespace rig
