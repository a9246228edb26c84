#pragma once

#include <endivespan/confirmation.h>
#include <endivespan/membership.h>
#include <endivespan/server_notes.h>
#include <endivespan/suspect.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Gossip protocol: spreads host reports, notes on backend servers and suspicions of requests among all hosts, within a
/// budget of bytes a second.
namespace endivespan {

/// The request or the answer of an exchange between two hosts.
struct GossipMessage {
    std::vector<HostReport> reports;
    std::vector<Heartbeat> heartbeats;
    std::vector<std::uint64_t> wanted; ///< Ids of hosts whose full report the sender requests.
    std::vector<ServerNote> servers;
    std::vector<Suspicion> suspicions;
    /// In answers only. The receiver counts its age from the start of the exchange.
    std::optional<ConfigStatement> config;
};

/// A peer to exchange messages with.
struct GossipTarget {
    std::string host; ///< Its name; empty for a seed, of which only the address is configured.
    std::string address;
};

/// Result of a completed exchange.
struct GossipResult {
    std::size_t reports = 0; ///< Host reports that were newer than the ones held.
    bool fetchConfig = false; ///< The peer has a newer configuration, which should be fetched.
};

/// Counters of one Gossip.
struct GossipStats {
    std::uint64_t rounds = 0;
    std::uint64_t messages = 0; ///< Requests and answers composed.
    std::uint64_t bytes = 0; ///< Their estimated size.
    std::uint64_t deferred = 0; ///< Messages that were kept short because the budget was nearly used up.
};

/// The tables whose entries are spread. All of them must outlive the Gossip.
struct GossipTables {
    Membership &membership;
    ServerNotes &servers;
    SuspicionTable &suspicions;
    ConfigConfirmation &confirmation;
    bool hostsAreListed = false; ///< Hosts read new reports elsewhere (from the log); gossip sends one only on request.
};

/// Chooses the peers and the entries of each exchange. Entries that were sent least often since their last change go
/// first, so that a change spreads fast (epidemic protocol). All other entries are sent in turn, which replaces what
/// was lost on the way.
class Gossip
{
public:
    /// @param tables Tables whose entries are spread.
    /// @param seeds Configured addresses of hosts, to contact while no other host is known and now and then later.
    /// @param seed Seed of the random number generator.
    Gossip(GossipTables tables, std::vector<std::string> seeds, std::uint64_t seed);

    /// Starts a round. Call it once every period(), or earlier when isUrgent().
    /// @returns the peers to exchange messages with.
    [[nodiscard]] std::vector<GossipTarget> round();

    /// @returns the request that starts an exchange with @p peer.
    [[nodiscard]] GossipMessage open(const std::string &peer, TimePoint now);

    /// Handles a request from @p peer.
    /// @returns the answer.
    [[nodiscard]] GossipMessage answer(const std::string &peer, const GossipMessage &request, TimePoint now);

    /// Handles the answer of @p peer to a request that was sent at @p askedAt.
    GossipResult handleAnswer(const std::string &peer, const GossipMessage &answer, TimePoint askedAt, TimePoint now);

    /// Handles an exchange that @p peer did not answer. What was sent may not have arrived, so that the
    /// peer is assumed to have received nothing.
    void exchangeFailed(const std::string &peer);

    /// @returns the names of the backend servers whose notes were changed by messages of peers since the last call.
    [[nodiscard]] std::set<std::string> takeChangedServers();

    /// @returns whether to start a round before its time: there are new suspicions, and the budget allows it. A request
    /// that crashes servers may be sent again to any host, so that every round of delay can cost another server.
    [[nodiscard]] bool isUrgent(TimePoint now) const;

    /// @returns the time between two rounds.
    [[nodiscard]] Duration period() const;

    [[nodiscard]] const GossipStats &stats() const;

    /// @returns the estimated size of @p message on the wire, in bytes.
    static std::size_t wireSize(const GossipMessage &message);

private:
    /// How often an entry was sent, to any peer, since its last change.
    struct SendCount {
        std::uint64_t version = 0; ///< Version of the entry that the count is for.
        std::uint32_t count = 0;
        std::uint64_t lastMessage = 0; ///< messageCount when it was last sent.
    };

    /// What a peer is assumed to have received. A wrong assumption is corrected when the peer requests what it lacks.
    struct Peer {
        std::map<std::uint64_t, HostVersion> versions; ///< Newest version of each host's report that it has, by id.
        std::set<std::uint64_t> requested; ///< Ids of hosts whose full report it has requested.
        std::uint64_t lastMessage = 0; ///< messageCount at its last exchange; the lowest is evicted first.
    };

    Peer &peerOf(const std::string &name);
    GossipResult applyMessage(const std::string &name, const GossipMessage &message, TimePoint now);
    GossipMessage compose(const std::string &name, TimePoint now);
    void fillReports(Peer &peer, GossipMessage &message, std::size_t &room);
    void fillHeartbeats(Peer &peer, GossipMessage &message, std::size_t &room);
    void fillServers(GossipMessage &message, std::size_t &room, TimePoint now);
    void fillSuspicions(GossipMessage &message, std::size_t &room, TimePoint now);
    std::size_t messageRoom(const Peer &peer, TimePoint now);
    [[nodiscard]] double budgetAt(TimePoint now) const;
    void fillRefused(GossipMessage &message, std::size_t &room, TimePoint now);
    void updateNeighbours();
    std::optional<GossipTarget> probeTarget();

    GossipTables tables;
    std::vector<std::string> seeds;
    std::mt19937_64 random;
    std::vector<std::string> neighbours; ///< Hosts that rounds choose peers from; replaced one by one over time.
    std::map<std::uint64_t, SendCount> reportsSent; ///< By host id; a report changes with the incarnation.
    std::map<std::uint64_t, SendCount> heartbeatsSent; ///< By host id; a heartbeat changes with the sequence.
    std::map<std::string, SendCount> serversSent; ///< By server.
    std::set<std::uint64_t> wanted; ///< Ids of hosts whose full report this host lacks.
    std::map<std::string, Peer> peers; ///< By name, or by address for seeds.
    std::map<std::uint64_t, std::uint32_t> recentSuspicions; ///< Times sent, by version, of recent changes.
    std::uint64_t lastSuspicionAdded = 0; ///< Changes up to this version were added to recentSuspicions.
    std::uint64_t suspicionCursor = 0; ///< Version of the suspicion whose turn it was last.
    std::uint64_t refusedCursor = 0; ///< Version of the refused suspicion that was last sent in turn.
    std::set<std::string> changedServers;
    HostStatus lastOwnStatus; ///< At the last round.
    std::uint64_t lastSuspicionVersion = 0; ///< Version of the suspicions at the last round.
    std::uint64_t messageCount = 0; ///< Messages composed so far.
    double budget; ///< In bytes, as of budgetSetAt; negative after a message that exceeded it.
    std::optional<TimePoint> budgetSetAt;
    GossipStats counters;
};

} // namespace endivespan
