#pragma once

#include "config_task.h"
#include "context.h"

#include <endivespan/confirmation.h>
#include <endivespan/gossip.h>
#include <endivespan/membership.h>
#include <endivespan/peer_link.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// The task that exchanges gossip with the other hosts and carries the messages of other tasks to them.
namespace endivespan {

/// What the peer task works on; everything outlives it.
struct PeerTaskParts {
    Loop &loop;
    const Settings &settings;
    Metrics &metrics;
    Membership &membership;
    Confirmation &confirmation;
    ConfigTask &config;
};

/// Answers a message that is neither gossip nor about configuration; nothing when it is not known.
using PeerService = std::function<std::optional<PeerMessage>(const std::string &from, const PeerMessage &message)>;

/// Owns the peer link and the tables that gossip spreads.
class PeerTask
{
public:
    explicit PeerTask(PeerTaskParts parts);

    /// Listens for peers. @returns ConnectionFailed when the address cannot be bound.
    Result<void> start();

    /// @returns the address that peers reach this host at.
    [[nodiscard]] const std::string &address() const;

    /// Sets who answers the messages of other tasks.
    void setService(PeerService service);

    /// Sends a message to the host called @p host.
    /// @param done Gets the answer or why there is none; never called inside this function.
    void ask(const std::string &host, const PeerMessage &message, std::function<void(Result<PeerMessage>)> done);

    /// Says to all peers that this host leaves.
    void leave();

    /// Does what is due.
    void tick(TimePoint now);

    /// @returns the backend servers whose notes peers have changed since the last call.
    [[nodiscard]] std::set<std::string> takeChangedServers();

    ServerNotes servers;
    SuspicionTable suspicions;

private:
    PeerMessage answer(const std::string &from, const PeerMessage &request);
    void exchange(const GossipTarget &target);
    void conclude(const Result<PeerAnswer> &answer, const GossipTarget &target, TimePoint askedAt);
    void fetchConfig(const std::string &address);

    PeerTaskParts parts;
    PeerService service;
    std::unique_ptr<PeerLink> link;
    std::unique_ptr<Gossip> gossip;
    TimePoint nextRound;
    bool fetching = false;
};

} // namespace endivespan
