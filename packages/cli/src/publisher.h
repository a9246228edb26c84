#pragma once

#include <endivespan/config_fold.h>
#include <endivespan/log_client.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

/// Publication of one release note: appends it to the log and determines whether it was accepted.
namespace endivespan::cli {

/// Result of a publication.
struct Publication {
    /// Whether the note was accepted or refused; unset when that is not known.
    std::optional<NoteOutcome> outcome;
    /// Why the outcome is not known; empty otherwise.
    std::string problem;
    /// False when the note certainly is not in the log and will not appear there later.
    bool mayBeAppended = false;
};

/// Folds the configuration stream up to its end, appends the note, and reads on until the outcome of the note is known.
/// A note that the current state would refuse is not appended. After an append without an answer the stream is read
/// again, and the append is repeated with the same id only if the note is not in the log. Readers apply a note only
/// once, even if the log holds it twice.
class Publisher
{
public:
    /// @param record The note, with an id that no other note has.
    /// @param timeout Time after which the publication ends without a known outcome.
    /// @param done Called once with the result.
    Publisher(Loop &loop,
              LogClient &log,
              NoteRecord record,
              std::chrono::milliseconds timeout,
              std::function<void(const Publication &)> done);

    void start();

private:
    void read();
    void onRead(const Result<LogBatch> &result);
    void fold(const LogBatch &batch);
    void onStreamEnd();
    void append();
    void onAppended(const Result<LogAppendAck> &result);
    void retry(std::function<void()> step);
    void finish(const Publication &publication);

    Loop &loop;
    LogClient &log;
    NoteRecord record;
    std::string bytes;
    std::chrono::milliseconds timeout;
    std::function<void(const Publication &)> done;
    ConfigFold state;
    bool mayBeAppended = false;
    bool isAcknowledged = false;
    bool isFinished = false;
    std::string lastProblem = "the log service does not answer";
    std::unique_ptr<Timer> stepTimer;
    std::unique_ptr<Timer> timeoutTimer;
};

} // namespace endivespan::cli
