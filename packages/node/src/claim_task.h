#pragma once

#include "metrics.h"

#include <endivespan/claim_keeper.h>
#include <endivespan/log_client.h>
#include <endivespan/loop.h>
#include <endivespan/settings.h>

#include <functional>
#include <map>
#include <memory>
#include <vector>

/// Claims of non-idempotent requests: one ClaimKeeper for each claim stream, and the log calls they ask for.
namespace endivespan {

using ClaimCallback = std::function<void(const ClaimVerdict &)>;

/// Connects the claim keepers with the log and reports their verdicts to the requests.
/// A claim makes a non-idempotent request run at most once: it is recorded in the log before the request is sent.
class ClaimTask
{
public:
    /// @param log Must outlive the task, as must @p loop.
    /// @param incarnation Random number that identifies this process among all that ran under the same host name.
    ClaimTask(Loop &loop, LogClient &log, const Settings &settings, std::uint64_t incarnation);
    ~ClaimTask();
    ClaimTask(const ClaimTask &) = delete;
    ClaimTask &operator=(const ClaimTask &) = delete;

    /// Asks for the claim of a request. @p callback receives the verdict exactly once, and never inside this call; it
    /// is not called when release() ends the ticket first.
    ClaimTicket begin(const ClaimAsk &ask, ClaimCallback callback);

    /// Must be called right before the first byte of a granted request is sent.
    /// @returns false when the grant is no longer valid. The ticket has then ended, and the request must not be sent.
    [[nodiscard]] bool startRun(ClaimTicket ticket);

    /// Ends a ticket whose run was started, and records the outcome of the run.
    void finish(ClaimTicket ticket, OutcomeKind kind, const ClaimAnswer &answer);

    /// Ends a ticket whose request has certainly not run. Does nothing for a ticket that has already ended.
    void release(ClaimTicket ticket);

    /// Runs the periodic work of all keepers; must be called on every tick.
    /// @param liveHosts Number of hosts that share the log's append rate, including this one.
    void tick(std::size_t liveHosts);

    /// @returns true when no claim waits for the log, so that the host may stop.
    [[nodiscard]] bool isIdle() const;

    /// @returns the number of claim streams that have been read to their end.
    [[nodiscard]] std::size_t loadedShards() const;

    /// Sets the gauges of this task in @p metrics.
    void report(Metrics &metrics) const;

    /// @returns the counters summed over all claim streams.
    [[nodiscard]] ClaimKeeperStats stats() const;

private:
    struct Ticket {
        std::uint32_t shard = 0;
        ClaimCallback callback;
    };

    ClaimKeeper &keeperOf(ClaimTicket ticket);
    void carryOut(std::uint32_t shard, const ClaimActions &actions);
    void append(std::uint32_t shard, const ClaimAppend &append);
    void sendAppend(std::uint32_t shard, std::uint64_t id, const std::vector<std::string> &records);
    void read(std::uint32_t shard, const ClaimRead &read);
    void deliver(const ClaimVerdict &verdict);
    [[nodiscard]] Duration appendDelay();

    Loop &loop;
    LogClient &log;
    std::vector<std::unique_ptr<ClaimKeeper>> keepers; ///< Indexed by claim stream.
    std::map<ClaimTicket, Ticket> tickets;
    ClaimTicket lastTicket = 0;
    std::size_t liveHosts = 1;
    double appendTokens;
    TimePoint tokensAt;
    std::map<std::uint64_t, std::unique_ptr<Timer>> delayed;
    std::uint64_t nextDelayed = 0;
};

} // namespace endivespan
