#include "harness.h"

#include <doctest/doctest.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <thread>
#include <unistd.h>
#include <utility>

namespace endivespan::harness {

namespace {

constexpr std::chrono::milliseconds PollStep {10};
const std::string ErrorFile = "stderr.txt";
// Ignores SIGPIPE, so that writing to a host that has exited does not end the test program.
const auto IgnoredPipe = std::signal(SIGPIPE, SIG_IGN);

pid_t spawn(const std::vector<std::string> &arguments, int outputEnd, const std::string &errorFile)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, outputEnd, STDOUT_FILENO);
    posix_spawn_file_actions_addopen(
        &actions, STDERR_FILENO, errorFile.c_str(), O_CREAT | O_WRONLY | O_APPEND, S_IRUSR | S_IWUSR);
    std::vector<char *> argv;
    argv.reserve(arguments.size() + 1);
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    pid_t child = -1;
    const int problem = posix_spawn(&child, arguments[0].c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    return problem == 0 ? child : -1;
}

} // namespace

TempDir::TempDir()
{
    std::string name = (std::filesystem::temp_directory_path() / "endivespan-XXXXXX").string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    this->directory = name;
}

TempDir::~TempDir()
{
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
}

std::string TempDir::write(const std::string &name, const std::string &text) const
{
    std::string path = this->directory + "/" + name;
    std::ofstream(path) << text;
    return path;
}

Process::Process(const std::vector<std::string> &arguments)
{
    int ends[2];
    REQUIRE(pipe2(ends, O_CLOEXEC) == 0);
    this->pid = spawn(arguments, ends[1], this->directory.path() + "/" + ErrorFile);
    close(ends[1]);
    this->output = ends[0];
    REQUIRE_MESSAGE(this->pid > 0, "cannot start ", arguments[0]);
}

Process::~Process()
{
    if (!this->status && this->pid > 0) {
        kill(this->pid, SIGKILL);
        waitpid(this->pid, nullptr, 0);
    }
    close(this->output);
}

void Process::signal(int number) const
{
    if (!this->status) {
        kill(this->pid, number);
    }
}

std::optional<std::string> Process::readLine()
{
    const auto giveUp = std::chrono::steady_clock::now() + WaitLimit;
    while (true) {
        if (const auto end = this->unread.find('\n'); end != std::string::npos) {
            std::string line = this->unread.substr(0, end);
            this->unread.erase(0, end + 1);
            return line;
        }
        const auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(giveUp - std::chrono::steady_clock::now());
        pollfd waiting {this->output, POLLIN, 0};
        if (left.count() <= 0 || poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
            return std::nullopt;
        }
        char bytes[4096];
        const ssize_t size = read(this->output, bytes, sizeof(bytes));
        if (size <= 0) {
            return std::nullopt;
        }
        this->unread.append(bytes, static_cast<std::size_t>(size));
    }
}

std::optional<int> Process::waitExit()
{
    eventually([this] {
        int state = 0;
        if (!this->status && waitpid(this->pid, &state, WNOHANG) == this->pid) {
            this->status = WIFEXITED(state) ? WEXITSTATUS(state) : -WTERMSIG(state);
        }
        return this->status.has_value();
    });
    return this->status;
}

std::string Process::errorText() const
{
    std::ifstream file(this->directory.path() + "/" + ErrorFile);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

json CallResult::parsed() const
{
    return json::parse(this->body, nullptr, false);
}

CallResult call(const HttpCall &wanted)
{
    CallGroup group;
    group.start(wanted);
    return group.finish()[0];
}

CallResult call(const std::string &address,
                const std::string &method,
                const std::string &target,
                const std::string &body,
                const HttpHeaders &headers)
{
    HttpCall wanted;
    wanted.address = address;
    wanted.method = method;
    wanted.target = target;
    wanted.body = body;
    wanted.headers = headers;
    wanted.connectTimeout = WaitLimit;
    wanted.silenceTimeout = WaitLimit;
    return call(wanted);
}

std::size_t CallGroup::start(const HttpCall &wanted)
{
    const std::size_t number = this->results.size();
    this->results.emplace_back();
    this->finished.push_back(false);
    HttpCallbacks callbacks;
    callbacks.onChunk = [this, number](int status, std::string_view bytes) {
        this->results[number].status = status;
        this->results[number].body += bytes;
    };
    callbacks.onDone = [this, number](const HttpAnswer &answer) {
        this->results[number].status = answer.status;
        this->results[number].headers = answer.headers;
        this->finished[number] = true;
    };
    callbacks.onFailure = [this, number](const HttpFailure &failure) {
        this->results[number].failure = failure;
        this->finished[number] = true;
    };
    this->pending.push_back(startHttpCall(this->loop, wanted, std::move(callbacks)));
    return number;
}

const std::vector<CallResult> &CallGroup::finish()
{
    this->runUntil(
        [this] { return std::find(this->finished.begin(), this->finished.end(), false) == this->finished.end(); });
    for (std::size_t number = 0; number < this->results.size(); ++number) {
        if (!this->finished[number]) {
            this->results[number].failure
                = HttpFailure {{ErrorKind::Timeout, "no result within the time limit of the test"}, true};
        }
    }
    return this->results;
}

void CallGroup::awaitBytes(std::size_t number, std::size_t bytes)
{
    this->runUntil(
        [this, number, bytes] { return this->results[number].body.size() >= bytes || this->finished[number]; });
}

void CallGroup::runFor(std::chrono::milliseconds time)
{
    const auto end = this->loop.after(time, [this] { this->loop.stop(); });
    this->loop.run();
}

void CallGroup::drop(std::size_t number)
{
    this->pending[number].reset();
    this->finished[number] = true;
}

void CallGroup::runUntil(const std::function<bool()> &done)
{
    const TimePoint giveUp = this->loop.now() + WaitLimit;
    const auto check = this->loop.every(std::chrono::milliseconds(1), [this, &done, giveUp] {
        if (done() || this->loop.now() > giveUp) {
            this->loop.stop();
        }
    });
    this->loop.run();
}

bool eventually(const std::function<bool()> &condition)
{
    const auto giveUp = std::chrono::steady_clock::now() + WaitLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > giveUp) {
            return false;
        }
        std::this_thread::sleep_for(PollStep);
    }
    return true;
}

Standins::Standins(std::vector<std::string> arguments)
    : child([&arguments] {
        arguments.insert(arguments.begin(), builtProgram("tests/standins"));
        return arguments;
    }())
{
    while (const auto line = this->child.readLine()) {
        std::istringstream words(*line);
        std::string first;
        std::string kind;
        std::string name;
        std::string address;
        words >> first >> kind >> name >> address;
        if (first == "standins") {
            return;
        }
        this->addresses[name] = address;
    }
    FAIL("the stand-ins did not start: ", this->child.errorText());
}

Standins::~Standins()
{
    this->child.signal(SIGCONT);
    this->child.signal(SIGTERM);
    CHECK_MESSAGE(this->child.waitExit() == 0, this->child.errorText());
}

const std::string &Standins::address(const std::string &name) const
{
    const auto found = this->addresses.find(name);
    REQUIRE_MESSAGE(found != this->addresses.end(), "no stand-in is named ", name);
    return found->second;
}

void Standins::control(const std::string &name, const json &settings) const
{
    const CallResult result = call(this->address("control"), "POST", "/" + name + "/control", settings.dump());
    REQUIRE_MESSAGE(result.status == 200, result.body);
}

json Standins::counts(const std::string &name) const
{
    return call(this->address("control"), "GET", "/" + name + "/counts").parsed();
}

std::uint64_t Standins::sum(const std::string &count) const
{
    std::uint64_t total = 0;
    const json all = call(this->address("control"), "GET", "/counts").parsed();
    for (const json &counts : all) {
        total += counts.value(count, std::uint64_t {0});
    }
    return total;
}

std::string builtProgram(const std::string &name)
{
    return std::string(BINARY_DIR) + "/" + name;
}

} // namespace endivespan::harness
