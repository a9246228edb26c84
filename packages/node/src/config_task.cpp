#include "config_task.h"

#include <endivespan/config.h>
#include <endivespan/config_codec.h>
#include <endivespan/log.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace endivespan {

namespace {

LogTime wallClock()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace

ConfigTask::ConfigTask(
    Loop &loop, LogClient &log, const Settings &settings, Membership &membership, ConfigConfirmation &confirmation)
    : loop(loop)
    , log(log)
    , membership(membership)
    , confirmation(confirmation)
    , random(std::random_device {}())
    , writer(fmt::format("{}-{:016x}", settings.host, this->random()))
    , lastAnswer(loop.now())
{
}

void ConfigTask::start()
{
    this->snapshotCheck = this->loop.every(config::SnapshotCheckPeriod, [this] { this->planSnapshot(); });
    this->read();
}

const Fleet &ConfigTask::fleet() const
{
    return this->fold.fleet();
}

bool ConfigTask::isReady() const
{
    return this->ready;
}

bool ConfigTask::isStale() const
{
    return this->confirmation.validity(this->membership, this->loop.now()) == ConfigValidity::Stale;
}

std::string ConfigTask::digest() const
{
    return digestHex(this->fold.digest());
}

std::optional<std::chrono::milliseconds> ConfigTask::inForceDelay() const
{
    return this->lastDelay;
}

const Organisation *ConfigTask::organisationOfKey(const std::string &keyDigest) const
{
    return this->fold.table().organisationOfKey(keyDigest);
}

ConfigStatus ConfigTask::status() const
{
    ConfigStatus status;
    status.revision = this->fleet().revision;
    status.digest = this->digest();
    status.covers = this->fold.covers();
    status.ready = this->isReady();
    status.stale = this->isStale();
    status.confirmedAge = this->confirmation.statement(this->membership, this->loop.now()).confirmedAge;
    status.inForceDelay = this->lastDelay;
    status.fold = this->fold.stats();
    return status;
}

void ConfigTask::onChanged(std::function<void(const FleetChanged &)> callback)
{
    this->listeners.push_back(std::move(callback));
}

bool ConfigTask::wantsPeerState() const
{
    const bool logAnswers
        = this->failures == 0 && this->loop.now() - this->lastAnswer < config::ConfigurationPeerFetchAfter;
    return !logAnswers || !this->fold.isContiguous();
}

void ConfigTask::setSnapshotRank(std::function<std::size_t()> rank)
{
    this->snapshotRank = std::move(rank);
}

std::string ConfigTask::encodeState() const
{
    return encodeConfigState(this->fold.snapshot({this->writer, 0}));
}

Result<void> ConfigTask::adoptState(std::string_view bytes, TimePoint)
{
    const auto parts = decodeConfigState(bytes);
    if (!parts) {
        return parts.error();
    }
    const auto actions = this->fold.adopt(parts.value());
    if (!actions) {
        return actions.error();
    }
    if (!actions.value().empty()) {
        logLine("config", "adopted revision {} at offset {} from a peer", this->fleet().revision, this->fold.covers());
        this->ready = true;
        this->handle(actions.value());
        this->folded();
    }
    return boost::outcome_v2::success();
}

void ConfigTask::read()
{
    const std::uint64_t readId = this->nextReadId++;
    const TimePoint askedAt = this->loop.now();
    const auto wait = this->caughtUp ? config::ConfigurationLongPoll : std::chrono::milliseconds::zero();
    this->reads.insert(readId);
    this->log.read(
        std::string(ConfigStream),
        this->fold.nextOffset(),
        config::ConfigurationReadRecords,
        wait,
        [this, readId, askedAt](const Result<LogBatch> &result) { this->readDone(readId, askedAt, result); });
    this->overdueTimer = this->loop.after(wait + config::ConfigurationReadOverdue, [this] { this->readOverdue(); });
}

// The connection of an overdue read may be dead while new connections work, so another read is sent beside it. The
// first successful answer is used, and later ones are ignored.
void ConfigTask::readOverdue()
{
    if (this->reads.size() < config::ConfigurationReadsAtOnce) {
        this->caughtUp = false;
        this->read();
    } else {
        this->membership.setLogReachable(false);
    }
}

void ConfigTask::readDone(std::uint64_t readId, TimePoint askedAt, const Result<LogBatch> &result)
{
    if (this->reads.erase(readId) == 0) {
        return;
    }
    if (!result) {
        if (this->reads.empty()) {
            this->retryLater(result.error().detail);
        }
        return;
    }
    this->reads.clear();
    this->lastAnswer = this->loop.now();
    if (!this->take(result.value(), askedAt)) {
        this->retryLater("the log has lost records that it should still store");
        return;
    }
    if (this->failures > 0) {
        logLine("config", "the log is reachable again");
    }
    this->failures = 0;
    this->membership.setLogReachable(true);
    this->overdueTimer.reset();
    this->readTimer = this->loop.after(Duration::zero(), [this] { this->read(); });
}

// Returns false for an answer that shows that the log has lost records: it ends before an offset that was already read,
// or reports a record as trimmed that is not below the oldest offset that it stores.
bool ConfigTask::take(const LogBatch &batch, TimePoint askedAt)
{
    this->oldest = std::max(this->oldest, batch.oldest);
    if (batch.trimmed) {
        if (batch.oldest <= this->fold.nextOffset()) {
            return false;
        }
        logLine("config", "records below offset {} were trimmed from the log; waiting for a snapshot", batch.oldest);
        this->fold.skipDroppedBefore(batch.oldest);
        return true;
    }
    for (const LogRecord &record : batch.records) {
        const auto use = this->fold.isContiguous() ? SnapshotUse::Head : SnapshotUse::Whole;
        const auto decoded = decodeConfigRecord(record.bytes, use);
        if (!decoded) {
            logLine("config", "skipping unreadable record at offset {}: {}", record.offset, decoded.error().detail);
        }
        this->handle(decoded ? this->fold.apply(record.offset, record.at, decoded.value())
                             : this->fold.skip(record.offset));
        this->folded();
    }
    if (batch.end < this->fold.nextOffset()) {
        return false;
    }
    this->caughtUp = batch.end == this->fold.nextOffset();
    this->ready = this->ready || (this->caughtUp && this->fold.isContiguous());
    this->confirmation.onLogAnswer(batch.end, askedAt);
    return true;
}

void ConfigTask::folded()
{
    const Digest digest = this->fold.digest();
    std::uint64_t head = 0;
    for (std::size_t i = 0; i < sizeof(head); ++i) {
        head = head << 8U | digest[i];
    }
    this->confirmation.onFolded(this->fold.covers(), head);
    this->membership.setConfigOffset(this->fold.covers());
}

void ConfigTask::retryLater(std::string_view reason)
{
    if (this->failures++ == 0) {
        logLine("config", "log is unreachable: {}", reason);
    }
    this->caughtUp = false;
    this->membership.setLogReachable(false);
    this->overdueTimer.reset();
    Duration most = config::ConfigurationBackoffLeast;
    for (unsigned i = 1; i < this->failures && most < config::ConfigurationBackoffMost; ++i) {
        most *= 2;
    }
    most = std::min<Duration>(most, config::ConfigurationBackoffMost);
    const Duration delay(std::uniform_int_distribution<Duration::rep>(most.count() / 2, most.count())(this->random));
    this->readTimer = this->loop.after(delay, [this] { this->read(); });
}

void ConfigTask::handle(const std::vector<ConfigAction> &actions)
{
    for (const ConfigAction &action : actions) {
        if (const auto *settled = std::get_if<NoteDecided>(&action)) {
            this->handleSettled(settled->outcome);
        } else if (const auto *changed = std::get_if<FleetChanged>(&action)) {
            this->handleChanged(*changed);
        } else if (const auto *differs = std::get_if<SnapshotDiffers>(&action)) {
            logLine("config",
                    "snapshot by {} at offset {} differs from the state of this host",
                    differs->id.writer,
                    differs->covers);
        }
    }
}

void ConfigTask::handleSettled(const NoteOutcome &outcome) const
{
    if (outcome.verdict == NoteVerdict::Accepted) {
        logLine("config", "revision {} by {} is in force", outcome.revision, outcome.author);
    } else {
        logLine("config", "rejected a release note by {}: {}", outcome.author, outcome.reason);
    }
}

void ConfigTask::handleChanged(const FleetChanged &change)
{
    if (this->ready) {
        this->lastDelay = wallClock() - this->fold.origin().at;
    }
    for (const auto &listener : this->listeners) {
        listener(change);
    }
}

void ConfigTask::planSnapshot()
{
    const bool isBusy = this->snapshotTimer != nullptr || !this->snapshotParts.empty();
    if (isBusy || !this->caughtUp || !this->fold.needsSnapshot(this->oldest, wallClock())) {
        return;
    }
    this->snapshotTimer = this->loop.after(this->snapshotDelay(), [this] {
        this->snapshotTimer.reset();
        if (this->caughtUp && this->fold.needsSnapshot(this->oldest, wallClock())) {
            this->writeSnapshot();
        }
    });
}

Duration ConfigTask::snapshotDelay()
{
    const auto upTo = [this](Duration most) {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, most.count())(this->random));
    };
    if (this->snapshotRank) {
        return config::SnapshotRankStep * this->snapshotRank() + upTo(config::SnapshotRankStep / 2);
    }
    return upTo(config::SnapshotSpread);
}

void ConfigTask::writeSnapshot()
{
    const RecordId id {this->writer, this->nextSequence++};
    for (const SnapshotPart &part : this->fold.snapshot(id)) {
        this->snapshotParts.push_back(encodeConfigRecord(part));
    }
    logLine("config",
            "appending a snapshot of the state at offset {} in {} parts",
            this->fold.covers(),
            this->snapshotParts.size());
    this->appendParts(0, 1);
}

// When the outcome of an append is unknown, the same parts are appended again, since readers ignore duplicates. After
// any other failure the snapshot remains incomplete; readers ignore it, and a new snapshot is due.
void ConfigTask::appendParts(std::size_t first, unsigned attempt)
{
    const std::size_t last = std::min(first + config::SnapshotAppendParts, this->snapshotParts.size());
    const std::vector<std::string> batch(this->snapshotParts.begin() + static_cast<std::ptrdiff_t>(first),
                                         this->snapshotParts.begin() + static_cast<std::ptrdiff_t>(last));
    this->log.append(std::string(ConfigStream), batch, [this, first, last, attempt](const auto &result) {
        const bool mayRepeat
            = !result && result.error().kind == ErrorKind::OutcomeUnknown && attempt < config::SnapshotAppendAttempts;
        if (mayRepeat) {
            this->snapshotTimer = this->loop.after(config::ConfigurationBackoffMost, [this, first, attempt] {
                this->snapshotTimer.reset();
                this->appendParts(first, attempt + 1);
            });
        } else if (result && last < this->snapshotParts.size()) {
            this->appendParts(last, 1);
        } else {
            this->snapshotParts.clear();
        }
    });
}

} // namespace endivespan
