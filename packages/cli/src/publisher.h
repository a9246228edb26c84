#pragma once

#include <endivespan/config_fold.h>
#include <endivespan/log_client.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

/// Appends one release note and reads back what became of it.
namespace endivespan::cli {

/// How a publication ended.
struct Publication {
    /// The note's fate, when it is known.
    std::optional<NoteOutcome> outcome;
    /// Why there is none.
    std::string problem;
    /// False when it is certain that the note is not in the log and never will be.
    bool mayBeAppended = false;
};

/// Folds the stream up to its end, appends the note, and reads on until the note's fate is known. An append without an
/// answer is read back, and repeated under the same identity only when the log does not hold it: readers count it once.
class Publisher
{
public:
    /// @param id Identity of the note, used by no other.
    /// @param patience Longest time to work on it.
    /// @param done Called once with the end.
    Publisher(Loop &loop,
              LogClient &log,
              NoteRecord record,
              std::chrono::milliseconds patience,
              std::function<void(const Publication &)> done);

    void start();

private:
    void read();
    void taken(const Result<LogBatch> &result);
    void fold(const LogBatch &batch);
    void atEnd();
    void append();
    void appended(const Result<LogAppendAck> &result);
    void retry(std::function<void()> step);
    void finish(const Publication &publication);

    Loop &loop;
    LogClient &log;
    NoteRecord record;
    std::string bytes;
    std::chrono::milliseconds patience;
    std::function<void(const Publication &)> done;
    ConfigFold state;
    bool mayBeAppended = false;
    bool isAcknowledged = false;
    bool isFinished = false;
    std::string lastProblem = "the log does not answer";
    std::unique_ptr<Timer> stepTimer;
    std::unique_ptr<Timer> patienceTimer;
};

} // namespace endivespan::cli
