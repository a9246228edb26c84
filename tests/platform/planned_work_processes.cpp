#include "harness.h"
#include "planned_work.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

constexpr double RetrySlack = 100;

/// One endivespan-platform. Its lines are read by a thread, so that it never waits for the test.
class HostChild
{
public:
    explicit HostChild(const std::string &settings)
        : process({harness::builtProgram("platform/endivespan-platform"), settings})
        , reader([this] { this->readLines(); })
    {
    }

    ~HostChild()
    {
        this->process.signal(SIGKILL);
        this->reader.join();
    }

    HostChild(const HostChild &) = delete;
    HostChild &operator=(const HostChild &) = delete;

    std::vector<std::string> lines()
    {
        const std::lock_guard<std::mutex> lock(this->guard);
        return this->read;
    }

    harness::Process process;
    std::atomic<bool> isOver = false; ///< Its output has ended.

private:
    void readLines()
    {
        while (const auto line = this->process.readLine()) {
            const std::lock_guard<std::mutex> lock(this->guard);
            this->read.push_back(*line);
        }
        this->isOver = true;
    }

    std::mutex guard;
    std::vector<std::string> read;
    std::thread reader;
};

/// Hosts as processes of the platform's program.
class ProcessHosts : public SoakHosts
{
public:
    explicit ProcessHosts(World &world)
        : world(world)
    {
        this->world.hosts.resize(Soak::Hosts);
        for (std::size_t i = 0; i < Soak::Hosts; ++i) {
            WorldHost &host = this->world.hosts[i];
            host.name = "host-" + std::to_string(i + 1);
            host.store = &this->world.store.addAccess();
            host.callerPort = freePort();
            host.readinessPort = freePort();
            this->start(i, true);
        }
        for (std::size_t i = 0; i < Soak::Hosts; ++i) {
            REQUIRE(this->world.until([this, i] { return this->world.isReady(i); }));
        }
        this->world.runFor(config::HostReadAgain + 100ms);
    }

    ~ProcessHosts() override
    {
        this->world.hosts.clear();
    }

    ProcessHosts(const ProcessHosts &) = delete;
    ProcessHosts &operator=(const ProcessHosts &) = delete;

    std::size_t stopsAtOnce() const override
    {
        return 2;
    }

    void beginStop(std::size_t host) override
    {
        this->children[host]->process.signal(SIGTERM);
    }

    bool hasStopped(std::size_t host) override
    {
        return this->children[host]->isOver;
    }

    void end(std::size_t host) override
    {
        CHECK(this->children[host]->process.waitExit() == 0);
        this->keepLines(host);
        this->children[host].reset();
    }

    void restart(std::size_t host) override
    {
        this->start(host, false);
    }

    void reload(std::size_t host, double moreSlack) override
    {
        (void)this->writeSettings(host, false, RetrySlack + moreSlack);
        this->children[host]->process.signal(SIGHUP);
    }

    std::string linesOf(const std::string &request) override
    {
        std::string found;
        for (std::size_t i = 0; i < this->children.size(); ++i) {
            this->keepLines(i);
        }
        for (const std::string &line : this->lines) {
            found += line.find("request=" + request + " ") != std::string::npos ? line + "\n" : "";
        }
        return found;
    }

    /// Checks that no host took a caller for gone. The callers of a soak wait for their answers.
    void checkCallers()
    {
        for (std::size_t i = 0; i < this->children.size(); ++i) {
            this->keepLines(i);
        }
        for (const std::string &line : this->lines) {
            INFO(line);
            CHECK((line.find("outcome=caller_gone") == std::string::npos
                   || line.find("closed its sending direction") != std::string::npos));
            CHECK(line.find("event=invariant_violated") == std::string::npos);
        }
    }

private:
    std::string writeSettings(std::size_t index, bool firstStart, double slack)
    {
        const WorldHost &host = this->world.hosts[index];
        const std::string text = fmt::format(
            "host: \"{}\"\nregion: \"r\"\nfailure_domain: \"z\"\nlisten:\n  callers: \"127.0.0.1:{}\"\n"
            "  readiness: \"127.0.0.1:{}\"\n  peers: \"127.0.0.1:0\"\n  metrics: \"127.0.0.1:0\"\n"
            "log:\n  address: \"127.0.0.1:{}\"\nfirst_start: {}\nbounds:\n  stop_time: {}ms\n  retry_slack: {}\n",
            host.name,
            host.callerPort,
            host.readinessPort,
            host.store->server->port(),
            firstStart,
            Soak::StopTime.count(),
            slack);
        return this->directory.write(host.name + ".yaml", text);
    }

    void start(std::size_t host, bool firstStart)
    {
        this->children.resize(Soak::Hosts);
        this->children[host] = std::make_unique<HostChild>(this->writeSettings(host, firstStart, RetrySlack));
    }

    void keepLines(std::size_t host)
    {
        if (this->children[host]) {
            const auto more = this->children[host]->lines();
            this->lines.insert(this->lines.end(), more.begin(), more.end());
        }
    }

    World &world;
    harness::TempDir directory;
    std::vector<std::unique_ptr<HostChild>> children;
    std::vector<std::string> lines;
};

} // namespace

// Guards against what only the program itself does around planned work: signals, exits, restarts at the same address.
TEST_CASE("planned work of real processes beside servers that fall silent costs no request its answer")
{
    soakSeeds(4, [](Draws &draws) {
        World world(Soak::Runners, 0);
        ProcessHosts hosts(world);
        Soak(draws, world, hosts).run();
        hosts.checkCallers();
    });
}
