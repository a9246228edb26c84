#include "peer_task.h"

#include <endivespan/config.h>
#include <endivespan/log.h>

#include <random>
#include <utility>
#include <variant>

namespace endivespan {

PeerTask::PeerTask(PeerTaskParts parts)
    : parts(std::move(parts))
{
}

Result<void> PeerTask::start()
{
    const HostReport &self = this->parts.membership.self();
    auto listening = PeerLink::listen(
        this->parts.loop,
        {self.name, self.status.version.incarnation},
        this->parts.listen,
        [this](const std::string &from, const PeerMessage &request) { return this->answer(from, request); });
    if (!listening) {
        return listening.error();
    }
    this->link = std::move(listening.value());
    const std::string &wanted = this->parts.listen;
    this->parts.membership.setAddress(wanted.substr(0, wanted.rfind(':') + 1) + std::to_string(this->link->port()));
    this->gossip = std::make_unique<Gossip>(GossipTables {this->parts.membership,
                                                          this->servers,
                                                          this->suspicions,
                                                          this->parts.confirmation,
                                                          this->parts.hostsAreListed},
                                            this->parts.seeds,
                                            std::random_device {}());
    logLine("peers", "{} listens for peers on {}", self.name, this->address());
    return boost::outcome_v2::success();
}

const std::string &PeerTask::address() const
{
    return this->parts.membership.self().address;
}

void PeerTask::setService(PeerMessageHandler newService)
{
    this->service = std::move(newService);
}

void PeerTask::ask(const std::string &host,
                   const PeerMessage &message,
                   std::function<void(Result<PeerMessage>)> done,
                   std::chrono::milliseconds timeout)
{
    const HostView *view = this->parts.membership.find(host);
    const std::string address = view == nullptr ? "" : view->report.address;
    this->link->request(address, message, timeout, [host, done = std::move(done)](const Result<PeerAnswer> &answer) {
        if (!answer) {
            return done(answer.error());
        }
        // Another host may use this address by now.
        if (answer.value().host != host) {
            return done(Error {ErrorKind::ConnectionFailed, "another host answered at the address of " + host});
        }
        done(answer.value().message);
    });
}

void PeerTask::leave()
{
    this->parts.membership.setState(HostState::Leaving);
    this->nextRound = {};
}

void PeerTask::tick(TimePoint now)
{
    this->parts.membership.tick(now);
    this->suspicions.tick(now);
    if (now >= this->nextTimesAsk && this->parts.config.wantsPeerTimes()) {
        this->fetchTimes(now);
    }
    const bool urgent = this->gossip->isUrgent(now) && now - this->lastRound >= config::GossipUrgentPause;
    if (now < this->nextRound && !urgent) {
        return;
    }
    this->lastRound = now;
    this->nextRound = now + this->gossip->period();
    for (const GossipTarget &target : this->gossip->round()) {
        this->exchange(target);
    }
}

const GossipStats &PeerTask::gossipStats() const
{
    return this->gossip->stats();
}

std::set<std::string> PeerTask::takeChangedServers()
{
    return this->gossip->takeChangedServers();
}

void PeerTask::exchange(const GossipTarget &target)
{
    const TimePoint askedAt = this->parts.loop.now();
    // The name of a seed is not known yet, so it is identified by its address. What is sent to it is not recorded.
    const GossipMessage request = this->gossip->open(target.host.empty() ? target.address : target.host, askedAt);
    this->link->request(
        target.address, request, config::PeerTimeout, [this, target, askedAt](const Result<PeerAnswer> &answer) {
            this->conclude(answer, target, askedAt);
        });
}

void PeerTask::conclude(const Result<PeerAnswer> &answer, const GossipTarget &target, TimePoint askedAt)
{
    if (!answer) {
        this->parts.metrics.count("peer_failures");
        this->gossip->exchangeFailed(target.host.empty() ? target.address : target.host);
        return;
    }
    const auto *message = std::get_if<GossipMessage>(&answer.value().message);
    if (message == nullptr) {
        return;
    }
    const GossipResult news
        = this->gossip->handleAnswer(answer.value().host, *message, askedAt, this->parts.loop.now());
    if (news.fetchConfig && this->parts.config.wantsPeerState()) {
        this->fetchConfig(target.address, this->parts.membership.self().status.configOffset);
    }
}

void PeerTask::fetchConfigOf(const std::string &host)
{
    if (const HostView *view = this->parts.membership.find(host); view != nullptr) {
        this->fetchConfig(view->report.address, this->parts.membership.self().status.configOffset);
    }
}

// Asks the hosts in the order of their names, starting after this one, so that not all hosts ask the same one.
void PeerTask::fetchTimes(TimePoint now)
{
    const auto &hosts = this->parts.membership.hosts();
    const std::string &self = this->parts.membership.self().name;
    auto next = hosts.upper_bound(this->askedForTimes.empty() ? self : this->askedForTimes);
    for (std::size_t i = 0; i < hosts.size(); ++i, ++next) {
        next = next == hosts.end() ? hosts.begin() : next;
        if (next->first != self && next->second.liveness == Liveness::Alive) {
            this->askedForTimes = next->first;
            this->nextTimesAsk = now + config::NamingAskPeriod;
            // With an offset of 0 a peer answers with its state also when it holds nothing newer.
            return this->fetchConfig(next->second.report.address, 0);
        }
    }
}

void PeerTask::fetchConfig(const std::string &address, std::uint64_t heldOffset)
{
    if (this->fetching) {
        return;
    }
    this->fetching = true;
    const TimePoint askedAt = this->parts.loop.now();
    const ConfigAsk ask {heldOffset};
    this->link->request(address, ask, config::PeerTimeout, [this, askedAt](const Result<PeerAnswer> &answer) {
        this->fetching = false;
        const auto *reply = answer ? std::get_if<ConfigReply>(&answer.value().message) : nullptr;
        if (reply == nullptr || reply->state.empty()) {
            return;
        }
        const auto adopted = this->parts.config.adoptState(reply->state, askedAt);
        logLine("peers",
                "configuration at offset {} from {} {}",
                reply->offset,
                answer.value().host,
                adopted ? "was adopted" : "was rejected: " + adopted.error().detail);
    });
}

PeerMessage PeerTask::answer(const std::string &from, const PeerMessage &request)
{
    if (const auto *gossiped = std::get_if<GossipMessage>(&request)) {
        return this->gossip->answer(from, *gossiped, this->parts.loop.now());
    }
    if (const auto *ask = std::get_if<ConfigAsk>(&request)) {
        const std::uint64_t offset = this->parts.membership.self().status.configOffset;
        return ConfigReply {offset, ask->heldOffset < offset ? this->parts.config.encodeState() : ""};
    }
    if (this->service) {
        if (auto message = this->service(from, request)) {
            return std::move(*message);
        }
    }
    return PeerAck {};
}

} // namespace endivespan
