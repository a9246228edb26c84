#pragma once

#include "peer_task.h"

#include <endivespan/cache_scopes.h>
#include <endivespan/confirmation.h>
#include <endivespan/event_log.h>
#include <endivespan/forward_codec.h>
#include <endivespan/keyed_log.h>
#include <endivespan/loop.h>
#include <endivespan/relay.h>
#include <endivespan/weight_history.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// Reads the operators' records from the log: the configuration, evacuations and weight versions.
namespace endivespan {

/// State that results from the operators' records that this host has applied.
struct OperatorState {
    std::shared_ptr<const ForwardConfig> config; ///< Null before the first one.
    std::set<std::string> evacuated; ///< Names of failure domains.
    CacheScopes scopes;
    WeightHistory weights;
};

/// Reads the newest records once, then uses reads that wait at the log for new records, so that a change arrives
/// within one round trip. While another host reads the log for this one, the reader's answers take the place of these
/// reads.
class OperatorFeed : public PeerState
{
public:
    /// @param confirmation Receives the offset up to which the topic was read, and the log's end with the time of it.
    /// @param membership Receives whether the log is reachable, and the offset.
    /// @param ages Limits on the age of facts, and wait times of reads.
    /// @param rewriteTime Time after a restore of the log within which operators write again what it lost.
    /// @param changed Called after each change of state().
    OperatorFeed(Loop &loop,
                 KeyedLog &log,
                 const RecordCodec &codec,
                 EventLog &events,
                 Membership &membership,
                 ConfigConfirmation &confirmation,
                 const RelayAgeLimits &ages,
                 Duration rewriteTime,
                 std::function<void()> changed);

    void start();

    [[nodiscard]] const OperatorState &state() const;

    /// Sets whether another host reads for this one. If so, this host reads the log only once the reader's facts are
    /// too old, or when the reader has read further than this host.
    void setShared(bool shared);

    /// Handles the statement of the reader @p peer about its configuration.
    /// @param askedAt When the reader was asked.
    void onReaderStatement(const std::string &peer, const ConfigStatement &statement, TimePoint askedAt);

    [[nodiscard]] bool wantsPeerState() const override;
    [[nodiscard]] bool wantsPeerTimes() const override;
    [[nodiscard]] std::string encodeState() const override;
    Result<void> adoptState(std::string_view bytes, TimePoint askedAt) override;

private:
    void readNewest();
    void readOn();
    void retryRead();
    [[nodiscard]] Duration timeUntilOwnRead() const;
    [[nodiscard]] bool isOverdue() const;
    void applyBatch(std::uint64_t from, const KeyedBatch &batch, TimePoint asOf);
    void onReadFailed(const Error &error);
    void onLogAnswer();
    void apply(const KeyedRecord &record);
    void applyConfig(const std::shared_ptr<const ForwardConfig> &config);
    void adoptNamings(const std::vector<WeightNaming> &namings, TimePoint askedAt);
    void putRecords(const std::vector<KeyedRecord> &records);
    void dropMissing(const std::vector<KeyedRecord> &records);
    void adoptNewest(const KeyedBatch &batch);
    [[nodiscard]] bool isOutdated(const OperatorRecord &record) const;
    void advanceTo(std::uint64_t offset);

    Loop &loop;
    KeyedLog &log;
    const RecordCodec &codec;
    EventLog &events;
    Membership &membership;
    ConfigConfirmation &confirmation;
    const RelayAgeLimits ages;
    const Duration rewriteTime;
    std::function<void()> changed;
    OperatorState current;
    std::map<std::string, std::string> rawValues; ///< Newest value by key, for peers.
    std::uint64_t next = 0; ///< Position up to which records are applied.
    /// After a restore: when records that are still missing are dropped.
    std::optional<TimePoint> dropMissingAt;
    bool hasNewest = false; ///< The newest records were read, so that reads can go on at the offset.
    RelayedDataAge sharedFact; ///< Age of the state, and when this host must read itself.
    bool newerSeen = false; ///< The reader has read further than this host.
    TimePoint newerSeenAt;
    std::optional<TimePoint> readingSince; ///< Start of the read that is under way.
    bool reachable = true; ///< The latest read of the log succeeded.
    unsigned namingAnswers = 0; ///< States of peers received since the newest records were read.
    unsigned failures = 0; ///< Reads that have failed since the last success.
    std::unique_ptr<Timer> retry;
    std::unique_ptr<Timer> relayWait; ///< Set while the reader's facts make an own read unnecessary.
};

} // namespace endivespan
