#pragma once

#include <endivespan/clock.h>
#include <endivespan/host_roster.h>
#include <endivespan/server_pace.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// The backend servers that forwarded requests may be sent to, and what this host has learned about each of them.
namespace endivespan {

/// The entry of one server in the list of servers, which the server itself writes.
struct ServerEntry {
    std::string id; ///< Unique, but a server started later may use it again.
    std::string service;
    std::string address; ///< "a.b.c.d:port".
    std::string domain; ///< Failure domain.
    std::uint64_t born = 0; ///< Start time in Unix milliseconds; higher for each later start.
    std::uint64_t heartbeat = 0; ///< Counter that increases while the server runs; reset at each start.
    std::uint32_t slots = 1; ///< Requests that it runs at the same time.
    bool draining = false; ///< True when it is leaving and must get no new requests.
    Duration coldFor {}; ///< Remaining time for which it is cold.
    std::map<std::string, std::uint64_t> weights; ///< Weight version by model.
};

/// The load that a server reported in an answer.
struct ServerLoadReport {
    std::uint32_t running = 0; ///< Requests that run.
    std::uint32_t waiting = 0; ///< Requests that wait for a slot.
    std::uint32_t slots = 1; ///< Requests that can run at the same time.
    /// How long work takes at the server at this moment: 1 is usual, 2.5 takes 2.5 times as long. Absent when the
    /// server does not report it.
    std::optional<double> pace {};
};

/// How an attempt ended, as far as this says something about its server.
enum class AttemptOutcome {
    Answered, ///< With a complete answer that is no failure of the server.
    Failed, ///< With a failure, a broken answer or none in time.
    Refused, ///< The server was full or busy, and certainly did not run the request.
    Unreachable, ///< The connection could not be opened, or it broke.
    Misdirected, ///< Another server now has the address.
    Cancelled, ///< Says nothing about the server.
};

/// Everything that this host has learned about one server. "Own" attempts are those of this host.
struct ServerView {
    ServerEntry entry;
    std::uint64_t idHash = 0; ///< Hash of the id for rendezvous hashing.
    TimePoint coldUntil;
    TimePoint unconfirmedSince; ///< Time of a failed connection, until the next heartbeat; epoch when there is none.
    TimePoint avoidUntil; ///< Not chosen before this time, after it refused a request or was unreachable.
    Duration connectBackoff {}; ///< Pause after the last failed connection; doubles with each consecutive failure.
    std::vector<TimePoint> sends; ///< When own requests were sent, as far as the cold limit may still count them.
    std::uint32_t unsent = 0; ///< Own attempts whose request has not been sent yet.
    std::uint32_t inFlight = 0; ///< Own attempts that have not ended.
    std::uint64_t prefillTokens = 0; ///< Prompt tokens of own attempts that have no answer yet.
    std::uint32_t streams = 0; ///< Own attempts whose streamed answer has begun and not ended.
    TimePoint lastReceivedAt; ///< When the latest bytes of a streamed answer were received.
    std::optional<ServerLoadReport> load; ///< The latest load report.
    TimePoint loadAt; ///< When the server made the report.
    TimePoint loadLearnedAt; ///< When this host received the report, from the server or from another host.
    bool loadIsOwn = false; ///< True when the report came in an answer to this host.
    ServerPace pace;
    std::uint32_t sentSinceLoad = 0; ///< Own attempts started since the report.
    TimePoint lastSentAt; ///< When the latest own attempt started.
    double answered = 0; ///< Decaying count of answered attempts, as of countsAt.
    double failed = 0; ///< Decaying count of failed attempts, as of countsAt.
    TimePoint countsAt;
    bool reportedLeaving = false; ///< Reported in an answer; its entry in the list may change later or never.
    TimePoint restUntil; ///< The server has asked this host to send no requests before this time; epoch if it has not.
    TimePoint resumeAt; ///< When this host sends requests again: restUntil plus a random delay that spreads the hosts.
    bool probing = false; ///< Set by a rest until the next answer; meanwhile only one request at a time is sent.
    std::uint32_t probesInFlight = 0; ///< Own attempts in flight that were started while it was on trial.
    std::optional<TimePoint> removeAt; ///< Set while it is missing from a list that may have lost entries.

    /// @returns the share of recent attempts that failed, biased towards zero while there are few.
    [[nodiscard]] double failureShare(TimePoint now) const;

    /// @returns whether the server is leaving, by its list entry or by one of its answers.
    [[nodiscard]] bool isLeaving() const;

    /// @returns whether the server has asked this host for a rest that is not over.
    [[nodiscard]] bool isResting(TimePoint now) const;

    /// @returns whether there are streams from the server and none has received bytes for @p time. The server is then
    ///     most likely dead or disconnected, while a single stream may just pause.
    [[nodiscard]] bool isSilent(Duration time, TimePoint now) const;
};

/// @returns a short id of a server, which is the same on every host; collisions are rare.
std::uint32_t shortIdOf(const ServerView &view);

/// Limit for the requests that all hosts together send to one cold server.
struct ColdBound {
    std::uint32_t rights = 0; ///< Requests per second, over all hosts.
    const HostRoster *hosts = nullptr; ///< The hosts among which the rights are distributed; null for no limit.

    [[nodiscard]] bool isBounded() const
    {
        return this->hosts != nullptr;
    }
};

/// @param bound Requests per second that one cold server can handle.
/// @returns how many of them are distributed among the hosts; at least 1 if @p bound is at least 1. The rest is a
///     reserve for hosts that have joined and that the others have not learned of yet.
std::uint32_t coldRights(double bound);

/// The servers by id. Placement reads the table; the tasks that send requests and read the list update it.
/// Reports on attempts at an unknown server are ignored.
class ServerTable
{
public:
    /// Adds or updates a server from its entry in the list. An entry that is older than the known one, or not newer
    /// than the last one of a server that has been removed, is ignored: a list restored from a copy shows such entries.
    /// @returns true when more than the heartbeat has changed, or when the entry had disappeared.
    bool update(const ServerEntry &entry, TimePoint now);

    /// Records that the entry of a server has disappeared from the list.
    /// @param lapsedUntil Set when the list was unavailable until shortly before, so that the entry may have expired
    ///     although the server is running. A server that is not leaving is then kept until this time, and for longer if
    ///     its entry returns. Otherwise the server is removed at once.
    void entryRemoved(const std::string &id, std::optional<TimePoint> lapsedUntil, TimePoint now);

    /// Sets the evacuated failure domains, whose servers get no requests. When a domain returns, its servers count as
    /// cold for config::ListLag, since a list entry that says whether they are may be on its way.
    void setEvacuated(std::set<std::string> domains, TimePoint now);
    [[nodiscard]] const std::set<std::string> &evacuated() const;

    /// Removes the servers whose time of removal has come, see entryRemoved(). Call it regularly.
    void tick(TimePoint now);

    /// Records that an attempt starts. A call of sent() or notSent() must follow, and then one of ended().
    /// @param prefillTokens Prompt tokens that the server has to prefill, to be passed to prefilled() too.
    void started(const std::string &id, std::uint64_t prefillTokens, TimePoint now);

    /// Records that the request of an attempt has been sent.
    void sent(const std::string &id, TimePoint now);

    /// Records that the request of an attempt will never be sent.
    void notSent(const std::string &id);

    /// Records that an answer has begun, so that the server has read the prompt.
    void prefilled(const std::string &id, std::uint64_t prefillTokens);

    /// Records that a streamed answer has begun.
    void streamBegan(const std::string &id, TimePoint now);

    /// Records that a streamed answer has ended.
    void streamEnded(const std::string &id);

    /// Records that bytes of an answer have been received.
    void receivedBytes(const std::string &id, TimePoint now);

    /// Records the end of an attempt.
    void ended(const std::string &id, AttemptOutcome outcome, TimePoint now);

    /// Records the load that a server reported in an answer to this host.
    void reportedLoad(const std::string &id, const ServerLoadReport &load, TimePoint now);

    /// Records the load that a server reported to another host at @p at. A report older than the known one is ignored.
    /// @param server Short id of the server, see shortIdOf().
    /// @param pace Pace in the report, if any.
    void reportedLoadToOtherHost(std::uint32_t server,
                                 std::uint32_t running,
                                 std::uint32_t waiting,
                                 std::optional<double> pace,
                                 TimePoint at,
                                 TimePoint now);

    /// Records how long a complete answer took, from which the long-term pace of the server is learned. Ignored unless
    /// the known start of the server is @p born.
    /// @param kind Name of the route; only answers of one kind are compared.
    void answeredIn(const std::string &id, std::uint64_t born, const std::string &kind, const AnswerTimes &times);

    /// @returns whether any server of @p service has reported its pace since its start.
    [[nodiscard]] bool reportsPace(const std::string &service) const;

    /// @returns the mean number of running and waiting requests at those servers of @p service whose load report is
    ///     recent; 0 when there is none.
    [[nodiscard]] double meanRequests(const std::string &service, TimePoint now) const;

    /// Records a weight version that a server itself has reported, which may be newer than its entry in the list.
    void reportedWeights(const std::string &id, const std::string &model, std::uint64_t version);

    /// Records that a server has reported to be cold for @p time. Ignored unless the known start of the server is
    /// @p born.
    void reportedCold(const std::string &id, std::uint64_t born, Duration time, TimePoint now);

    /// Records that a server has reported in an answer that it is leaving. This applies to its start at @p born and to
    /// earlier ones, not to later ones.
    /// @returns true when this was not known yet.
    bool reportedLeaving(const std::string &id, std::uint64_t born);

    /// Records that a server has asked this host for a rest: to send it no requests for @p time. This host then waits
    /// somewhat longer, by a part that depends on @p random, so that the hosts do not all return at once; it sends one
    /// request first and more once that has been answered.
    /// @returns when this host sends requests again; nothing when the known start of the server is not @p born.
    std::optional<TimePoint>
    askedForRest(const std::string &id, std::uint64_t born, Duration time, std::uint64_t random, TimePoint now);

    /// Looks at the servers of @p service that are neither leaving nor in an evacuated domain.
    /// @returns the earliest time at which one of them may be used again if all of them rest; nothing if one does not
    ///     rest or there are none.
    [[nodiscard]] std::optional<TimePoint> restEndsAt(const std::string &service, TimePoint now) const;

    /// @returns whether the server may be sent new requests now, as far as this host knows and apart from its load.
    [[nodiscard]] bool isOpen(const ServerView &server, TimePoint now) const;

    /// @returns whether the server is cold: started a short time ago, or possibly so, and to be sent few requests.
    [[nodiscard]] static bool isCold(const ServerView &server, TimePoint now);

    /// @returns whether this host may send one more request to the server within the limit for cold servers. Always
    ///     true for a server that is not cold.
    [[nodiscard]] static bool hasColdRoom(const ServerView &server, const ColdBound &bound, TimePoint now);

    [[nodiscard]] const std::map<std::string, ServerView> &servers() const;
    [[nodiscard]] const ServerView *find(const std::string &id) const;

private:
    void remove(std::map<std::string, ServerView>::iterator server);

    std::map<std::string, ServerView> views;
    std::unordered_map<std::uint32_t, std::string> shortIds; ///< Server ids by short id.
    std::set<std::string> evacuatedDomains;
    std::map<std::string, UsualTimes> usualTimes; ///< Of answers, by service.
    /// By server id, the latest start at which the server has reported that it is leaving.
    std::map<std::string, std::uint64_t> leavingStarts;
    /// Start and heartbeat of the last entry of servers whose entries have been removed, by id.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> removedEntries;
};

} // namespace endivespan
