#pragma once

#include <endivespan/error.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Reads the structured log lines of any number of hosts and explains the outcome of one request.
namespace endivespan {

/// Why a host did not send a request to a server, or not to a further one. Its name is in the field "cause" of the log
/// line of the request. Hosts write names, and LogIndex recognises causes by them, never by the text for people.
enum class RefusalCause {
    None, ///< The request was not refused.
    ServersRest,
    NoPlaceInTime,
    QueueFull,
    TooLittleTime,
    ConfigurationStale,
    IdenticalCrashes,
    PartCrashes,
    HostStopping,
    StopBeforeAnswer,
    NotRunAnswers,
    NoServer,
    InputEnded, ///< The caller closed its sending direction while the request waited for a server.
    NoPlaceExpected, ///< No server was expected to have room early enough for an answer within the deadline.
    StandingQueue, ///< Requests had started late for a while, and this one was the last in order.
    Count,
};

/// What a host writes and answers for one cause.
struct RefusalAnswer {
    RefusalCause cause;
    std::string_view name; ///< Value of the field "cause"; never changes.
    ErrorKind kind; ///< Of the answer to the caller.
    std::string_view why; ///< For people.
};

/// @returns the answer for @p cause.
const RefusalAnswer &refusalAnswer(RefusalCause cause);

/// @returns the cause with this name; RefusalCause::None for any other text.
RefusalCause refusalCauseNamed(std::string_view name);

/// Outcomes of requests in the log that are not names of errors.
namespace outcome {
constexpr std::string_view Answered = "answered";
constexpr std::string_view ServerFailed = "server_failed";
constexpr std::string_view CallerGone = "caller_gone";
constexpr std::string_view StreamCut = "stream_cut";
} // namespace outcome

/// One structured log line.
struct LogEntry {
    double at = 0; ///< Unix time in seconds.
    std::string host;
    std::string event;
    std::map<std::string, std::string> fields; ///< All except time, host and event.
    std::string text; ///< The line from its "t=" field on.

    /// @returns the value of a field, or an empty string when the line does not have it.
    [[nodiscard]] std::string field(const std::string &name) const;
};

/// Parses a line. Other text may precede the structured part.
/// @returns nothing when the line is not a structured one.
std::optional<LogEntry> parseLogLine(std::string_view line);

/// The structured lines of any number of hosts, in which requests can be looked up.
class LogIndex
{
public:
    /// Adds a line; ignores it if it is not a structured one.
    void add(std::string_view line);

    /// Sorts the lines by time. To be called once, after the last add() and before any query.
    void finish();

    /// @returns the lines about @p request, in order of time.
    [[nodiscard]] std::vector<const LogEntry *> linesOf(const std::string &request) const;

    /// @returns one sentence on why @p request ended as it did, as far as the lines show it; nothing when no line is
    ///     about it.
    [[nodiscard]] std::optional<std::string> cause(const std::string &request) const;

    [[nodiscard]] std::size_t size() const;

private:
    /// @returns the lines of all hosts from @p before seconds before @p entry until @p after seconds after it.
    [[nodiscard]] std::vector<const LogEntry *> linesAround(const LogEntry &entry, double before, double after) const;
    [[nodiscard]] std::string causeOfStale(const LogEntry &last) const;
    [[nodiscard]] std::optional<std::string> causeOfRefusal(RefusalCause cause, const LogEntry &last) const;
    [[nodiscard]] std::string causeOfNoPlace(const LogEntry &last) const;
    [[nodiscard]] std::string causeOfFailure(const LogEntry &last, const std::string &server) const;
    [[nodiscard]] std::optional<std::string> findPause(const LogEntry &last) const;

    std::vector<LogEntry> entries;
};

} // namespace endivespan
