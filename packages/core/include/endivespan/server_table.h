#pragma once

#include <endivespan/clock.h>
#include <endivespan/host_roster.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// The backend servers that forwarded requests may go to, and what is believed of each.
namespace endivespan {

/// What a server says of itself in the list of servers.
struct ServerEntry {
    std::string id; ///< May be used again by a later start.
    std::string service;
    std::string address; ///< "a.b.c.d:port".
    std::string domain;
    std::uint64_t born = 0; ///< Unix milliseconds of its start; rises with each one.
    std::uint64_t heartbeat = 0; ///< Rises while the server lives; starts anew at each start.
    std::uint32_t slots = 1;
    bool draining = false;
    Duration coldFor {}; ///< How much longer it is cold.
    std::map<std::string, std::uint64_t> weights; ///< Weight version by model.
};

/// What a server said of its load in an answer.
struct ServerLoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
};

/// How an attempt ended, as far as it tells something of its server.
enum class AttemptOutcome {
    Answered, ///< With a whole answer that is no failure of the server.
    Failed, ///< With a failure, a broken answer or none in time.
    Refused, ///< Certainly not run, by a server that is full or busy.
    Unreachable, ///< No connection, or one that broke.
    Misdirected, ///< Another server has its address.
    Cancelled, ///< Says nothing.
};

/// Everything believed of one server.
struct ServerView {
    ServerEntry entry;
    std::uint64_t idHash = 0; ///< For rendezvous orders.
    TimePoint coldUntil;
    TimePoint unconfirmedSince; ///< When a connection failed and no later heartbeat has come; epoch if none has.
    TimePoint avoidUntil; ///< Refused or unreachable: not chosen before.
    Duration avoidStep {}; ///< Grows with each failed connection in a row.
    std::vector<TimePoint> sends; ///< When requests of this host went out, as far as a bound may still count them.
    std::uint32_t unsent = 0; ///< Own attempts whose request has not gone out yet.
    std::uint32_t inFlight = 0; ///< Own attempts.
    std::uint64_t prefillTokens = 0; ///< Of own attempts that have no answer yet.
    std::uint32_t streams = 0; ///< Own attempts whose answer has begun and goes on.
    TimePoint heardAt; ///< When any byte of an answer came last.
    std::optional<ServerLoadReport> load;
    TimePoint loadAt; ///< When the server said so.
    TimePoint loadLearnedAt; ///< When this host heard of it.
    bool loadIsOwn = false; ///< Said in an answer to this host.
    std::uint32_t sentSinceLoad = 0;
    TimePoint lastSentAt;
    double answered = 0; ///< Decaying counts of outcomes.
    double failed = 0;
    TimePoint countsAt;
    bool saidLeaving = false; ///< In an answer; its entry in the list may come later or never.
    TimePoint restUntil; ///< The server has asked this host for no requests before; epoch if it has not.
    TimePoint returnAt; ///< When this host sends to it again; hosts come back one by one.
    bool onTrial = false; ///< Has rested and not answered since.
    std::uint32_t trialSends = 0; ///< Under way while it is on trial.
    std::optional<TimePoint> withdrawAt; ///< Missing from the list, but the list may have lapsed.

    /// @returns the share of recent attempts that failed, drawn towards zero while there are few.
    [[nodiscard]] double failureShare(TimePoint now) const;

    /// @returns whether the server leaves, by the list or by its own word.
    [[nodiscard]] bool isLeaving() const;

    /// @returns whether the server has asked this host for a rest that is not over.
    [[nodiscard]] bool isResting(TimePoint now) const;

    /// @returns whether every stream from the server has been silent for @p time: it has most likely died or is cut
    /// off.
    ///     One stream alone may pause.
    [[nodiscard]] bool isSilent(Duration time, TimePoint now) const;
};

/// @returns a short number for a server, the same on every host; two servers seldom share one.
std::uint32_t shortIdOf(const ServerView &view);

/// What all hosts together may send to one cold server.
struct ColdBound {
    std::uint32_t rights = 0; ///< Requests a second, over all hosts.
    const HostRoster *hosts = nullptr; ///< Among whom they are dealt; null for no bound.

    [[nodiscard]] bool isBounded() const
    {
        return this->hosts != nullptr;
    }
};

/// @returns how many requests a second of @p bound are dealt; the rest is for hosts that others do not know yet.
std::uint32_t coldRights(double bound);

/// Servers by id. Decisions on placement read it; tasks report to it.
class ServerTable
{
public:
    /// Takes an entry. Older ones than known are ignored.
    /// @returns true when it was news of more than the heartbeat.
    bool learn(const ServerEntry &entry, TimePoint now);

    /// Takes that the list has no such entry any more.
    /// @param lapsedUntil Set when the list itself was away until shortly before: the server is kept until then,
    ///     unless its entry comes back.
    void withdraw(const std::string &id, std::optional<TimePoint> lapsedUntil, TimePoint now);

    /// Sets the failure domains whose servers get nothing. Those of a domain that is back count as cold until their own
    /// word on it can have come.
    void setEvacuated(std::set<std::string> domains, TimePoint now);
    [[nodiscard]] const std::set<std::string> &evacuated() const;

    /// Drops servers whose time has come. Call it now and then.
    void tick(TimePoint now);

    /// Takes that an attempt begins. sent() or notSent() follows.
    void started(const std::string &id, std::uint64_t prefillTokens, TimePoint now);

    /// Takes that the request of an attempt has gone out, or never will.
    void sent(const std::string &id, TimePoint now);
    void notSent(const std::string &id);

    /// Takes the first sign of an answer: the prompt has been read.
    void prefilled(const std::string &id, std::uint64_t prefillTokens);

    /// Takes that the answer of a stream begins, and that it has ended.
    void streamBegan(const std::string &id, TimePoint now);
    void streamEnded(const std::string &id);

    /// Takes any byte of an answer.
    void heard(const std::string &id, TimePoint now);

    /// Takes the end of an attempt.
    void ended(const std::string &id, AttemptOutcome outcome, TimePoint now);

    void reported(const std::string &id, const ServerLoadReport &load, TimePoint now);

    /// Takes what a server said of its load to another host at @p at. Older news than known is ignored.
    void
    reportedElsewhere(std::uint32_t server, std::uint32_t running, std::uint32_t waiting, TimePoint at, TimePoint now);

    /// @returns the mean number of requests at the servers of @p service that spoke of their load of late.
    [[nodiscard]] double meanRequests(const std::string &service, TimePoint now) const;

    /// Takes a weight version that a server itself has named; the list lags.
    void saidWeights(const std::string &id, const std::string &model, std::uint64_t version);

    /// Takes that a server has said that it is cold for @p time. That holds for the start named by @p born alone.
    void saidCold(const std::string &id, std::uint64_t born, Duration time, TimePoint now);

    /// Takes that a server has said in an answer that it leaves. That holds for the start named by @p born alone.
    /// @returns true when it was news.
    bool saidLeaving(const std::string &id, std::uint64_t born);

    /// Takes that a server wants no requests of this host for @p time. The host comes back somewhat later, spread by
    /// @p random, and with one request at first.
    /// @returns when it comes back; nothing when another start of the server is known.
    std::optional<TimePoint>
    askedForRest(const std::string &id, std::uint64_t born, Duration time, std::uint64_t random, TimePoint now);

    /// @returns when the first server of @p service that neither leaves nor is avoided has had its rest; nothing when
    ///     one does not rest or there is none.
    [[nodiscard]] std::optional<TimePoint> restEndsAt(const std::string &service, TimePoint now) const;

    /// @returns whether the server takes new work at all now, by what is known.
    [[nodiscard]] bool isOpen(const ServerView &server, TimePoint now) const;

    /// @returns whether the server has to be spared as one that has just started.
    [[nodiscard]] static bool isCold(const ServerView &server, TimePoint now);

    /// @returns whether a cold server has room for one more request of this host.
    [[nodiscard]] static bool hasColdRoom(const ServerView &server, const ColdBound &bound, TimePoint now);

    [[nodiscard]] const std::map<std::string, ServerView> &servers() const;
    [[nodiscard]] const ServerView *find(const std::string &id) const;

private:
    std::map<std::string, ServerView> views;
    std::unordered_map<std::uint32_t, std::string> shortIds; ///< Ids by shortIdOf().
    std::set<std::string> evacuatedDomains;
    std::map<std::string, std::uint64_t> left; ///< The latest start of each server that has said it leaves.
};

} // namespace endivespan
