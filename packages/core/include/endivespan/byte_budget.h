#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

/// Limit on what a host holds of the requests of all callers.
namespace endivespan {

/// Limits for all connections of callers together.
struct ByteBudgetLimits {
    std::size_t bytes; ///< Of all requests, complete or not.
    std::size_t incomplete; ///< Connections on which a request is incomplete.
    std::size_t refused; ///< Refused connections that wait for their caller to read the refusal.
    std::size_t small = 0; ///< Of a request that counts as small.
    std::size_t reserve = 0; ///< Beyond the limit of bytes, for small requests.
};

/// Accounts the bytes of requests by connection, and chooses the connections to be refused.
///
/// Exists for the load in which many callers outside the control of the operator send large bodies, do not end them and
/// keep their connections open, while ordinary callers send small requests.
class ByteBudget
{
public:
    using Connection = std::uint64_t;

    /// Decides whether a connection may be refused.
    enum class Phase {
        Incomplete, ///< Its request has not been received to its end, so that it has certainly not run.
        Complete, ///< Its request may be running.
        Refused, ///< It was refused while its request was incomplete, and is about to be closed.
    };

    explicit ByteBudget(ByteBudgetLimits limits);

    void setLimits(ByteBudgetLimits limits);

    /// Records what a connection holds. For an incomplete request this counts as progress.
    void record(Connection connection, Phase phase, std::size_t bytes);

    /// Forgets a connection that holds nothing of a request.
    void remove(Connection connection);

    /// @returns the connection to be refused next: of those with an incomplete request the one with the least recent
    ///     progress, for the number of bytes only of those that hold much. Nothing while all limits are kept, and
    ///     nothing for the number of bytes if only one connection holds any, so that a single request is always
    ///     admitted.
    [[nodiscard]] std::optional<Connection> toRefuse() const;

    /// @returns the refused connection to be closed next without waiting for its caller, if there are too many.
    [[nodiscard]] std::optional<Connection> toClose() const;

    /// @returns the bytes of all connections.
    [[nodiscard]] std::size_t held() const;

    /// @returns the number of connections with an incomplete request.
    [[nodiscard]] std::size_t incomplete() const;

private:
    struct Entry {
        Phase phase;
        std::size_t bytes;
        std::uint64_t turn; ///< Its key in the order of its phase.
    };
    using Order = std::map<std::uint64_t, Connection>; ///< By time of the last progress, or of the refusal.

    [[nodiscard]] bool isSmall(const Entry &entry) const;
    /// @returns the incomplete request with the least recent progress that holds at least @p least bytes.
    [[nodiscard]] std::optional<Connection> oldestIncomplete(std::size_t least) const;
    void count(const Entry &entry, bool isAdded);

    ByteBudgetLimits limits;
    std::map<Connection, Entry> entries;
    Order incompleteOrder;
    Order refusedOrder;
    std::size_t bytes = 0;
    std::size_t smallBytes = 0; ///< Of small requests.
    std::size_t incompleteBytes = 0; ///< Of incomplete requests.
    std::size_t holders = 0; ///< Connections that hold bytes.
    std::uint64_t nextTurn = 1;
};

} // namespace endivespan
