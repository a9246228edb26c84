#include "publisher.h"

#include <endivespan/config.h>
#include <endivespan/config_codec.h>

#include <utility>

namespace endivespan::cli {

namespace {

constexpr std::chrono::milliseconds RetryDelay {200};

} // namespace

Publisher::Publisher(Loop &loop,
                     LogClient &log,
                     NoteRecord record,
                     std::chrono::milliseconds timeout,
                     std::function<void(const Publication &)> done)
    : loop(loop)
    , log(log)
    , record(std::move(record))
    , bytes(encodeConfigRecord(this->record))
    , timeout(timeout)
    , done(std::move(done))
{
}

void Publisher::start()
{
    this->timeoutTimer = this->loop.after(this->timeout, [this] {
        this->finish({std::nullopt, this->lastProblem, this->mayBeAppended});
    });
    this->read();
}

void Publisher::read()
{
    this->log.read(std::string(ConfigStream),
                   this->state.nextOffset(),
                   config::ConfigurationReadRecords,
                   std::chrono::milliseconds::zero(),
                   [this](const Result<LogBatch> &result) { this->onRead(result); });
}

void Publisher::onRead(const Result<LogBatch> &result)
{
    if (this->isFinished) {
        return;
    }
    if (!result) {
        this->lastProblem = result.error().detail;
        this->retry([this] { this->read(); });
        return;
    }
    this->fold(result.value());
    if (const NoteOutcome *outcome = this->state.outcomeOf(this->record.id)) {
        this->finish({*outcome, "", true});
    } else if (result.value().trimmed || this->state.nextOffset() < result.value().end) {
        this->read();
    } else {
        this->onStreamEnd();
    }
}

void Publisher::fold(const LogBatch &batch)
{
    if (batch.trimmed) {
        this->state.skipDroppedBefore(batch.oldest);
        return;
    }
    for (const LogRecord &entry : batch.records) {
        const auto use = this->state.isContiguous() ? SnapshotUse::Head : SnapshotUse::Whole;
        if (const auto decoded = decodeConfigRecord(entry.bytes, use)) {
            this->state.apply(entry.offset, entry.at, decoded.value());
        } else {
            this->state.skip(entry.offset);
        }
    }
}

void Publisher::onStreamEnd()
{
    if (!this->state.isContiguous()) {
        this->lastProblem = "the log has dropped old records and holds no snapshot yet";
        this->retry([this] { this->read(); });
        return;
    }
    if (this->isAcknowledged) {
        this->lastProblem = "the log has confirmed the append, but reads do not return the note yet";
        this->retry([this] { this->read(); });
        return;
    }
    // A note that is refused now would also be refused at a later position of the stream, since revisions only rise.
    ConfigFold trial = this->state;
    trial.apply(trial.nextOffset(), {}, this->record);
    const NoteOutcome *outcome = trial.outcomeOf(this->record.id);
    if (outcome->verdict != NoteVerdict::Accepted) {
        this->finish({*outcome, "", this->mayBeAppended});
        return;
    }
    this->append();
}

void Publisher::append()
{
    this->log.append(std::string(ConfigStream), {this->bytes}, [this](const Result<LogAppendAck> &result) {
        this->onAppended(result);
    });
}

void Publisher::onAppended(const Result<LogAppendAck> &result)
{
    if (this->isFinished) {
        return;
    }
    if (result) {
        this->isAcknowledged = true;
        this->mayBeAppended = true;
        this->read();
        return;
    }
    this->lastProblem = result.error().detail;
    this->mayBeAppended = this->mayBeAppended || result.error().kind == ErrorKind::OutcomeUnknown;
    this->retry([this] { this->read(); });
}

void Publisher::retry(std::function<void()> step)
{
    this->stepTimer = this->loop.after(RetryDelay, std::move(step));
}

void Publisher::finish(const Publication &publication)
{
    if (this->isFinished) {
        return;
    }
    this->isFinished = true;
    this->stepTimer.reset();
    this->timeoutTimer.reset();
    this->done(publication);
}

} // namespace endivespan::cli
