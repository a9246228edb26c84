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

/// Credits that keep the work of a cold backend server within what it bears, over all hosts.
namespace endivespan {

/// Says that one incarnation of a backend server has become warm. It stays true until the server turns cold.
struct WarmStatement {
    ServerHandle server;
    std::string incarnation;
    std::uint64_t epoch
        = 0; ///< Rises with each time the server turned cold; (fence of the owner, count) in one number.

    bool operator==(const WarmStatement &) const = default;
};

/// Asks the owner of a cold server for credits.
struct CreditRequest {
    ServerHandle server;
    std::uint64_t requestId = 0; ///< Unique within the asking process.
    std::uint32_t wanted = 1;
};

/// Answers a CreditRequest. Each credit has a number of its own: firstId, firstId + 1, …
struct CreditGrant {
    ServerHandle server;
    std::uint64_t requestId = 0;
    std::uint64_t fence = 0; ///< Fencing number of the owner's lease.
    std::uint64_t firstId = 0;
    std::uint32_t count = 0;
    std::optional<WarmStatement> warm; ///< Set when no credits are needed.
};

/// What became of a credit.
enum class CreditOutcome {
    Completed, ///< The server answered whole; counts towards becoming warm.
    Failed,
    Unused,
};

/// Gives one credit back.
struct CreditReturn {
    ServerHandle server;
    std::uint64_t fence = 0;
    std::uint64_t id = 0;
    CreditOutcome outcome = CreditOutcome::Unused;
};

/// What a server bears, from the configuration.
struct CreditLimits {
    std::uint32_t coldConcurrency = 1;
    std::uint32_t warmConcurrency = 8;
};

/// Counters of one CreditOwner.
struct CreditOwnerStats {
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t reclaimed = 0; ///< Credits that were never returned.
    std::uint64_t coldStarts = 0;
    std::uint64_t warmed = 0;
};

/// Owner's side: grants credits of the servers that this host holds the lease of.
class CreditOwner
{
public:
    /// Starts owning @p server. Grants nothing until every credit of an earlier owner has expired.
    /// @param warm A statement known to this host, or nothing when the server must be taken as cold.
    /// @param isFirst True when it is certain that nobody has owned the server before: there is nothing to wait for.
    void own(ServerHandle server,
             const CreditLimits &limits,
             std::uint64_t fence,
             const std::optional<WarmStatement> &warm,
             bool isFirst,
             TimePoint now);

    /// Stops owning @p server, as when its lease lapsed.
    void disown(ServerHandle server);

    /// Takes a load report that the server sent itself.
    /// @param inFlight Running and queued requests of the report.
    void heard(ServerHandle server, const std::string &incarnation, std::uint32_t inFlight, TimePoint now);

    /// Takes a refused connection, a time-out or a server that went unheard of: it is cold at once.
    void turnCold(ServerHandle server, TimePoint now);

    /// Answers a request for credits; a grant of none means to ask again later.
    [[nodiscard]] CreditGrant request(const CreditRequest &request, TimePoint now);

    /// Takes a credit back. Repeated and unknown returns are ignored.
    void giveBack(const CreditReturn &credit);

    /// Reclaims credits whose latest possible end has passed.
    void tick(TimePoint now);

    /// @returns the statement to spread, or nothing while @p server is cold or not owned.
    [[nodiscard]] std::optional<WarmStatement> statement(ServerHandle server) const;

    /// @returns the requests that @p server bears now as far as is known; 0 when not owned.
    [[nodiscard]] std::uint32_t window(ServerHandle server) const;

    [[nodiscard]] const CreditOwnerStats &stats() const;

private:
    struct Grant {
        TimePoint endsBy;
        std::uint64_t epoch = 0;
    };

    struct Owned {
        CreditLimits limits;
        std::uint64_t fence = 0;
        std::string incarnation;
        std::uint64_t epoch = 0;
        bool warm = false;
        std::uint32_t window = 0;
        std::uint32_t completedInWave = 0;
        TimePoint grantableFrom;
        std::optional<std::uint32_t> earlierWork; ///< Work granted by earlier owners that may still run.
        std::map<std::uint64_t, Grant> outstanding;
    };

    void startCold(Owned &owned, TimePoint now);
    static void complete(Owned &owned, CreditOwnerStats &stats);

    std::map<ServerHandle, Owned> servers;
    std::uint64_t nextId = 1;
    CreditOwnerStats counters;
};

/// The right to send one request to one server.
struct CreditUse {
    ServerHandle server;
    bool warm = false; ///< True when no credit was needed.
    std::uint64_t fence = 0;
    std::uint64_t id = 0;
    TimePoint mustEndBy; ///< A run under a credit is cancelled at this point.
};

/// Holder's side: what this host may send to which server.
class CreditPurse
{
public:
    /// Takes a load report of @p server, direct or through a peer.
    /// @param at When the report was known to be true.
    void heard(ServerHandle server, const std::string &incarnation, TimePoint at);

    /// Takes a refused connection, a time-out or a cold notice of a peer: drops all credits and the warm statement.
    void turnCold(ServerHandle server);

    /// Takes a warm statement. One that is not newer than the last time the server turned cold here is ignored.
    void learnWarm(const WarmStatement &statement);

    /// Takes that statements up to @p epoch are void, as a peer says.
    void learnCold(ServerHandle server, std::uint64_t epoch);

    /// @returns the epoch up to which statements are void here.
    [[nodiscard]] std::uint64_t coldThrough(ServerHandle server) const;

    /// @returns true when @p server may get work without a credit.
    [[nodiscard]] bool isWarm(ServerHandle server, TimePoint now) const;

    /// @returns the statement in force here, or nothing.
    [[nodiscard]] std::optional<WarmStatement> statement(ServerHandle server, TimePoint now) const;

    /// @returns a request to send to the owner, or nothing while one is under way.
    [[nodiscard]] std::optional<CreditRequest> ask(ServerHandle server, std::uint32_t wanted, TimePoint now);

    /// Takes the answer of the owner. A repeated one is ignored; the credits of a late one go back unused.
    void granted(const CreditGrant &grant, TimePoint now);

    /// @returns the right to send one request, or nothing. Call it right before dispatch.
    [[nodiscard]] std::optional<CreditUse> take(ServerHandle server, TimePoint now);

    /// Asserts right before the first byte goes out that the right still stands.
    /// @returns false when the request must not be sent.
    [[nodiscard]] bool checkDispatch(const CreditUse &use, TimePoint now) const;

    /// Ends a use. @returns the message to the owner, or nothing for a warm use.
    [[nodiscard]] std::optional<CreditReturn> finish(const CreditUse &use, CreditOutcome outcome);

    /// Drops expired credits. @returns the messages that give unused ones back, those of dropped ones as well.
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
        TimePoint heardAt;
        std::optional<WarmStatement> warm;
        std::uint64_t coldSinceEpoch = 0; ///< Statements up to this epoch are void.
        std::optional<Pending> pending;
        std::set<std::uint64_t> abandoned; ///< Requests whose answer is no longer wanted.
        std::vector<Credit> credits;
    };

    static void abandonPending(Held &held);
    void giveBack(const CreditGrant &grant);

    std::map<ServerHandle, Held> servers;
    std::vector<CreditReturn> unused; ///< To give back with the next tick.
    std::uint64_t nextRequestId = 1;
};

} // namespace endivespan
