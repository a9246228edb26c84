#pragma once

#include "fleet_source.h"
#include "peer_task.h"

#include <endivespan/config_fold.h>
#include <endivespan/confirmation.h>
#include <endivespan/log_client.h>
#include <endivespan/loop.h>
#include <endivespan/settings.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// The task that keeps the configuration of this host up to date.
namespace endivespan {

/// What /status and /metrics tell about the configuration.
struct ConfigStatus {
    std::uint64_t revision = 0;
    std::string digest;
    std::uint64_t covers = 0;
    bool ready = false;
    bool stale = false;
    std::optional<Duration> confirmedAge; ///< Since the log confirmed the state, directly or through peers.
    /// From the stamp of the log service on the newest note to its fold here, by this host's wall clock: the clocks of
    /// the two differ by an unknown amount. Empty for what was folded while catching up.
    std::optional<std::chrono::milliseconds> inForceDelay;
    ConfigFoldStats fold;
};

/// Tails the stream "config", takes state from peers when cut off from it, and appends snapshots when one is due.
class ConfigTask : public FleetSource, public PeerState
{
public:
    /// @param loop Runs the task; it and all others outlive the task.
    /// @param membership Told what this host has folded and whether it reaches the log.
    /// @param confirmation Told what was folded and what the log said; peers tell it the rest.
    ConfigTask(
        Loop &loop, LogClient &log, const Settings &settings, Membership &membership, Confirmation &confirmation);

    /// Starts reading.
    void start();

    [[nodiscard]] const Fleet &fleet() const override;
    [[nodiscard]] bool isReady() const override;
    [[nodiscard]] bool isStale() const override;
    [[nodiscard]] std::string digest() const override;
    [[nodiscard]] std::optional<std::chrono::milliseconds> inForceDelay() const override;

    /// @returns the organisation that holds the key with @p keyDigest, or null.
    [[nodiscard]] const Organisation *organisationOfKey(const std::string &keyDigest) const;

    [[nodiscard]] ConfigStatus status() const;

    /// Adds a callback that runs after each change of the fleet.
    void onChanged(std::function<void(const FleetChanged &)> callback);

    [[nodiscard]] bool wantsPeerState() const override;

    /// Sets the place of this host in the order in which hosts write snapshots, 0 first; makes duplicates rare.
    void setSnapshotRank(std::function<std::size_t()> rank);

    [[nodiscard]] std::string encodeState() const override;
    Result<void> adoptState(std::string_view bytes) override;

private:
    void read();
    void readOverdue();
    void readDone(std::uint64_t readId, TimePoint askedAt, const Result<LogBatch> &result);
    bool take(const LogBatch &batch, TimePoint askedAt);
    void retryLater(std::string_view reason);
    void folded();
    void handle(const std::vector<ConfigAction> &actions);
    void handleSettled(const NoteOutcome &outcome) const;
    void handleChanged(const FleetChanged &change);
    void planSnapshot();
    [[nodiscard]] Duration snapshotDelay();
    void writeSnapshot();
    void appendParts(std::size_t first, unsigned attempt);

    Loop &loop;
    LogClient &log;
    Membership &membership;
    Confirmation &confirmation;
    std::mt19937_64 random;
    std::string writer;
    std::uint64_t nextSequence = 1;
    ConfigFold fold;
    std::vector<std::function<void(const FleetChanged &)>> listeners;
    std::function<std::size_t()> snapshotRank;
    std::set<std::uint64_t> reads; ///< Calls whose answer is awaited.
    std::uint64_t nextReadId = 1;
    unsigned failures = 0; ///< Reads that failed since the last answer.
    TimePoint lastAnswer; ///< When the log last answered.
    std::uint64_t oldest = 0; ///< Oldest offset that the log keeps.
    bool ready = false;
    bool caughtUp = false;
    std::optional<std::chrono::milliseconds> lastDelay; ///< See ConfigStatus::inForceDelay.
    std::vector<std::string> snapshotParts; ///< Encoded parts of the snapshot that is being appended.
    std::unique_ptr<Timer> readTimer;
    std::unique_ptr<Timer> overdueTimer;
    std::unique_ptr<Timer> snapshotCheck;
    std::unique_ptr<Timer> snapshotTimer;
};

} // namespace endivespan
