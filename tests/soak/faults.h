#pragma once

#include "cluster.h"
#include "verdict.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

/// Faults at random times, each undone after a while; several may overlap.
namespace endivespan::soak {

/// Injects faults until it is told to stop.
class FaultMaker
{
public:
    FaultMaker(Loop &loop, Cluster &cluster, std::mt19937_64 &random, Verdict &verdict);

    void start();

    /// Starts no further fault; those under way are still undone.
    void stop();

    /// @returns faults that are not undone yet.
    [[nodiscard]] std::size_t underWay() const;

private:
    struct Kind {
        std::string name;
        std::function<void()> inject;
    };

    void injectOne();
    void undoAfter(std::chrono::milliseconds time, std::function<void()> undo);
    std::chrono::milliseconds between(int lowMs, int highMs);
    ClusterHost *pickRunningHost();
    std::string pick(const std::string &prefix, std::size_t count);
    void control(const std::string &name, const harness::json &settings);

    void killHost();
    void pauseHost();
    void stopHost();
    void setFor(const std::string &name, const harness::json &on, const harness::json &off, int lowMs, int highMs);
    void takeOutDomain();
    void returnDomain(const std::string &domain);

    Loop &loop;
    Cluster &cluster;
    std::mt19937_64 &random;
    Verdict &verdict;
    std::vector<Kind> kinds;
    std::vector<std::unique_ptr<Timer>> undos;
    std::unique_ptr<Timer> nextFault;
    std::size_t pendingUndos = 0;
    bool domainOut = false;
    bool stopped = false;
};

} // namespace endivespan::soak
