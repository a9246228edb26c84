#pragma once

#include "backends.h"
#include "lease_task.h"
#include "peer_task.h"

#include <endivespan/credit.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Limits the concurrency of cold backend servers across all hosts by credits.
namespace endivespan {

/// A credit is the right to send one request to a server that is cold, which can run only a few requests at a time. The
/// host that holds the lease of a server owns it and grants its credits. This task grants the credits of the servers
/// that this host owns, and requests credits for the other servers from their owners.
class CreditTask : public ServerGate
{
public:
    /// All parameters must outlive the task.
    CreditTask(Loop &loop, Metrics &metrics, Backends &backends, PeerTask &peers, LeaseTask &leases);

    [[nodiscard]] bool mayTakeWork(const Backend &server) const override;
    [[nodiscard]] bool hasCredit(const Backend &server) const override;
    void onLoad(const Backend &server, const EngineLoad &load) override;
    void onUnreachable(const Backend &server) override;
    void onDemand(const std::string &pool) override;
    [[nodiscard]] std::optional<CreditUse> begin(ServerHandle server) override;
    void end(const CreditUse &use, CreditOutcome outcome) override;

    /// Handles a credit message of a peer.
    /// @returns the answer, or nothing for a message of another kind.
    [[nodiscard]] std::optional<PeerMessage> answer(const PeerMessage &message);

    /// Applies changes of leases and server notes, repeats lost returns, and requests the credits that are needed.
    void tick(TimePoint now);

private:
    struct Unreturned {
        CreditReturn credit;
        TimePoint at; ///< When to send the return again.
    };

    [[nodiscard]] std::optional<ServerHandle> handleOf(const std::string &name) const;
    void followLeases(TimePoint now);
    void followNotes(TimePoint now);
    void askForCredits(TimePoint now);
    void ask(ServerHandle server, TimePoint now);
    void granted(const CreditReply &reply);
    void giveBack(const CreditReturn &credit);
    void repeatReturns(TimePoint now);
    void writeNote(ServerHandle server, std::uint32_t inFlight, std::uint32_t capacity);
    [[nodiscard]] CreditReply grant(const CreditAsk &ask);

    Loop &loop;
    Metrics &metrics;
    Backends &backends;
    PeerTask &peers;
    LeaseTask &leases;
    CreditOwner owner;
    CreditPurse purse;
    std::map<ServerHandle, std::uint64_t> owned; ///< Fence of the lease of each server that this host owns.
    std::map<std::string, TimePoint> demand; ///< When a request last needed a server of each pool.
    std::map<ServerHandle, TimePoint> askedAt;
    std::vector<Unreturned> unreturned;
    std::uint64_t noteSequence = 0;
};

} // namespace endivespan
