#include "log_standin.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace endivespan::standins {

namespace {

constexpr std::size_t MaxReadRecords = 4096;
constexpr std::uint64_t MaxReadWaitMs = 30'000;

std::int64_t wallMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

std::uint64_t numberIn(const HttpRequest &request, const std::string &name, std::uint64_t otherwise)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? otherwise : std::strtoull(found->second.c_str(), nullptr, 10);
}

// Splits "/streams/NAME/verb"; a stream name has no slash.
std::optional<std::pair<std::string, std::string>> splitPath(const std::string &path)
{
    constexpr std::string_view Prefix = "/streams/";
    const auto verb = path.rfind('/');
    if (!path.starts_with(Prefix) || verb <= Prefix.size()) {
        return std::nullopt;
    }
    return std::pair(path.substr(Prefix.size(), verb - Prefix.size()), path.substr(verb + 1));
}

} // namespace

LogStandIn::LogStandIn(Loop &loop, const std::string &name)
    : StandIn(loop, "log", name)
{
    this->setting("retain_records", this->retainRecords);
    this->setting("retain_ms", this->retainFor);
    this->setting("appends_per_s", this->appendsPerSecond);
    this->setting("lose_answers", this->loseAnswers);
    this->action("outage", [this](const json &value) {
        this->outage = value.get<std::string>();
        if (this->outage != "none") {
            for (const auto &[id, reader] : this->readers) {
                reader.exchange->abort();
            }
            this->readers.clear();
        }
    });
}

json LogStandIn::counts() const
{
    json ends = json::object();
    for (const auto &[name, stream] : this->streams) {
        ends[name] = {{"oldest", stream.oldest}, {"end", stream.end()}};
    }
    return {{"appends", this->appends},
            {"records", this->appendedRecords},
            {"reads", this->reads},
            {"refused_by_rate", this->refusedByRate},
            {"refused_in_outage", this->refusedInOutage},
            {"lost_answers", this->lostAnswers},
            {"streams", ends}};
}

void LogStandIn::handle(const ExchangePtr &exchange)
{
    const auto place = splitPath(exchange->request().path);
    if (!place) {
        replyJson(exchange, 404, {{"error", "no such path"}});
    } else if (!this->refuseInOutage(exchange)) {
        const auto &[stream, verb] = *place;
        if (verb == "append" && exchange->request().method == "POST") {
            this->append(stream, exchange);
        } else if (verb == "read" && exchange->request().method == "GET") {
            this->read(stream, exchange);
        } else {
            replyJson(exchange, 404, {{"error", "no such path"}});
        }
    }
}

void LogStandIn::dropWork()
{
    this->readers.clear();
}

bool LogStandIn::refuseInOutage(const ExchangePtr &exchange)
{
    if (this->outage == "none") {
        return false;
    }
    ++this->refusedInOutage;
    if (this->outage == "refuse") {
        replyJson(exchange, 503, {{"error", "outage"}});
    } else if (this->outage == "close") {
        this->later(Duration::zero(), [exchange] { exchange->abort(); });
    }
    // Any other outage, such as "silent", never answers.
    return true;
}

bool LogStandIn::takeRate()
{
    const TimePoint time = this->now();
    const double elapsed = std::chrono::duration<double>(time - this->rateRefilled).count();
    this->rateRefilled = time;
    this->rateTokens = std::min(this->appendsPerSecond, this->rateTokens + elapsed * this->appendsPerSecond);
    if (this->rateTokens < 1) {
        return false;
    }
    this->rateTokens -= 1;
    return true;
}

void LogStandIn::append(const std::string &stream, const ExchangePtr &exchange)
{
    const json body = bodyOf(exchange);
    const bool valid = body.is_object() && body.contains("records") && body["records"].is_array()
        && std::all_of(body["records"].begin(), body["records"].end(), [](const json &item) {
                           return item.is_string();
                       });
    if (!valid) {
        replyJson(exchange, 400, {{"error", "an append needs records as a list of base64 texts"}});
        return;
    }
    if (!this->takeRate()) {
        ++this->refusedByRate;
        replyJson(exchange, 429, {{"error", "rate"}});
        return;
    }
    Stream &target = this->streams[stream];
    const std::uint64_t first = target.end();
    target.lastMs = std::max(target.lastMs, wallMs());
    for (const json &record : body["records"]) {
        target.records.push_back({target.lastMs, record.get<std::string>()});
    }
    ++this->appends;
    this->appendedRecords += body["records"].size();
    if (this->loseAnswers > 0) {
        --this->loseAnswers;
        ++this->lostAnswers;
        this->later(Duration::zero(), [exchange] { exchange->abort(); });
    } else {
        replyJson(exchange, 200, {{"first", first}, {"at_ms", target.lastMs}});
    }
    this->wakeReaders(stream);
    this->trim(target);
}

void LogStandIn::read(const std::string &stream, const ExchangePtr &exchange)
{
    ++this->reads;
    const HttpRequest &request = exchange->request();
    const std::size_t max = std::clamp<std::size_t>(numberIn(request, "max", MaxReadRecords), 1, MaxReadRecords);
    const Reader reader {stream, numberIn(request, "from", 0), max, exchange};
    const std::uint64_t wait = std::min(numberIn(request, "wait_ms", 0), MaxReadWaitMs);
    Stream &source = this->streams[stream];
    this->trim(source);
    if (wait == 0 || reader.from < source.end()) {
        this->answerRead(reader);
        return;
    }
    const std::uint64_t id = this->nextReader++;
    this->readers[id] = reader;
    exchange->onClosed([this, id](CallerLoss) { this->readers.erase(id); });
    this->later(std::chrono::milliseconds(wait), [this, id] {
        if (const auto waiting = this->readers.extract(id); !waiting.empty()) {
            this->answerRead(waiting.mapped());
        }
    });
}

void LogStandIn::answerRead(const Reader &reader)
{
    const Stream &source = this->streams[reader.stream];
    if (reader.from < source.oldest) {
        replyJson(reader.exchange, 410, {{"error", "trimmed"}, {"oldest", source.oldest}});
        return;
    }
    json records = json::array();
    std::uint64_t next = reader.from;
    for (; next < source.end() && records.size() < reader.max; ++next) {
        const Record &record = source.records[next - source.oldest];
        records.push_back({{"offset", next}, {"at_ms", record.atMs}, {"data", record.data}});
    }
    replyJson(
        reader.exchange, 200, {{"records", records}, {"next", next}, {"end", source.end()}, {"oldest", source.oldest}});
}

void LogStandIn::wakeReaders(const std::string &stream)
{
    std::vector<Reader> ready;
    for (auto next = this->readers.begin(); next != this->readers.end();) {
        if (next->second.stream == stream && next->second.from < this->streams[stream].end()) {
            ready.push_back(next->second);
            next = this->readers.erase(next);
        } else {
            ++next;
        }
    }
    for (const Reader &reader : ready) {
        this->answerRead(reader);
    }
}

void LogStandIn::trim(Stream &stream) const
{
    const auto keepFrom = wallMs() - std::chrono::duration_cast<std::chrono::milliseconds>(this->retainFor).count();
    while (!stream.records.empty()
           && (stream.records.size() > this->retainRecords || stream.records.front().atMs < keepFrom)) {
        stream.records.pop_front();
        ++stream.oldest;
    }
}

} // namespace endivespan::standins
