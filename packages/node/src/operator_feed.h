#pragma once

#include "peer_task.h"

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

/// Follows what operators write to the log: the configuration, evacuations and weight versions.
namespace endivespan {

/// Everything that operators have said, as far as it is known here.
struct OperatorState {
    std::shared_ptr<const ForwardConfig> config; ///< Null before the first one.
    std::set<std::string> evacuated; ///< Failure domains.
    WeightHistory weights;
};

/// Reads the newest records once and then waits for new ones, so that a change is known within one round trip.
class OperatorFeed : public PeerState
{
public:
    /// @param confirmation Told how far the topic was read and when the log said that there is no more.
    /// @param membership Told whether the log answers.
    /// @param ages How old facts may grow.
    /// @param changed Called after each change.
    OperatorFeed(Loop &loop,
                 KeyedLog &log,
                 const RecordCodec &codec,
                 EventLog &events,
                 Membership &membership,
                 Confirmation &confirmation,
                 const FactAges &ages,
                 std::function<void()> changed);

    void start();

    [[nodiscard]] const OperatorState &state() const;

    /// Sets whether another host reads for this one. While its facts are fresh this host reads the log only when there
    /// is something new.
    void setShared(bool shared);

    /// Takes what the host that reads for this one said of its configuration.
    void relayed(const std::string &peer, const ConfigStatement &statement, TimePoint askedAt);

    [[nodiscard]] bool wantsPeerState() const override;
    [[nodiscard]] std::string encodeState() const override;
    Result<void> adoptState(std::string_view bytes) override;

private:
    void readNewest();
    void readOn();
    void again();
    [[nodiscard]] Duration relayedFor() const;
    [[nodiscard]] bool isOverdue() const;
    void take(std::uint64_t from, const KeyedBatch &batch, TimePoint asOf);
    void failed(const Error &error);
    void answered();
    void apply(const KeyedRecord &record);
    void applyConfig(const std::shared_ptr<const ForwardConfig> &config);
    void replace(const std::vector<KeyedRecord> &records);
    void folded(std::uint64_t offset);

    Loop &loop;
    KeyedLog &log;
    const RecordCodec &codec;
    EventLog &events;
    Membership &membership;
    Confirmation &confirmation;
    const FactAges ages;
    std::function<void()> changed;
    OperatorState current;
    std::map<std::string, std::string> raw; ///< Newest value by key, for peers.
    std::uint64_t next = 0;
    bool followed = false; ///< The newest records were read; otherwise they are next.
    SharedFact fact;
    bool newerSeen = false; ///< The host that reads for this one has read further.
    TimePoint newerSeenAt;
    std::optional<TimePoint> readingSince; ///< Set while a read is not answered.
    bool reachable = true;
    unsigned failures = 0;
    std::unique_ptr<Timer> retry;
    std::unique_ptr<Timer> relayWait; ///< Set while another host reads for this one.
};

} // namespace endivespan
