#include "operator_feed.h"

#include <endivespan/base64.h>
#include <endivespan/config.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace endivespan {

namespace {

nlohmann::json encodeNamings(const std::vector<WeightNaming> &namings)
{
    nlohmann::json list = nlohmann::json::array();
    for (const WeightNaming &naming : namings) {
        nlohmann::json item {{"model", naming.model}, {"version", naming.version}};
        if (naming.age && *naming.age <= config::NamingAgeMost) {
            // Rounded up: an age must not be stated shorter than it is.
            item["age_ms"] = std::chrono::ceil<std::chrono::milliseconds>(*naming.age).count();
        }
        list.push_back(std::move(item));
    }
    return list;
}

// Older hosts state no namings.
Result<std::vector<WeightNaming>> decodeNamings(const nlohmann::json &state)
{
    const auto malformed = [] { return Error {ErrorKind::ProtocolError, "state of a peer has a malformed naming"}; };
    std::vector<WeightNaming> namings;
    if (!state.contains("namings")) {
        return namings;
    }
    if (!state["namings"].is_array()) {
        return malformed();
    }
    constexpr std::uint64_t Most = std::chrono::milliseconds(config::NamingAgeMost).count();
    for (const auto &item : state["namings"]) {
        if (!item.is_object() || !item.contains("model") || !item["model"].is_string() || !item.contains("version")
            || !item["version"].is_number_unsigned()) {
            return malformed();
        }
        WeightNaming naming {item["model"].get<std::string>(), item["version"].get<std::uint64_t>(), std::nullopt};
        if (const auto age = item.find("age_ms"); age != item.end()) {
            if (!age->is_number_unsigned()) {
                return malformed();
            }
            if (const auto stated = age->get<std::uint64_t>(); stated <= Most) {
                naming.age = std::chrono::milliseconds(stated);
            }
        }
        namings.push_back(std::move(naming));
    }
    return namings;
}

} // namespace

OperatorFeed::OperatorFeed(Loop &loop,
                           KeyedLog &log,
                           const RecordCodec &codec,
                           EventLog &events,
                           Membership &membership,
                           ConfigConfirmation &confirmation,
                           const RelayAgeLimits &ages,
                           Duration rewriteTime,
                           std::function<void()> changed)
    : loop(loop)
    , log(log)
    , codec(codec)
    , events(events)
    , membership(membership)
    , confirmation(confirmation)
    , ages(ages)
    , rewriteTime(rewriteTime)
    , changed(std::move(changed))
    , sharedFact(ages.operators)
{
}

void OperatorFeed::start()
{
    this->readNewest();
}

const OperatorState &OperatorFeed::state() const
{
    return this->current;
}

void OperatorFeed::readNewest()
{
    const TimePoint askedAt = this->loop.now();
    this->readingSince = askedAt;
    this->log.newest(this->codec.operatorTopic(), [this, askedAt](const Result<KeyedBatch> &batch) {
        this->readingSince.reset();
        if (!batch) {
            return this->onReadFailed(batch.error());
        }
        this->onLogAnswer();
        // Records received from peers meanwhile may be newer than this answer.
        if (batch.value().next >= this->next) {
            this->adoptNewest(batch.value());
            this->advanceTo(batch.value().next);
            this->confirmation.onLogAnswer(batch.value().end, askedAt);
            this->sharedFact.confirmed(askedAt);
        }
        this->hasNewest = true;
        this->changed();
        this->readOn();
    });
}

// Applies the newest records of the log. After a restore those that the copy lacks stay in force until operators have
// had time to write them again.
void OperatorFeed::adoptNewest(const KeyedBatch &batch)
{
    const TimePoint now = this->loop.now();
    if (isRestoredBetween(this->next, batch.next)) {
        this->dropMissingAt = now + this->rewriteTime;
        this->events.line("operator_records_restored", LogRank::Failure).with("era", eraOf(batch.next));
    }
    if (!this->dropMissingAt || now >= *this->dropMissingAt) {
        this->dropMissingAt.reset();
        this->dropMissing(batch.records);
    }
    this->putRecords(batch.records);
}

void OperatorFeed::setShared(bool shared)
{
    this->sharedFact.setShared(shared);
}

// Returns for how long this host can still rely on the reader's reads; zero when it must read the log itself.
Duration OperatorFeed::timeUntilOwnRead() const
{
    return this->newerSeen ? Duration::zero() : this->sharedFact.timeUntilOwnRead(this->loop.now());
}

void OperatorFeed::onReaderStatement(const std::string &peer, const ConfigStatement &statement, TimePoint askedAt)
{
    const std::size_t known = this->membership.hosts().size();
    const bool isNewer = this->confirmation.onPeerAnswer(peer, statement, askedAt, known);
    this->newerSeenAt = isNewer && !this->newerSeen ? this->loop.now() : this->newerSeenAt;
    this->newerSeen = isNewer;
    if (statement.confirmedAge && !isNewer) {
        this->sharedFact.confirmed(askedAt - *statement.confirmedAge);
    }
    if (this->newerSeen && this->relayWait != nullptr) {
        this->relayWait.reset();
        this->readOn();
    }
}

void OperatorFeed::readOn()
{
    if (this->dropMissingAt && this->loop.now() >= *this->dropMissingAt) {
        return this->readNewest();
    }
    if (const Duration wait = this->timeUntilOwnRead(); this->reachable && wait > Duration::zero()) {
        this->relayWait = this->loop.after(std::max<Duration>(wait, config::TickPeriod), [this] {
            const auto fired = std::move(this->relayWait);
            this->readOn();
        });
        return;
    }
    const TimePoint askedAt = this->loop.now();
    const std::uint64_t from = this->next;
    this->readingSince = askedAt;
    this->log.read(this->codec.operatorTopic(),
                   from,
                   this->ages.operatorWait,
                   [this, askedAt, from](const Result<KeyedBatch> &batch) {
                       this->readingSince.reset();
                       if (!batch) {
                           return this->onReadFailed(batch.error());
                       }
                       this->onLogAnswer();
                       if (batch.value().gap) {
                           this->events.line("operator_records_gone").with("from", from);
                           this->hasNewest = false;
                           return this->readNewest();
                       }
                       // A read without records was held by the log for the whole wait, so that its answer holds as of
                       // the end of the wait.
                       const bool held
                           = batch.value().records.empty() && this->loop.now() - askedAt >= this->ages.operatorWait;
                       this->applyBatch(from, batch.value(), held ? askedAt + this->ages.operatorWait : askedAt);
                       this->readOn();
                   });
}

void OperatorFeed::applyBatch(std::uint64_t from, const KeyedBatch &batch, TimePoint asOf)
{
    // The first of these records may have been adopted from a peer while the read was under way.
    for (std::size_t i = this->next - from; i < batch.records.size(); ++i) {
        this->apply(batch.records[i]);
    }
    this->advanceTo(batch.next);
    this->confirmation.onLogAnswer(batch.end, asOf);
    if (batch.end <= this->next) {
        this->sharedFact.confirmed(asOf);
    }
    if (!batch.records.empty()) {
        this->changed();
    }
}

void OperatorFeed::retryRead()
{
    this->retry.reset();
    if (this->hasNewest) {
        this->readOn();
    } else {
        this->readNewest();
    }
}

void OperatorFeed::onReadFailed(const Error &error)
{
    if (this->reachable) {
        this->events.line("dependency_lost", LogRank::Failure)
            .with("dependency", "log")
            .with("topic", this->codec.operatorTopic())
            .with("why", error.detail);
    }
    this->reachable = false;
    this->membership.setLogReachable(false);
    const bool isPassedOn = this->hasNewest && this->timeUntilOwnRead() > Duration::zero();
    const auto pause = isPassedOn
        ? Duration(config::OperatorRelayedBackoff)
        : std::min<Duration>(config::ConfigurationBackoffLeast * (1U << std::min(this->failures, 4U)),
                             config::OperatorBackoffMost);
    ++this->failures;
    this->retry = this->loop.after(pause, [this] { this->retryRead(); });
}

void OperatorFeed::onLogAnswer()
{
    if (!this->reachable) {
        this->events.line("dependency_regained", LogRank::Failure)
            .with("dependency", "log")
            .with("topic", this->codec.operatorTopic())
            .with("failures", this->failures);
    }
    this->reachable = true;
    this->failures = 0;
    this->membership.setLogReachable(true);
}

void OperatorFeed::advanceTo(std::uint64_t offset)
{
    this->newerSeen = false;
    this->next = std::max(this->next, offset);
    this->membership.setConfigOffset(this->next);
    // Because of compaction, hosts with the same state may have applied different records, so that no digest is
    // compared.
    this->confirmation.onFolded(this->next, 0);
}

// Returns whether a record is older than what is in force, as records of a restored log may be.
bool OperatorFeed::isOutdated(const OperatorRecord &record) const
{
    if (const auto *config = std::get_if<std::shared_ptr<const ForwardConfig>>(&record)) {
        return this->current.config && (*config)->version < this->current.config->version;
    }
    const auto *weights = std::get_if<WeightsRecord>(&record);
    return weights != nullptr && weights->version < this->current.weights.newest(weights->model).value_or(0);
}

void OperatorFeed::apply(const KeyedRecord &record)
{
    const auto decoded = this->codec.decodeOperator(record.key, record.value);
    if (!decoded) {
        this->events.line("operator_record_unreadable", LogRank::Failure)
            .with("key", record.key)
            .with("why", decoded.error().detail);
        return;
    }
    if (this->isOutdated(decoded.value())) {
        return;
    }
    if (record.value) {
        this->rawValues[record.key] = *record.value;
    } else {
        this->rawValues.erase(record.key);
    }
    if (const auto *config = std::get_if<std::shared_ptr<const ForwardConfig>>(&decoded.value())) {
        this->applyConfig(*config);
    } else if (const auto *evacuation = std::get_if<EvacuationRecord>(&decoded.value())) {
        const bool isChange = evacuation->inForce ? this->current.evacuated.insert(evacuation->domain).second
                                                  : this->current.evacuated.erase(evacuation->domain) > 0;
        if (isChange) {
            this->events.line("evacuation")
                .with("domain", evacuation->domain)
                .with("in_force", evacuation->inForce ? "yes" : "no");
        }
    } else if (const auto *weights = std::get_if<WeightsRecord>(&decoded.value())) {
        // A host that stood still or was cut off reads the record late, so that the time of the read does not count. It
        // is unknown when the records found by the first read were written.
        const std::optional<TimePoint> at = this->confirmation.lastKnownNewest();
        if (this->current.weights.recordVersion(weights->model, weights->version, at)) {
            LogLine line = this->events.line("weights_named");
            line.with("model", weights->model).with("version", weights->version);
            if (at) {
                line.with("within_ms", this->loop.now() - *at);
            }
        }
    }
}

void OperatorFeed::applyConfig(const std::shared_ptr<const ForwardConfig> &config)
{
    if (this->current.config && config->version <= this->current.config->version) {
        return;
    }
    this->events.line("config_in_force")
        .with("version", config->version)
        .with("before", this->current.config ? this->current.config->version : 0)
        .with("routes", config->routes.size())
        .with("keys", config->keys.size());
    const std::string sharersBefore = this->current.scopes.sharers("");
    this->current.config = config;
    this->current.scopes.setOrganisations(config->organisations, this->loop.now());
    if (const std::string sharers = this->current.scopes.sharers(""); sharers != sharersBefore) {
        this->events.line("cache_sharers").with("now", sharers).with("before", sharersBefore);
    }
}

void OperatorFeed::dropMissing(const std::vector<KeyedRecord> &records)
{
    std::set<std::string> present;
    for (const KeyedRecord &record : records) {
        present.insert(record.key);
    }
    std::vector<std::string> dropped;
    for (const auto &[key, value] : this->rawValues) {
        if (!present.contains(key)) {
            dropped.push_back(key);
        }
    }
    for (const std::string &key : dropped) {
        this->apply({key, std::nullopt});
    }
}

void OperatorFeed::putRecords(const std::vector<KeyedRecord> &records)
{
    for (const KeyedRecord &record : records) {
        this->apply(record);
    }
}

bool OperatorFeed::wantsPeerState() const
{
    return !this->reachable || !this->hasNewest || this->isOverdue();
}

bool OperatorFeed::wantsPeerTimes() const
{
    return this->hasNewest && this->namingAnswers < config::NamingAnswersMost && this->current.weights.lacksTimes();
}

// Returns whether a read is overdue. A log service that accepts calls of this host but never answers them can only be
// detected by the time that they take.
bool OperatorFeed::isOverdue() const
{
    const TimePoint now = this->loop.now();
    const bool isRead
        = this->readingSince && now - *this->readingSince > this->ages.operatorWait + this->ages.operatorLag;
    return isRead || (this->newerSeen && now - this->newerSeenAt > this->ages.operatorLag);
}

std::string OperatorFeed::encodeState() const
{
    nlohmann::json records = nlohmann::json::object();
    for (const auto &[key, value] : this->rawValues) {
        records[key] = toBase64(value);
    }
    return nlohmann::json {{"next", this->next},
                           {"records", std::move(records)},
                           {"namings", encodeNamings(this->current.weights.namings(this->loop.now()))}}
        .dump();
}

void OperatorFeed::adoptNamings(const std::vector<WeightNaming> &namings, TimePoint askedAt)
{
    this->namingAnswers += this->hasNewest ? 1 : 0;
    for (const WeightNaming &naming : this->current.weights.adoptNamings(namings, askedAt)) {
        this->events.line("weights_naming_learned")
            .with("model", naming.model)
            .with("version", naming.version)
            .with("within_ms", this->loop.now() - askedAt + naming.age.value_or(Duration::zero()));
    }
}

Result<void> OperatorFeed::adoptState(std::string_view bytes, TimePoint askedAt)
{
    const auto state = nlohmann::json::parse(bytes, nullptr, false);
    if (!state.is_object() || !state.contains("next") || !state["next"].is_number_unsigned()
        || !state.contains("records") || !state["records"].is_object()) {
        return Error {ErrorKind::ProtocolError, "state of a peer lacks its offset or records"};
    }
    const auto namings = decodeNamings(state);
    if (!namings) {
        return namings.error();
    }
    const auto offset = state["next"].get<std::uint64_t>();
    if (offset <= this->next) {
        this->adoptNamings(namings.value(), askedAt);
        return boost::outcome_v2::success();
    }
    std::vector<KeyedRecord> records;
    for (const auto &[key, value] : state["records"].items()) {
        const auto decoded = fromBase64(value.is_string() ? value.get<std::string>() : "=");
        if (!decoded) {
            return Error {ErrorKind::ProtocolError, "state of a peer has a value that is not base64: " + key};
        }
        records.push_back({key, decoded.value()});
    }
    this->dropMissing(records);
    this->putRecords(records);
    this->adoptNamings(namings.value(), askedAt);
    this->advanceTo(offset);
    this->changed();
    return boost::outcome_v2::success();
}

} // namespace endivespan
