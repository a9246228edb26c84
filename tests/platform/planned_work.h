#pragma once

#include "raw_caller.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// A seeded soak of planned work (stops, reloads, changes of the configuration) beside servers that fall silent.
namespace endivespan::tests {

/// What a soak draws, and what its runners and callers have counted.
struct Draws {
    std::mt19937_64 engine;
    std::set<std::string> seen {}; ///< Ids of the requests that any runner has received.
    std::map<std::string, std::size_t> counts {};

    std::size_t index(std::size_t count);
    std::chrono::milliseconds time(std::chrono::milliseconds least, std::chrono::milliseconds most);
};

/// Sends the events of its streams one by one, and nothing while it is silent. RunnerStandin sends an answer in two
/// pieces at most, so that it could not fall silent in the middle of all of its streams.
class PacedRunner
{
public:
    PacedRunner(Loop &loop, Draws &draws);

    std::string address;
    TimePoint silentUntil {};

private:
    struct Job {
        std::shared_ptr<HttpExchange> exchange;
        HttpHeaders fields;
        int next; ///< Number of the next event.
        std::size_t rest; ///< Periods of work before the answer to a request that is no stream.
        bool isRefused;
        bool hasHead = false;
    };

    void take(const std::shared_ptr<HttpExchange> &exchange);
    void work();
    void work(Job &job);

    Loop &loop;
    Draws &draws;
    std::deque<Job> jobs; ///< A reference to one stays valid when another one is added.
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<Timer> pace;
};

/// The hosts of a soak, in the process of the test or in processes of their own. Their ports are in World::hosts.
class SoakHosts
{
public:
    virtual ~SoakHosts() = default;

    /// @returns how many hosts may be stopping or away at a time.
    [[nodiscard]] virtual std::size_t stopsAtOnce() const = 0;
    virtual void beginStop(std::size_t host) = 0;
    [[nodiscard]] virtual bool hasStopped(std::size_t host) = 0;
    /// Removes what is left of a host that has stopped.
    virtual void end(std::size_t host) = 0;
    virtual void restart(std::size_t host) = 0;
    /// Reloads the settings of a host, with @p moreSlack for retries.
    virtual void reload(std::size_t host, double moreSlack) = 0;
    /// @returns what the host has logged about a request, for a failed check.
    [[nodiscard]] virtual std::string linesOf(const std::string &request) = 0;
};

/// A caller that closes its sending direction behind its request, or reads nothing for some seconds.
struct RawCall {
    std::unique_ptr<RawSocket> socket;
    std::string id;
    std::size_t host = 0;
    std::string path;
    bool endsSending = false;
    TimePoint sent;
    TimePoint readsFrom;
    std::string got;
};

/// Callers, silent servers and planned work over the hosts of a world.
class Soak
{
public:
    static constexpr std::size_t Hosts = 3;
    static constexpr std::size_t Runners = 6;
    static constexpr std::chrono::milliseconds StopTime {3000};

    /// @param world Has the runners listed and the ports of the hosts set.
    Soak(Draws &draws, World &world, SoakHosts &hosts);

    /// Runs the soak, and checks the answer to each request.
    void run();

private:
    struct Call {
        std::size_t number = 0; ///< Index into World::answers.
        std::size_t host = 0;
        std::string path;
        TimePoint sent;
    };

    struct Stop {
        std::size_t host;
        TimePoint begun;
        TimePoint ended = TimePoint::max();
        TimePoint restartAt = TimePoint::max();
        bool restarted = false;
        bool over = false; ///< The host is ready again.
    };

    void configure();
    bool isDue(TimePoint &at, std::chrono::milliseconds least, std::chrono::milliseconds most);
    void disturb();
    void beginStop(TimePoint now);
    void followStops();
    [[nodiscard]] bool isStopping(std::size_t host) const;
    [[nodiscard]] bool isAway(std::size_t host) const;
    std::size_t usableHost();
    std::string drawPath();
    void serveCallers(bool goOn);
    void serveRawCallers(bool goOn);
    void startRawCall(std::optional<RawCall> &call);
    void judge(const Call &call, const CallerAnswer &answer);
    void judge(const RawCall &call);
    [[nodiscard]] std::string failure(std::size_t host, TimePoint sent, bool hasBegun) const;

    Draws &draws;
    World &world;
    SoakHosts &hosts;
    std::vector<std::unique_ptr<PacedRunner>> runners;
    std::vector<std::optional<Call>> open;
    std::vector<std::optional<RawCall>> openRaw;
    std::size_t rawCalls = 0;
    std::vector<Stop> stops;
    TimePoint begin;
    TimePoint nextSilence;
    TimePoint nextChange;
    TimePoint nextReload;
    TimePoint nextStop;
};

/// Runs @p soakSeed for each seed that the environment names in ENDIVESPAN_SOAK_SEEDS, or for @p seeds.
void soakSeeds(std::size_t seeds, const std::function<void(Draws &)> &soakSeed);

} // namespace endivespan::tests
