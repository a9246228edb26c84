#pragma once

#include <endivespan/http_client.h>

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Runs the built programs as child processes and calls them over HTTP; used by the process tests and the soak.
namespace endivespan::harness {

using nlohmann::json;

/// Longest time that a test waits for anything before it fails.
constexpr std::chrono::seconds WaitLimit {30};

/// A directory that is removed with all its files.
class TempDir
{
public:
    TempDir();
    ~TempDir();
    TempDir(const TempDir &) = delete;
    TempDir &operator=(const TempDir &) = delete;

    /// Writes @p text into the file @p name.
    /// @returns the path of the file.
    [[nodiscard]] std::string write(const std::string &name, const std::string &text) const;

    [[nodiscard]] const std::string &path() const
    {
        return this->directory;
    }

private:
    std::string directory;
};

/// One child process. The destructor kills it by its id and reaps it.
class Process
{
public:
    /// @param arguments Path of the binary and its arguments.
    explicit Process(const std::vector<std::string> &arguments);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    [[nodiscard]] pid_t id() const
    {
        return this->pid;
    }

    /// Sends a signal such as SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
    void signal(int number) const;

    /// @returns the next line of standard output, or nothing at its end or after WaitLimit.
    std::optional<std::string> readLine();

    /// Waits for the end of the process.
    /// @returns the exit status, the negated number of the signal that ended it, or nothing after WaitLimit.
    std::optional<int> waitExit();

    /// @returns what the process has written to standard error so far.
    [[nodiscard]] std::string errorText() const;

private:
    TempDir directory;
    pid_t pid = -1;
    int output = -1;
    std::string unread;
    std::optional<int> status;
};

/// Outcome of one blocking call.
struct CallResult {
    std::optional<HttpFailure> failure; ///< Set if no complete answer was received.
    int status = 0;
    HttpHeaders headers;
    std::string body; ///< The bytes received, also of a truncated answer.

    /// @returns the body as JSON; a discarded value if it is not valid JSON.
    [[nodiscard]] json parsed() const;
};

/// Makes one call and waits for the answer.
CallResult call(const HttpCall &wanted);

/// Shorthand for a call without special headers.
CallResult call(const std::string &address,
                const std::string &method,
                const std::string &target,
                const std::string &body = {},
                const HttpHeaders &headers = {});

/// Concurrent calls on one event loop.
class CallGroup
{
public:
    /// Starts a call.
    /// @returns its number.
    std::size_t start(const HttpCall &wanted);

    /// Runs until every call has its result.
    /// @returns the results by number; a call without one has a Timeout failure.
    const std::vector<CallResult> &finish();

    /// Runs until call @p number has received at least @p bytes of its body, or for at most WaitLimit.
    void awaitBytes(std::size_t number, std::size_t bytes);

    /// Runs the loop for @p time.
    void runFor(std::chrono::milliseconds time);

    /// Closes the connection of call @p number, as a caller does that disconnects.
    void drop(std::size_t number);

private:
    void runUntil(const std::function<bool()> &done);

    Loop loop;
    std::vector<CallResult> results;
    std::vector<bool> finished;
    std::vector<std::unique_ptr<HttpPending>> pending;
};

/// Waits until @p condition holds.
/// @returns false if it does not hold within WaitLimit.
bool eventually(const std::function<bool()> &condition);

/// A deployment of stand-ins in one process.
class Standins
{
public:
    /// @param arguments Arguments after the name of the program.
    explicit Standins(std::vector<std::string> arguments);

    /// Stops the process and checks that it exits with 0.
    ~Standins();
    Standins(const Standins &) = delete;
    Standins &operator=(const Standins &) = delete;

    /// @returns the address of the stand-in @p name.
    [[nodiscard]] const std::string &address(const std::string &name) const;

    /// Changes settings of the stand-in @p name, also while that is down.
    void control(const std::string &name, const json &settings) const;

    /// @returns the counters of the stand-in @p name.
    [[nodiscard]] json counts(const std::string &name) const;

    /// @returns the sum of the counter @p count over all stand-ins that have it.
    [[nodiscard]] std::uint64_t sum(const std::string &count) const;

    [[nodiscard]] Process &process()
    {
        return this->child;
    }

private:
    Process child;
    std::map<std::string, std::string> addresses;
};

/// @returns the absolute path of the built program @p name, which is relative to the build directory.
std::string builtProgram(const std::string &name);

} // namespace endivespan::harness
