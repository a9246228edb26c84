#include "harness.h"
#include "world.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <unistd.h>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * KiB;
constexpr std::size_t BodyLimit = 4 * MiB; ///< Of the default configuration.
/// The smallest machine has 96 MB.
constexpr std::size_t MemoryBound = 96'000'000;
/// A quarter of it for requests, and as much for the copies of a request that is sent to a server and for the process.
constexpr std::size_t SmallMemoryBound = MemoryBound / 2;
constexpr std::size_t DescriptorLimit = 256;
constexpr auto RouteTimeout = 3500ms; ///< Of the default configuration, with a margin.
/// Of 10 to 20 in the time of one check.
constexpr long BusyTicks = 3;
/// Of the host in the middle of a crowd, so that it can still open connections to servers and accept callers.
constexpr std::size_t DescriptorBound = 224;
/// Of a host with the usual limit: each caller of the largest crowd with a connection to a server and one to another
/// that stands by, and as many for all else.
constexpr std::size_t CrowdDescriptorBound = 1200;

/// Lowers the limit of open descriptors for the processes that are started during its lifetime.
class LowDescriptorLimit
{
public:
    LowDescriptorLimit()
    {
        getrlimit(RLIMIT_NOFILE, &this->before);
        const rlimit low {DescriptorLimit, this->before.rlim_max};
        setrlimit(RLIMIT_NOFILE, &low);
    }

    ~LowDescriptorLimit()
    {
        setrlimit(RLIMIT_NOFILE, &this->before);
    }

    LowDescriptorLimit(const LowDescriptorLimit &) = delete;
    LowDescriptorLimit &operator=(const LowDescriptorLimit &) = delete;

private:
    rlimit before {};
};

/// One endivespan-platform as a process, in front of runners that answer at once.
class HostUnderCrowd
{
public:
    explicit HostUnderCrowd(const std::string &limits = "", bool fewDescriptors = false, std::size_t runners = 1)
        : world(runners, 0)
    {
        this->answerWith("done");
        this->world.hosts.resize(1);
        WorldHost &host = this->world.hosts[0];
        host.name = "host-1";
        host.store = &this->world.store.addAccess();
        host.callerPort = freePort();
        host.readinessPort = freePort();
        this->start(this->writeSettings(limits), fewDescriptors);
        REQUIRE(this->world.until([this] { return this->world.isReady(); }));
        this->world.runFor(config::HostReadAgain + 100ms);
    }

    ~HostUnderCrowd()
    {
        this->world.hosts.clear();
    }

    HostUnderCrowd(const HostUnderCrowd &) = delete;
    HostUnderCrowd &operator=(const HostUnderCrowd &) = delete;

    [[nodiscard]] bool isAlive() const
    {
        return kill(this->process->id(), 0) == 0 && this->memoryPeak() > 0;
    }

    /// @returns the largest resident memory that the process has had, in bytes; 0 if it has ended.
    [[nodiscard]] std::size_t memoryPeak() const
    {
        std::ifstream status(fmt::format("/proc/{}/status", this->process->id()));
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(6)) * KiB;
            }
        }
        return 0;
    }

    /// @returns the computing time of the process so far, in ticks of 10 ms.
    [[nodiscard]] long computed() const
    {
        std::ifstream stat(fmt::format("/proc/{}/stat", this->process->id()));
        const std::string text(std::istreambuf_iterator<char>(stat), {});
        std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
        std::string skipped;
        for (int i = 0; i < 11; ++i) {
            fields >> skipped;
        }
        long user = 0;
        long system = 0;
        fields >> user >> system;
        return user + system;
    }

    [[nodiscard]] std::size_t descriptors() const
    {
        const std::filesystem::directory_iterator all(fmt::format("/proc/{}/fd", this->process->id()));
        return static_cast<std::size_t>(std::distance(begin(all), end(all)));
    }

    /// @returns whether one ordinary request is answered with 200. Like other callers it repeats what was refused as
    /// not run.
    bool answersRequest(const std::string &body = "{\"model\":\"m\"}")
    {
        for (int attempt = 0; attempt < 5; ++attempt) {
            const std::size_t call = this->world.ask("/again/x", {}, "POST", body);
            const auto isOver = [&] { return this->world.answer(call).whole || this->world.answer(call).failed; };
            if (this->world.until(isOver, 10s) && this->world.answer(call).status == 200) {
                return true;
            }
        }
        return false;
    }

    /// Lets the runners answer all requests with @p body.
    void answerWith(const std::string &body)
    {
        this->setScript(
            [body](const ReceivedRequest &request) { return RunnerStandin::Reply {answerTo(request, 200, body)}; });
    }

    /// Lets the runners answer no request.
    void answerNothing()
    {
        this->setScript([](const ReceivedRequest &) {
            return RunnerStandin::Reply {"", RunnerStandin::Reply::Then::Hang};
        });
    }

    /// Lets the runners read slowly, or as usual again.
    void setSlowReading(bool isSlow)
    {
        for (const auto &runner : this->world.runners) {
            isSlow ? runner->readSlowly() : runner->readOn();
        }
    }

    [[nodiscard]] int port()
    {
        return this->world.callerPort();
    }

    World world;

private:
    void setScript(const RunnerStandin::Script &script)
    {
        for (const auto &runner : this->world.runners) {
            runner->script = script;
        }
    }

    std::string writeSettings(const std::string &limits)
    {
        const WorldHost &host = this->world.hosts[0];
        return this->directory.write(
            "host.yaml",
            fmt::format("host: \"{}\"\nregion: \"r\"\nfailure_domain: \"z\"\nlisten:\n  callers: \"127.0.0.1:{}\"\n"
                        "  readiness: \"127.0.0.1:{}\"\n  peers: \"127.0.0.1:0\"\n  metrics: \"127.0.0.1:0\"\n"
                        "log:\n  address: \"127.0.0.1:{}\"\nfirst_start: true\n{}",
                        host.name,
                        host.callerPort,
                        host.readinessPort,
                        host.store->server->port(),
                        limits));
    }

    void start(const std::string &settings, bool fewDescriptors)
    {
        const auto low = fewDescriptors ? std::make_unique<LowDescriptorLimit>() : nullptr;
        this->process = std::make_unique<harness::Process>(
            std::vector<std::string> {harness::builtProgram("platform/endivespan-platform"), settings});
    }

    harness::TempDir directory;
    std::unique_ptr<harness::Process> process;
};

/// What each client of a crowd sends before it falls silent with its connection open.
struct CrowdPlan {
    std::string what;
    std::size_t clients;
    std::size_t piece; ///< Bytes that a client sends before the next one has its turn.
    std::string bytes;
};

/// Clients that all send the same bytes and read nothing.
class Crowd
{
public:
    Crowd(int port, const CrowdPlan &plan)
        : plan(plan)
    {
        for (std::size_t i = 0; i < plan.clients; ++i) {
            const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in place {};
            place.sin_family = AF_INET;
            place.sin_port = htons(static_cast<std::uint16_t>(port));
            place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            REQUIRE(connect(socket, reinterpret_cast<const sockaddr *>(&place), sizeof(place)) == 0);
            this->members.push_back({socket, 0});
        }
    }

    ~Crowd()
    {
        for (const Member &member : this->members) {
            close(member.socket);
        }
    }

    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Sends what the sockets accept now. @returns whether any client has sent something.
    bool send()
    {
        bool moved = false;
        for (Member &member : this->members) {
            const std::size_t most = std::min(this->plan.piece, this->plan.bytes.size() - member.sent);
            if (most == 0) {
                continue;
            }
            const ssize_t size
                = ::send(member.socket, this->plan.bytes.data() + member.sent, most, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (size > 0) {
                member.sent += static_cast<std::size_t>(size);
                moved = true;
            } else if (size < 0 && errno != EAGAIN && errno != EINTR) {
                member.sent = this->plan.bytes.size(); // Refused or closed by the host.
            }
        }
        return moved;
    }

private:
    struct Member {
        int socket;
        std::size_t sent;
    };

    const CrowdPlan &plan;
    std::vector<Member> members;
};

std::string head(const std::string &framing)
{
    return "POST /again/x HTTP/1.1\r\nHost: h.example\r\nX-Endivespan-Request-Id: crowd\r\nApi-Key: key\r\n" + framing
        + "\r\n\r\n";
}

/// A whole request with a body of @p size bytes.
std::string complete(const std::string &path, std::size_t size)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Endivespan-Request-Id: crowd\r\nApi-Key: key\r\n"
        + "Content-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x');
}

/// A body of @p size bytes without its last byte.
std::string announced(std::size_t size)
{
    return head("Content-Length: " + std::to_string(size)) + std::string(size - 1, 'x');
}

/// A body of @p size bytes in chunks without the one that ends it.
std::string chunked(std::size_t size, std::size_t chunk)
{
    std::string bytes = head("Transfer-Encoding: chunked");
    const std::string one = fmt::format("{:x}\r\n", chunk) + std::string(chunk, 'x') + "\r\n";
    for (std::size_t sent = 0; sent < size; sent += chunk) {
        bytes += one;
    }
    return bytes;
}

/// Lets the crowd send until its bytes no longer move.
/// @returns the most descriptors that the host had open meanwhile.
std::size_t sendAll(HostUnderCrowd &host, Crowd &crowd)
{
    std::size_t most = 0;
    // What the sockets have accepted is not yet read by the host. It has read everything once it no longer computes.
    for (bool isOver = false; !isOver && host.isAlive();) {
        const long before = host.computed();
        isOver = true;
        for (int round = 0; round < 50; ++round) {
            isOver = !crowd.send() && isOver;
            host.world.runFor(2ms);
            most = std::max(most, host.descriptors());
        }
        isOver = isOver && host.computed() - before < BusyTicks;
    }
    return most;
}

/// Memory of the smallest machine, as the settings of its host name it.
const std::string SmallMachine = "limits: {memory: 96MiB}\n";

/// Checks the host beside a crowd that has sent all that it can.
void checkBounds(HostUnderCrowd &host,
                 const std::string &what,
                 std::size_t mostDescriptors,
                 std::size_t memoryBound = MemoryBound,
                 std::size_t descriptorBound = CrowdDescriptorBound)
{
    CHECK(host.isAlive());
    MESSAGE(what, ": peak of ", host.memoryPeak() / 1'000'000, " MB, ", mostDescriptors, " descriptors");
    CHECK(host.memoryPeak() < memoryBound);
    CHECK(mostDescriptors < descriptorBound);
}

/// Checks the host in the middle of the crowd and behind it.
void withstand(HostUnderCrowd &host, const CrowdPlan &plan, std::size_t memoryBound = MemoryBound)
{
    INFO(plan.what);
    Crowd crowd(host.port(), plan);
    const std::size_t most = sendAll(host, crowd);
    CHECK(host.isAlive());
    CHECK(host.answersRequest());
    checkBounds(host, plan.what, most, memoryBound, DescriptorBound);
}

} // namespace

// Each of the following guards against a host that outgrows its machine under clients that send large bodies and do
// not end them. The host is a process, so that its memory is its own.

TEST_CASE("a crowd of callers with whole large bodies that stop short of their end leaves a host within its memory")
{
    HostUnderCrowd host;
    withstand(host, {"60 whole bodies", 60, BodyLimit, announced(BodyLimit)});
}

TEST_CASE("a crowd of callers that send large bodies in pieces leaves a host within its memory")
{
    HostUnderCrowd host;
    withstand(host, {"60 bodies in pieces", 60, 16 * KiB, announced(BodyLimit)});
}

TEST_CASE("a crowd of callers with large bodies in large chunks leaves a host within its memory")
{
    HostUnderCrowd host;
    withstand(host, {"60 bodies in large chunks", 60, 64 * KiB, chunked(BodyLimit, 256 * KiB)});
}

TEST_CASE("a crowd of callers with bodies in chunks of one byte leaves a host within its memory")
{
    HostUnderCrowd host;
    withstand(host, {"150 bodies in chunks of one byte", 150, 64 * KiB, chunked(900 * KiB, 1)});
}

TEST_CASE("a crowd of callers with bodies far over the limit leaves a host within its memory")
{
    HostUnderCrowd host;
    withstand(host, {"40 bodies far over the limit in chunks", 40, MiB, chunked(4 * BodyLimit, 256 * KiB)});
    withstand(host, {"60 bodies that announce too much", 60, MiB, announced(16 * BodyLimit).substr(0, 2 * MiB)});
}

// Guards against a limit that ignores the memory of the machine, and against one that refuses the largest legal
// request.
TEST_CASE("a crowd of callers leaves a host within the quarter of its memory that its settings allow")
{
    HostUnderCrowd host("limits: {memory: 96MiB}\n");
    CHECK(host.answersRequest(std::string(BodyLimit, 'x')));
    withstand(host, {"60 bodies in pieces, 96 MiB", 60, 16 * KiB, announced(BodyLimit)}, SmallMemoryBound);
    withstand(
        host, {"60 bodies in large chunks, 96 MiB", 60, 64 * KiB, chunked(BodyLimit, 256 * KiB)}, SmallMemoryBound);
}

// Guards against a host without descriptors for its servers and its other callers.
TEST_CASE("a crowd of callers with incomplete requests leaves a host descriptors for others")
{
    HostUnderCrowd host("", true);
    withstand(host, {"400 short bodies", 400, 4 * KiB, announced(2 * KiB)});
    withstand(host, {"400 heads without an end", 400, 4 * KiB, "POST /again/x HTTP/1.1\r\nHost: h.example\r\n"});
}

// Guards against copies of complete requests, which no caller's end frees, while servers read them slowly. Each
// request is sent to a second server meanwhile.
TEST_CASE("a crowd of callers with complete large bodies leaves a host within its memory while servers read slowly")
{
    HostUnderCrowd host(SmallMachine, false, 4);
    host.setSlowReading(true);
    CHECK(host.answersRequest());
    const CrowdPlan plan {"4 times 24 complete bodies", 24, MiB, complete("/again/x", BodyLimit)};
    std::vector<std::unique_ptr<Crowd>> crowds;
    std::size_t most = 0;
    for (int round = 0; round < 4; ++round) {
        crowds.push_back(std::make_unique<Crowd>(host.port(), plan));
        most = std::max(most, sendAll(host, *crowds.back()));
    }
    checkBounds(host, plan.what, most);
    host.setSlowReading(false);
    CHECK(host.answersRequest());
    checkBounds(host, plan.what, most);
}

// Guards against requests that are no longer counted once their caller has left, although they still run.
TEST_CASE("callers that leave behind complete large bodies leave a host within its memory while servers read slowly")
{
    HostUnderCrowd host(SmallMachine, false, 4);
    host.setSlowReading(true);
    std::size_t most = 0;
    const CrowdPlan plan {"10 times 8 complete bodies", 8, MiB, complete("/once/x", BodyLimit)};
    for (int round = 0; round < 10; ++round) {
        Crowd crowd(host.port(), plan);
        most = std::max(most, sendAll(host, crowd));
    }
    checkBounds(host, plan.what, most);
    host.setSlowReading(false);
    CHECK(host.answersRequest());
    checkBounds(host, plan.what, most);
}

// Guards against header fields that need many times their size in memory.
TEST_CASE("a crowd of callers with thousands of short header fields leaves a host within its memory")
{
    std::string fields = "Content-Length: 2";
    for (int field = 0; fields.size() < 30 * KiB; ++field) {
        fields += fmt::format("\r\n{:x}:", field + 0xa000);
    }
    HostUnderCrowd host(SmallMachine);
    for (const bool isComplete : {false, true}) {
        if (isComplete) {
            host.answerNothing();
        }
        const CrowdPlan plan {isComplete ? "300 complete requests with many fields" : "300 requests with many fields",
                              300,
                              64 * KiB,
                              head(fields) + (isComplete ? "{}" : "{")};
        Crowd crowd(host.port(), plan);
        const std::size_t most = sendAll(host, crowd);
        host.answerWith("done");
        if (isComplete) {
            host.world.runFor(RouteTimeout); // Those that no server answers are over then.
        }
        CHECK(host.answersRequest());
        checkBounds(host, plan.what, most);
    }
}

// Guards against a field that names thousands of prompt parts, each of which needs many times its size in memory.
TEST_CASE("a crowd of callers with thousands of prompt parts leaves a host within its memory")
{
    std::string fields = "X-Endivespan-Model: m\r\nX-Endivespan-Token-Count: 700,20\r\nContent-Length: 2\r\n"
                         "X-Endivespan-Prompt-Prefix: 1:1";
    for (int part = 0; fields.size() < 30 * KiB; ++part) {
        fields += fmt::format(",{:x}:1", part % 15 + 1);
    }
    HostUnderCrowd host(SmallMachine, false, 2);
    host.answerNothing();
    const CrowdPlan plan {"300 complete requests with many parts", 300, 64 * KiB, head(fields) + "{}"};
    Crowd crowd(host.port(), plan);
    const std::size_t most = sendAll(host, crowd);
    host.answerWith("done");
    host.world.runFor(RouteTimeout); // Those that no server answers are over then.
    CHECK(host.answersRequest());
    checkBounds(host, plan.what, most);
}

// Guards against answers to requests that were sent ahead, which pile up when their callers read nothing.
TEST_CASE("a crowd of callers that send requests ahead and read nothing leaves a host within its memory")
{
    HostUnderCrowd host(SmallMachine);
    host.answerWith(std::string(64 * KiB, 'x'));
    std::string ahead;
    for (int request = 0; request < 200; ++request) {
        ahead += complete("/again/x", 0);
    }
    withstand(host, {"40 times 200 requests ahead", 40, 16 * KiB, ahead});
}

// Guards against long answers that are held for callers that do not read them.
TEST_CASE("a crowd of callers that do not read their long answers leaves a host within its memory")
{
    HostUnderCrowd host(SmallMachine);
    host.answerWith(std::string(2 * MiB, 'x'));
    withstand(host, {"100 unread answers of 2 MiB", 100, 16 * KiB, complete("/again/x", 0)});
}
