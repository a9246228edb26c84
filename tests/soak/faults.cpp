#include "faults.h"

#include <endivespan/log.h>

#include <csignal>
#include <utility>

namespace endivespan::soak {

using harness::json;

FaultMaker::FaultMaker(Loop &loop, Cluster &cluster, std::mt19937_64 &random, Verdict &verdict)
    : loop(loop)
    , cluster(cluster)
    , random(random)
    , verdict(verdict)
{
    this->kinds = {
        {"kill_host", [this] { this->killHost(); }},
        {"pause_host", [this] { this->pauseHost(); }},
        {"stop_host", [this] { this->stopHost(); }},
        {"restart_runner",
         [this] {
             this->control(this->pick("puhuja-", 20), {{"restart", true}});
         }},
        {"restart_order_server",
         [this] {
             this->control(this->pick("verstas-", 3), {{"restart", true}});
         }},
        {"cold_runner",
         [this] {
             this->control(this->pick("puhuja-", 20), {{"cold", true}});
         }},
        {"silent_streams",
         [this] {
             this->control(this->pick("puhuja-", 20), {{"silent_streams", true}});
         }},
        {"crash_after_run",
         [this] {
             this->control(this->pick("verstas-", 3), {{"crash_after", 1}});
         }},
        {"crash_before_run",
         [this] {
             this->control(this->pick("verstas-", 3), {{"crash_before", 1}});
         }},
        {"silent_order",
         [this] {
             this->control(this->pick("verstas-", 3), {{"silent_next", 1}});
         }},
        {"restart_store",
         [this] {
             this->control(this->random() % 2 == 0 ? "muisti-a" : "muisti-b", {{"restart", true}});
         }},
        {"freeze_runner",
         [this] {
             this->setFor(this->pick("puhuja-", 20), {{"freeze", true}}, {{"freeze", false}}, 1000, 8000);
         }},
        {"log_outage",
         [this] {
             this->setFor("log", {{"outage", "refuse"}}, {{"outage", "none"}}, 500, 8000);
         }},
        {"log_silent",
         [this] {
             this->setFor("log", {{"outage", "silent"}}, {{"outage", "none"}}, 500, 6000);
         }},
        {"log_loses_answers",
         [this] {
             this->control("log", {{"lose_answers", 1 + this->random() % 5}});
         }},
        {"take_out_domain", [this] { this->takeOutDomain(); }},
    };
}

void FaultMaker::start()
{
    this->nextFault = this->loop.after(this->between(500, 3000), [this] { this->injectOne(); });
}

void FaultMaker::stop()
{
    this->stopped = true;
    this->nextFault.reset();
}

std::size_t FaultMaker::underWay() const
{
    return this->pendingUndos;
}

std::chrono::milliseconds FaultMaker::between(int lowMs, int highMs)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(lowMs, highMs)(this->random));
}

void FaultMaker::injectOne()
{
    const Kind &kind = this->kinds[this->random() % this->kinds.size()];
    logLine("soak", "fault {}", kind.name);
    this->verdict.count("fault_" + kind.name);
    kind.inject();
    if (!this->stopped) {
        this->start();
    }
}

void FaultMaker::undoAfter(std::chrono::milliseconds time, std::function<void()> undo)
{
    ++this->pendingUndos;
    this->undos.push_back(this->loop.after(time, [this, undo = std::move(undo)] {
        undo();
        --this->pendingUndos;
    }));
}

ClusterHost *FaultMaker::pickRunningHost()
{
    std::vector<ClusterHost *> running;
    for (ClusterHost &host : this->cluster.hosts()) {
        if (host.process && host.ready) {
            running.push_back(&host);
        }
    }
    // Half of the hosts always stay, or the run would only measure an outage.
    if (running.size() * 2 <= this->cluster.hosts().size()) {
        return nullptr;
    }
    return running[this->random() % running.size()];
}

std::string FaultMaker::pick(const std::string &prefix, std::size_t count)
{
    return prefix + std::to_string(1 + this->random() % count);
}

void FaultMaker::control(const std::string &name, const json &settings)
{
    this->cluster.standins().control(name, settings);
}

void FaultMaker::setFor(const std::string &name, const json &on, const json &off, int lowMs, int highMs)
{
    this->control(name, on);
    this->undoAfter(this->between(lowMs, highMs), [this, name, off] { this->control(name, off); });
}

void FaultMaker::killHost()
{
    ClusterHost *host = this->pickRunningHost();
    if (host == nullptr) {
        return;
    }
    host->process.reset();
    host->ready = false;
    const auto index = static_cast<std::size_t>(host - this->cluster.hosts().data());
    this->undoAfter(this->between(500, 3000), [this, index] { this->cluster.startHost(index); });
}

void FaultMaker::pauseHost()
{
    ClusterHost *host = this->pickRunningHost();
    if (host == nullptr) {
        return;
    }
    host->process->process().signal(SIGSTOP);
    host->ready = false;
    const auto index = static_cast<std::size_t>(host - this->cluster.hosts().data());
    this->undoAfter(this->between(500, 9000), [this, index] {
        if (const auto &paused = this->cluster.hosts()[index]; paused.process) {
            paused.process->process().signal(SIGCONT);
        }
    });
}

void FaultMaker::stopHost()
{
    ClusterHost *host = this->pickRunningHost();
    if (host == nullptr) {
        return;
    }
    host->process->process().signal(SIGTERM);
    const auto index = static_cast<std::size_t>(host - this->cluster.hosts().data());
    // Longer than any answer of the run may take, so that the exit status is there without a wait.
    this->undoAfter(std::chrono::seconds(20), [this, index] {
        ClusterHost &stopped = this->cluster.hosts()[index];
        if (const auto status = stopped.process->process().waitExit(); status != 0) {
            this->verdict.find(stopped.name + " did not stop with status 0 after SIGTERM");
        }
        stopped.process.reset();
        this->cluster.startHost(index);
    });
}

void FaultMaker::takeOutDomain()
{
    if (this->domainOut) {
        return;
    }
    this->domainOut = true;
    static const std::vector<std::string> Names {"hame-a", "hame-b", "hame-c"};
    const std::string &domain = Names[this->random() % Names.size()];
    ++this->pendingUndos;
    this->cluster.publishDomain(domain, ServiceState::TakenOut, [this, domain] {
        --this->pendingUndos;
        this->undoAfter(this->between(6000, 15000), [this, domain] { this->returnDomain(domain); });
    });
}

void FaultMaker::returnDomain(const std::string &domain)
{
    ++this->pendingUndos;
    this->cluster.publishDomain(domain, ServiceState::InService, [this] {
        --this->pendingUndos;
        this->domainOut = false;
    });
}

} // namespace endivespan::soak
