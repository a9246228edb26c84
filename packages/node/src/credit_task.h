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

/// The task that keeps the work of cold backend servers within what they bear, as owner and as holder of credits.
namespace endivespan {

/// Grants credits for the servers whose lease this host holds, and asks the owners of the others.
class CreditTask : public ServerGate
{
public:
    /// All parameters outlive the task.
    CreditTask(Loop &loop, Metrics &metrics, Backends &backends, PeerTask &peers, LeaseTask &leases);

    [[nodiscard]] bool mayTakeWork(const Backend &server) const override;
    [[nodiscard]] bool hasCredit(const Backend &server) const override;
    void onLoad(const Backend &server, const EngineLoad &load) override;
    void onUnreachable(const Backend &server) override;
    void onDemand(const std::string &pool) override;
    [[nodiscard]] std::optional<CreditUse> begin(ServerHandle server) override;
    void end(const CreditUse &use, CreditOutcome outcome) override;

    /// Answers credit messages of peers.
    [[nodiscard]] std::optional<PeerMessage> answer(const PeerMessage &message);

    /// Follows leases and notes, and asks for the credits that are needed.
    void tick(TimePoint now);

private:
    struct Unreturned {
        CreditReturn credit;
        TimePoint at; ///< When to try again.
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
    std::map<ServerHandle, std::uint64_t> owned; ///< Fences of the servers owned here.
    std::map<std::string, TimePoint> demand; ///< When each pool last had work for a server.
    std::map<ServerHandle, TimePoint> askedAt;
    std::vector<Unreturned> unreturned;
    std::uint64_t noteSequence = 0;
};

} // namespace endivespan
