#include "../rig-2/rig.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>

// Three hosts and three plain servers, and a sound read that many callers share. All servers crash once at the same
// moment and come back after 3 s. Later, as the final fault, all hosts are killed and start again. The read must be
// served after that.

using namespace rig;
using namespace std::chrono_literals;

namespace {

constexpr int HostCount = 3;
constexpr int ServerCount = 3;
constexpr int Clients = 45;
constexpr auto RequestPeriod = 450ms; ///< Of each client.
constexpr auto RunTime = 400ms;
constexpr auto CalmTime = 30s;
constexpr auto ServersDownTime = 3s;
constexpr auto BetweenFaults = 15s;
constexpr auto HostsDownTime = 1s;
constexpr auto RecoverTime = 12s;
constexpr auto MeasuredTime = 10s;

struct Counts {
    std::atomic<int> asked = 0;
    std::atomic<int> served = 0;
    std::atomic<int> refused = 0;
};

/// A plain server that can crash and start again.
class Server
{
public:
    Server(Store &store, std::atomic<int> &runs, int number)
        : store(store)
        , runs(runs)
        , id("i-" + std::to_string(number))
    {
        this->start();
    }

    void start()
    {
        this->runner = std::make_unique<Runner>(
            this->store, this->id, "orders", "", [&runs = this->runs](Channel &channel, const Message &request) {
                ++runs;
                std::this_thread::sleep_for(RunTime);
                channel.send(sealed(request, 200, "stock"));
            });
    }

    void crash()
    {
        this->runner.reset();
    }

private:
    Store &store;
    std::atomic<int> &runs;
    std::string id;
    std::unique_ptr<Runner> runner;
};

using Phase = std::atomic<Counts *>;

void askAgain(const std::atomic<int> &port, int number, const std::atomic<bool> &over, const Phase &phase)
{
    int asked = 0;
    auto next = Clock::now() + number * RequestPeriod / Clients;
    while (!over) {
        std::this_thread::sleep_until(next);
        next = std::max(next + RequestPeriod, Clock::now());
        Counts &counts = *phase.load();
        ++counts.asked;
        const std::string id = "q" + std::to_string(number) + "-" + std::to_string(++asked);
        if (const auto channel = connectTo(port)) {
            channel->send(requestHead("GET", "/stock/list", id, "key-1", 1500, "\r\n"));
            const auto answer = channel->receive(2s);
            counts.served += answer && answer->status() == 200 && answer->whole ? 1 : 0;
            counts.refused += answer && answer->status() == 503 ? 1 : 0;
        }
    }
}

std::string textOf(const Counts &counts)
{
    return std::to_string(counts.served) + " of " + std::to_string(counts.asked) + " served, "
        + std::to_string(counts.refused) + " refused with 503";
}

/// The stand-ins and processes of the case.
class Deployment
{
public:
    explicit Deployment(const std::string &recordPath)
        : record(recordPath)
    {
        const ConfigRoute route {"/stock/", "idempotent", "orders", 1500, 2};
        this->store.put("keyed.op", "config", config(1, {route}, {{"t1", "key-1"}}));
        this->servers.reserve(ServerCount);
        for (int i = 0; i < ServerCount; ++i) {
            this->servers.push_back(std::make_unique<Server>(this->store, this->runs, i));
        }
    }

    bool startHosts(bool isFirst)
    {
        bool isReady = true;
        for (int i = 0; i < HostCount; ++i) {
            this->hosts.push_back(
                std::make_unique<Host>(this->store, Host::Options {"host-" + std::to_string(i), "z1", 182, isFirst}));
            this->ports[static_cast<std::size_t>(i)] = this->hosts.back()->callerPort();
        }
        for (const auto &host : this->hosts) {
            isReady = host->awaitReady() && isReady;
        }
        return isReady;
    }

    void startClients()
    {
        for (int i = 0; i < Clients; ++i) {
            this->clients.emplace_back([this, i] {
                askAgain(this->ports[static_cast<std::size_t>(i % HostCount)], i, this->over, this->phase);
            });
        }
    }

    void crashServers()
    {
        this->record.line("all servers crash");
        std::vector<std::thread> crashes;
        for (const auto &server : this->servers) {
            crashes.emplace_back([&server] { server->crash(); });
        }
        for (std::thread &crash : crashes) {
            crash.join();
        }
    }

    void returnServers()
    {
        for (const auto &server : this->servers) {
            server->start();
        }
        this->record.line("all servers are back");
    }

    bool replaceHosts()
    {
        this->record.line("all hosts are killed");
        this->hosts.clear();
        std::this_thread::sleep_for(HostsDownTime);
        const bool isReady = this->startHosts(false);
        this->record.line("all hosts are back");
        return isReady;
    }

    void measure(Counts &counts)
    {
        this->phase = &counts;
    }

    /// Ends everything but the stand-ins. @returns the exit code.
    int finish(bool isReady)
    {
        this->over = true;
        for (std::thread &client : this->clients) {
            client.join();
        }
        this->hosts.clear();
        this->record.line("before the final fault: " + textOf(this->before) + "; of these since the servers are back: "
                          + textOf(this->back) + "; in recover_s after it: " + textOf(this->between)
                          + "; later: " + textOf(this->after) + "; run " + std::to_string(this->runs));
        const int asked = this->before.asked + this->back.asked;
        const int served = this->before.served + this->back.served;
        const bool broken = 4 * this->after.served < this->after.asked && 4 * served >= asked;
        if (broken) {
            this->record.line("BROKEN (RECOVER): less than a quarter is served, though a quarter was before");
        }
        if (!isReady || this->before.served == 0) {
            return 2;
        }
        return broken ? 1 : 0;
    }

    Counts before; ///< Until the servers are back.
    Counts back; ///< From then on until the final fault.
    Counts between;
    Counts after;

private:
    Record record;
    std::atomic<int> runs = 0;
    Store store;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::atomic<int>> ports = std::vector<std::atomic<int>>(HostCount);
    Phase phase = &this->before;
    std::atomic<bool> over = false;
    std::vector<std::thread> clients;
};

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Deployment deployment(argc > 1 ? argv[1] : "record.txt");
    bool isReady = deployment.startHosts(true);
    deployment.startClients();
    std::this_thread::sleep_for(CalmTime);
    if (hasTrouble()) {
        deployment.crashServers();
    }
    std::this_thread::sleep_for(ServersDownTime);
    if (hasTrouble()) {
        deployment.returnServers();
    }
    deployment.measure(deployment.back);
    std::this_thread::sleep_for(BetweenFaults);
    if (hasTrouble()) {
        isReady = deployment.replaceHosts() && isReady;
    }
    deployment.measure(deployment.between);
    std::this_thread::sleep_for(RecoverTime);
    deployment.measure(deployment.after);
    std::this_thread::sleep_for(MeasuredTime);
    std::_Exit(deployment.finish(isReady));
}
