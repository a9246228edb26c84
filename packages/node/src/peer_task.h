#pragma once

#include "metrics.h"

#include <endivespan/config.h>
#include <endivespan/confirmation.h>
#include <endivespan/gossip.h>
#include <endivespan/membership.h>
#include <endivespan/peer_link.h>
#include <endivespan/server_notes.h>
#include <endivespan/suspect.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Exchanges gossip with the other hosts and delivers the messages of other tasks to them.
namespace endivespan {

/// Transfer of the configuration state from host to host.
class PeerState
{
public:
    virtual ~PeerState() = default;

    /// @returns true while this host cannot get the configuration from the log and should fetch it from a peer.
    [[nodiscard]] virtual bool wantsPeerState() const = 0;

    /// @returns true while a peer may know since when parts of the own state are in force and this host does not.
    [[nodiscard]] virtual bool wantsPeerTimes() const
    {
        return false;
    }

    /// @returns the complete state, encoded for a peer.
    [[nodiscard]] virtual std::string encodeState() const = 0;

    /// Replaces the own state with that of a peer when the peer's state covers more of the log.
    /// @param askedAt When this host sent the request; ages in @p bytes are counted from then.
    /// @returns ProtocolError when @p bytes are not a complete state.
    virtual Result<void> adoptState(std::string_view bytes, TimePoint askedAt) = 0;
};

/// Dependencies and settings of the peer task. All references must outlive the task.
struct PeerTaskParts {
    Loop &loop;
    std::string listen; ///< Address for peers; port 0 takes a free one.
    std::vector<std::string> seeds; ///< Addresses to contact while no other host is known.
    Metrics &metrics;
    Membership &membership;
    ConfigConfirmation &confirmation;
    PeerState &config;
    bool hostsAreListed = false; ///< Whether hosts find each other through their reports in the log.
};

/// Handles a message that is neither gossip nor about the configuration.
/// @returns the answer, or nothing for a message of an unknown kind.
using PeerMessageHandler
    = std::function<std::optional<PeerMessage>(const std::string &from, const PeerMessage &message)>;

/// Owns the peer link and the tables that gossip replicates between hosts.
class PeerTask
{
public:
    explicit PeerTask(PeerTaskParts parts);

    /// Starts to listen for peers.
    /// @returns ConnectionFailed when the address cannot be bound.
    Result<void> start();

    /// @returns the address at which peers reach this host.
    [[nodiscard]] const std::string &address() const;

    /// Sets the handler for messages of other tasks.
    void setService(PeerMessageHandler service);

    /// Sends a message to the host named @p host.
    /// @param done Receives the answer, or the error when there is none; never called inside this function.
    /// @param timeout Longest time to wait for the answer.
    void ask(const std::string &host,
             const PeerMessage &message,
             std::function<void(Result<PeerMessage>)> done,
             std::chrono::milliseconds timeout = config::PeerTimeout);

    /// Fetches the configuration of the host named @p host and adopts it when it is newer.
    void fetchConfigOf(const std::string &host);

    /// Sets the state of this host to leaving, and gossips it on the next tick.
    void leave();

    /// Starts a gossip round when one is due, and updates the tables.
    void tick(TimePoint now);

    [[nodiscard]] const GossipStats &gossipStats() const;

    /// @returns the backend servers whose server notes were changed by gossip since the last call.
    [[nodiscard]] std::set<std::string> takeChangedServers();

    ServerNotes servers;
    SuspicionTable suspicions;

private:
    PeerMessage answer(const std::string &from, const PeerMessage &request);
    void exchange(const GossipTarget &target);
    void conclude(const Result<PeerAnswer> &answer, const GossipTarget &target, TimePoint askedAt);
    void fetchConfig(const std::string &address, std::uint64_t heldOffset);
    void fetchTimes(TimePoint now);

    PeerTaskParts parts;
    PeerMessageHandler service;
    std::unique_ptr<PeerLink> link;
    std::unique_ptr<Gossip> gossip;
    TimePoint lastRound;
    TimePoint nextRound;
    bool fetching = false;
    std::string askedForTimes; ///< Name of the host asked last.
    TimePoint nextTimesAsk;
};

} // namespace endivespan
