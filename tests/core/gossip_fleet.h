#pragma once

#include <endivespan/config.h>
#include <endivespan/gossip.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Simulation of a fleet of gossiping hosts in one process, with a network and a log that a test can interrupt.
namespace endivespan::testing {

/// One simulated host.
struct GossipHost {
    Membership membership;
    ServerNotes servers;
    SuspicionTable suspicions;
    ConfigConfirmation confirmation {true};
    Gossip gossip;
    bool running = true;
    bool logUp = true; ///< Whether this host can reach the log.
    std::uint64_t folded = 1; ///< Log offset up to which it has folded the configuration.

    GossipHost(const HostReport &self,
               const std::vector<std::string> &seeds,
               std::uint64_t seed,
               TimePoint now,
               bool hostsAreListed)
        : membership(self, now)
        , gossip({this->membership, this->servers, this->suspicions, this->confirmation, hostsAreListed}, seeds, seed)
    {
    }
};

/// All hosts, the log and the network between them. Time advances by one gossip round at a time.
struct GossipFleet {
    TimePoint now {std::chrono::hours(1)};
    std::vector<std::unique_ptr<GossipHost>> hosts;
    std::uint64_t logEnd = 1; ///< Offset up to which the log contains records.
    bool hostsAreListed; ///< Hosts get new reports from a list outside this simulation; the test must apply them.
    /// Whether the host of the first index can reach that of the second.
    std::function<bool(std::size_t, std::size_t)> connected = [](std::size_t, std::size_t) { return true; };

    static std::string name(std::size_t index)
    {
        return "host-" + std::to_string(index);
    }

    explicit GossipFleet(std::size_t count, bool hostsAreListed = false)
        : hostsAreListed(hostsAreListed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->add(i, 1);
        }
    }

    /// Adds a host, or replaces one by a new start with an empty state.
    void add(std::size_t index, std::uint64_t incarnation)
    {
        const std::string domain = "domain-" + std::to_string(index % 3);
        const HostReport self {name(index), name(index), domain, "region", {{incarnation, 0}}};
        auto host = std::make_unique<GossipHost>(
            self, std::vector {name(0), name(1)}, index + 7, this->now, this->hostsAreListed);
        if (index < this->hosts.size()) {
            this->hosts[index] = std::move(host);
        } else {
            this->hosts.push_back(std::move(host));
        }
    }

    /// Runs one exchange of messages; it fails when the peer does not run or cannot be reached.
    void exchange(std::size_t from, const std::string &address)
    {
        const std::size_t to = std::stoul(address.substr(5));
        GossipHost &asking = *this->hosts[from];
        const GossipMessage request = asking.gossip.open(name(to), this->now);
        if (!this->hosts[to]->running || !this->connected(from, to)) {
            asking.gossip.exchangeFailed(name(to));
            return;
        }
        const GossipMessage answer = this->hosts[to]->gossip.answer(name(from), request, this->now);
        const GossipResult news = asking.gossip.handleAnswer(name(to), answer, this->now, this->now);
        if (news.fetchConfig) {
            this->fold(asking, answer.config->offset);
        }
    }

    void fold(GossipHost &host, std::uint64_t offset) const
    {
        host.folded = offset;
        host.confirmation.onFolded(offset, offset * 31);
        host.membership.setConfigOffset(offset);
    }

    /// Runs one gossip round of every running host. Hosts that reach the log fold it to its end first.
    void round()
    {
        this->now += this->hosts.front()->gossip.period();
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            GossipHost &host = *this->hosts[i];
            if (!host.running) {
                continue;
            }
            host.membership.setLogReachable(host.logUp);
            if (host.logUp) {
                this->fold(host, this->logEnd);
                host.confirmation.onLogAnswer(this->logEnd, this->now);
            }
            host.membership.tick(this->now);
            for (const GossipTarget &target : host.gossip.round()) {
                this->exchange(i, target.address);
            }
        }
    }

    void runFor(Duration span)
    {
        for (const TimePoint end = this->now + span; this->now < end;) {
            this->round();
        }
    }

    [[nodiscard]] ConfigValidity standing(std::size_t index) const
    {
        const GossipHost &host = *this->hosts[index];
        return host.confirmation.validity(host.membership, this->now);
    }

    /// @returns how many other running hosts see host @p index as @p liveness.
    [[nodiscard]] std::size_t hostsSeeing(std::size_t index, Liveness liveness) const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            const HostView *view = this->hosts[i]->membership.find(name(index));
            const bool believes = view != nullptr && view->liveness == liveness;
            count += i != index && this->hosts[i]->running && believes ? 1 : 0;
        }
        return count;
    }
};

/// Runs gossip for a time: every config::GossipUrgentPause on hosts with urgent changes, on others once per gossip
/// period.
inline void gossipFor(GossipFleet &fleet, Duration span)
{
    std::vector<TimePoint> next(fleet.hosts.size());
    for (std::size_t i = 0; i < next.size(); ++i) {
        next[i] = fleet.now + (i * 37 % 10) * (fleet.hosts[i]->gossip.period() / 10);
    }
    for (const TimePoint end = fleet.now + span; fleet.now < end; fleet.now += config::GossipUrgentPause) {
        for (std::size_t i = 0; i < fleet.hosts.size(); ++i) {
            GossipHost &host = *fleet.hosts[i];
            if (fleet.now < next[i] && !host.gossip.isUrgent(fleet.now)) {
                continue;
            }
            next[i] = fleet.now + host.gossip.period();
            host.membership.tick(fleet.now);
            for (const GossipTarget &target : host.gossip.round()) {
                fleet.exchange(i, target.address);
            }
        }
    }
}

} // namespace endivespan::testing
