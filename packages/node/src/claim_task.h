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

/// Claims of non-idempotent requests: the keepers of all claim streams with their log calls.
namespace endivespan {

using ClaimCallback = std::function<void(const ClaimVerdict &)>;

/// Owns one keeper for each claim stream.
class ClaimTask
{
public:
    /// @param log Must outlive the task, as must @p loop.
    /// @param incarnation Random number of this process.
    ClaimTask(Loop &loop, LogClient &log, const Settings &settings, std::uint64_t incarnation);
    ~ClaimTask();
    ClaimTask(const ClaimTask &) = delete;
    ClaimTask &operator=(const ClaimTask &) = delete;

    /// Asks for a verdict. @p callback is called once, never inside this call, unless the ticket is released first.
    ClaimTicket begin(const ClaimAsk &ask, ClaimCallback callback);

    /// To be called before the first byte of a granted request is sent.
    /// @returns false when the grant is void; the ticket has ended then, and the request has not run.
    [[nodiscard]] bool startRun(ClaimTicket ticket);

    /// Ends a started ticket with what became of the run.
    void finish(ClaimTicket ticket, OutcomeKind kind, const ClaimAnswer &answer);

    /// Ends a ticket whose request certainly has not run.
    void release(ClaimTicket ticket);

    /// Drives the keepers; call each tick.
    /// @param liveHosts Hosts that share the log's append rate, this one included.
    void tick(std::size_t liveHosts);

    /// @returns true when nothing waits for the log, so that the host may stop.
    [[nodiscard]] bool isIdle() const;

    /// @returns the streams that have been read to their end.
    [[nodiscard]] std::size_t loadedShards() const;

    /// Sets the gauges of this task.
    void report(Metrics &metrics) const;

    /// @returns the counts of all streams together.
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
    std::vector<std::unique_ptr<ClaimKeeper>> keepers; ///< By stream.
    std::map<ClaimTicket, Ticket> tickets;
    ClaimTicket lastTicket = 0;
    std::size_t liveHosts = 1;
    double appendTokens;
    TimePoint tokensAt;
    std::map<std::uint64_t, std::unique_ptr<Timer>> delayed;
    std::uint64_t nextDelayed = 0;
};

} // namespace endivespan
