#pragma once

#include <endivespan/clock.h>
#include <endivespan/handle.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Credits that limit the requests which all hosts together send to a cold backend server.
namespace endivespan {

/// States that one incarnation of a backend server has become warm. Valid until the server turns cold.
struct WarmStatement {
    ServerHandle server;
    std::string incarnation;
    std::uint64_t epoch
        = 0; ///< Increases each time the server turns cold: the owner's fence in the high bits, a count in the low.

    bool operator==(const WarmStatement &) const = default;
};

/// Asks the owner of a cold server for credits.
struct CreditRequest {
    ServerHandle server;
    std::uint64_t requestId = 0; ///< Unique within the asking process.
    std::uint32_t wanted = 1;
};

/// Answers a CreditRequest. The credits are numbered firstId, firstId + 1, …
struct CreditGrant {
    ServerHandle server;
    std::uint64_t requestId = 0;
    std::uint64_t fence = 0; ///< Fencing number of the owner's lease.
    std::uint64_t firstId = 0;
    std::uint32_t count = 0;
    std::optional<WarmStatement> warm; ///< Set when no credits are needed.
};

/// What a credit was used for.
enum class CreditOutcome {
    Completed, ///< The server answered completely; counts towards becoming warm.
    Failed, ///< The request was sent and not answered completely.
    Unused, ///< No request was sent.
};

/// Returns one credit to the owner.
struct CreditReturn {
    ServerHandle server;
    std::uint64_t fence = 0;
    std::uint64_t id = 0;
    CreditOutcome outcome = CreditOutcome::Unused;
};

/// Most requests that may run on a server at a time, from the configuration.
struct CreditLimits {
    std::uint32_t coldConcurrency = 1; ///< Right after a start.
    std::uint32_t warmConcurrency = 8; ///< Reached in doubling steps; from here on no credits are needed.
};

/// Counters of one CreditOwner.
struct CreditOwnerStats {
    std::uint64_t granted = 0; ///< Credits.
    std::uint64_t refused = 0; ///< Requests that were granted no credit.
    std::uint64_t reclaimed = 0; ///< Credits that expired without having been returned.
    std::uint64_t coldStarts = 0; ///< Times a server was taken for cold.
    std::uint64_t warmed = 0; ///< Times a server became warm.
};

/// Grants credits for the servers whose lease this host holds. Protects servers that are slow or fail under load right
/// after a start: at most coldConcurrency requests run at first, and the limit doubles as requests complete.
class CreditOwner
{
public:
    /// Starts to own @p server. Grants nothing until every credit of an earlier owner has expired.
    /// @param warm The warm statement in force on this host, or nothing when the server must be taken for cold.
    /// @param isFirst True when the server certainly had no owner before, so that no wait is needed.
    void own(ServerHandle server,
             const CreditLimits &limits,
             std::uint64_t fence,
             const std::optional<WarmStatement> &warm,
             bool isFirst,
             TimePoint now);

    /// Stops owning @p server, for example because the lease expired.
    void disown(ServerHandle server);

    /// Handles a load report that this host received from the server itself.
    /// @param inFlight Running and queued requests according to the report.
    void onLoadReport(ServerHandle server, const std::string &incarnation, std::uint32_t inFlight, TimePoint now);

    /// Takes the server for cold from now on, after a refused connection, a time-out or missing load reports.
    void markCold(ServerHandle server, TimePoint now);

    /// Answers a request for credits. A grant of no credits and without a warm statement means to ask again later.
    [[nodiscard]] CreditGrant request(const CreditRequest &request, TimePoint now);

    /// Handles a returned credit. Repeated and unknown returns are ignored.
    void giveBack(const CreditReturn &credit);

    /// Reclaims credits whose request must have ended by now, even if it was sent at the last permitted moment.
    void tick(TimePoint now);

    /// @returns the warm statement to tell other hosts, or nothing while @p server is cold or not owned.
    [[nodiscard]] std::optional<WarmStatement> statement(ServerHandle server) const;

    /// @returns how many requests may run on @p server at a time now; 0 when not owned.
    [[nodiscard]] std::uint32_t window(ServerHandle server) const;

    [[nodiscard]] const CreditOwnerStats &stats() const;

private:
    struct Grant {
        TimePoint endsBy; ///< When a request sent with the credit has ended at the latest.
        std::uint64_t epoch = 0; ///< At the time of the grant.
    };

    struct Owned {
        CreditLimits limits;
        std::uint64_t fence = 0;
        std::string incarnation;
        std::uint64_t epoch = 0;
        bool warm = false;
        std::uint32_t window = 0; ///< Most requests at a time; starts at coldConcurrency and doubles per wave.
        std::uint32_t completedInWave = 0; ///< Since the window last changed; a wave is one window of requests.
        TimePoint grantableFrom; ///< From here on load reports cover all work of earlier owners.
        std::optional<std::uint32_t> earlierWork; ///< Requests of earlier owners that may run; unset when unknown.
        std::map<std::uint64_t, Grant> outstanding; ///< By credit number.
    };

    void startCold(Owned &owned, TimePoint now);
    static void complete(Owned &owned, CreditOwnerStats &stats);

    std::map<ServerHandle, Owned> servers;
    std::uint64_t nextId = 1;
    CreditOwnerStats counters;
};

/// Permission to send one request to one server.
struct CreditUse {
    ServerHandle server;
    bool warm = false; ///< True when no credit was needed.
    std::uint64_t fence = 0;
    std::uint64_t id = 0;
    TimePoint mustEndBy; ///< A request that still runs at this point is cancelled.
};

/// Holds the credits and warm statements of this host: what it may send to which server.
class CreditHolder
{
public:
    /// Handles a load report of @p server, received from it or through a peer.
    /// @param at When the report was current; one older than the latest is ignored.
    void onLoadReport(ServerHandle server, const std::string &incarnation, TimePoint at);

    /// Handles a refused connection, a time-out or a changed incarnation: drops all credits and the warm statement.
    void markCold(ServerHandle server);

    /// Handles a warm statement. It is ignored unless it is newer than the one held and than all that are void here.
    void learnWarm(const WarmStatement &statement);

    /// Voids warm statements up to @p epoch, as told by a peer.
    void voidThrough(ServerHandle server, std::uint64_t epoch);

    /// @returns the epoch up to which warm statements are void on this host; 0 for none.
    [[nodiscard]] std::uint64_t coldThrough(ServerHandle server) const;

    /// @returns true when requests may be sent to @p server without a credit.
    [[nodiscard]] bool isWarm(ServerHandle server, TimePoint now) const;

    /// @returns the warm statement in force on this host, or nothing. It is in force while load reports of the same
    ///     incarnation are at most config::LoadReportStaleAfter old.
    [[nodiscard]] std::optional<WarmStatement> statement(ServerHandle server, TimePoint now) const;

    /// @returns a request for @p wanted credits to send to the owner, or nothing while an earlier one awaits an answer.
    [[nodiscard]] std::optional<CreditRequest> ask(ServerHandle server, std::uint32_t wanted, TimePoint now);

    /// Handles the owner's answer. A repeated answer is ignored; the credits of a late one are returned unused.
    void onGrant(const CreditGrant &grant, TimePoint now);

    /// Takes one credit; none is needed while the server is warm. To be called right before dispatch.
    /// @returns the permission to send one request, or nothing when there is no usable credit.
    [[nodiscard]] std::optional<CreditUse> take(ServerHandle server, TimePoint now);

    /// Checks, right before the first byte is sent, that the permission is still valid. Counts a violated invariant if
    /// not.
    /// @returns false when the request must not be sent.
    [[nodiscard]] bool checkDispatch(const CreditUse &use, TimePoint now) const;

    /// Ends the use of a permission. @returns the message to the owner, or nothing when no credit was used.
    [[nodiscard]] std::optional<CreditReturn> finish(const CreditUse &use, CreditOutcome outcome);

    /// Drops expired credits.
    /// @returns the messages to the owners that return expired credits and those dropped unused since the last call.
    [[nodiscard]] std::vector<CreditReturn> tick(TimePoint now);

    /// @returns the credits of @p server that could be taken now.
    [[nodiscard]] std::size_t usable(ServerHandle server, TimePoint now) const;

private:
    struct Credit {
        std::uint64_t fence = 0;
        std::uint64_t id = 0;
        TimePoint expires;
    };

    struct Pending {
        std::uint64_t requestId = 0;
        TimePoint sentAt;
    };

    struct Held {
        std::string incarnation;
        TimePoint heardAt; ///< Of the latest load report.
        std::optional<WarmStatement> warm;
        std::uint64_t coldSinceEpoch = 0; ///< Warm statements up to this epoch are void.
        std::optional<Pending> pending; ///< The request that awaits its answer.
        std::set<std::uint64_t> abandoned; ///< Earlier requests; credits in late answers to them are returned unused.
        std::vector<Credit> credits;
    };

    static void abandonPending(Held &held);
    void giveBack(const CreditGrant &grant);

    std::map<ServerHandle, Held> servers;
    std::vector<CreditReturn> unused; ///< Returned by the next tick().
    std::uint64_t nextRequestId = 1;
};

} // namespace endivespan
