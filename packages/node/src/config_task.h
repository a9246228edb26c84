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

/// Keeps the configuration of this host up to date.
namespace endivespan {

/// Configuration state that /status and /metrics report.
struct ConfigStatus {
    std::uint64_t revision = 0;
    std::string digest;
    std::uint64_t covers = 0;
    bool ready = false;
    bool stale = false;
    std::optional<Duration> confirmedAge; ///< Time since the log confirmed the state, directly or through peers.
    /// Time from the log service's timestamp on the newest release note until this host folded it. It compares the
    /// clock of the log service with the wall clock of this host, which differ by an unknown amount. Empty when the
    /// note was folded while this host was catching up.
    std::optional<std::chrono::milliseconds> inForceDelay;
    ConfigFoldStats fold;
};

/// Tails the log stream "config", takes the state from peers while the log is unreachable, and appends a snapshot to
/// the stream when one is due.
class ConfigTask : public FleetSource, public PeerState
{
public:
    /// @param loop Runs the task. All parameters but @p settings must outlive the task.
    /// @param membership Receives the offset that this host has folded up to, and whether it can reach the log.
    /// @param confirmation Receives what was folded and what the log answered; gossip adds what peers report.
    ConfigTask(
        Loop &loop, LogClient &log, const Settings &settings, Membership &membership, ConfigConfirmation &confirmation);

    /// Starts to read the stream.
    void start();

    [[nodiscard]] const Fleet &fleet() const override;
    [[nodiscard]] bool isReady() const override;
    [[nodiscard]] bool isStale() const override;
    [[nodiscard]] std::string digest() const override;
    [[nodiscard]] std::optional<std::chrono::milliseconds> inForceDelay() const override;

    /// @returns the organisation that owns the API key with digest @p keyDigest, or null.
    [[nodiscard]] const Organisation *organisationOfKey(const std::string &keyDigest) const;

    [[nodiscard]] ConfigStatus status() const;

    /// Adds a callback that is called after each change of the fleet.
    void onChanged(std::function<void(const FleetChanged &)> callback);

    [[nodiscard]] bool wantsPeerState() const override;

    /// Sets a function that returns the rank of this host; the host of rank 0 writes a due snapshot first. Later ranks
    /// wait longer, so that two hosts rarely write the same snapshot.
    void setSnapshotRank(std::function<std::size_t()> rank);

    [[nodiscard]] std::string encodeState() const override;
    Result<void> adoptState(std::string_view bytes, TimePoint askedAt) override;

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
    ConfigConfirmation &confirmation;
    std::mt19937_64 random;
    std::string writer;
    std::uint64_t nextSequence = 1;
    ConfigFold fold;
    std::vector<std::function<void(const FleetChanged &)>> listeners;
    std::function<std::size_t()> snapshotRank;
    std::set<std::uint64_t> reads; ///< Ids of the read calls that are under way.
    std::uint64_t nextReadId = 1;
    unsigned failures = 0; ///< Consecutive failed reads.
    TimePoint lastAnswer; ///< When the log last answered a read.
    std::uint64_t oldest = 0; ///< Oldest offset that the log still stores.
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
