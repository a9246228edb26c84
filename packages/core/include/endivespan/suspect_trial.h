#pragma once

#include <endivespan/clock.h>
#include <endivespan/crash_watch.h>
#include <endivespan/suspect.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Trials of requests and parts of prompts that are refused because servers have crashed under them.
namespace endivespan {

/// The trials of one request or part by all hosts, as the log has them.
struct TrialHistory {
    std::size_t trials = 0;
    Duration age {}; ///< Since the latest one was permitted.
};

/// @returns the time until another trial is due, zero when it is; nothing when no further one is allowed.
/// @param sinceCrash Time since the latest crash under the request or part.
std::optional<Duration> timeUntilTrial(const TrialHistory &history, Duration sinceCrash);

/// @returns for how long host @p self waits after a trial is due, so that few of @p hosts ask for the same permit.
Duration trialTurn(const std::string &self, const std::set<std::string> &hosts, const Fingerprint &fingerprint);

/// Keeps the permits of this host for trials. A sound request that many callers share is running on every server when
/// all of them crash, and is refused from then on; only a run of it can show that it is sound. A trial is one run of a
/// refused request, like the request that a half-open circuit breaker lets pass: a complete answer ends the refusal,
/// and a crash prolongs it. All hosts together permit config::TrialsMost trials of one request or part.
class TrialPermits
{
public:
    enum class Answer {
        Permitted, ///< The caller holds a permit now.
        Ask, ///< The log must be asked: decide() and granted() or denied() follow.
        Denied,
    };

    /// Handles that a refused request could be run.
    /// @param sinceCrash Time since the latest crash under the request or part.
    /// @param turn Returns trialTurn(); called once for each refusal.
    [[nodiscard]] Answer
    request(const Fingerprint &fingerprint, Duration sinceCrash, const std::function<Duration()> &turn, TimePoint now);

    /// @returns whether a permit may be written to the log, which has this @p history.
    [[nodiscard]] bool
    decide(const Fingerprint &fingerprint, const TrialHistory &history, Duration sinceCrash, TimePoint now);

    /// Handles that the log has taken the permit, which the caller holds now.
    void granted(const Fingerprint &fingerprint, TimePoint now);

    /// Handles that the log was not reached, or that another host has written to it.
    void denied(const Fingerprint &fingerprint, TimePoint now);

    /// Keeps a permit under which no request was sent, for the next request.
    void giveBack(const Fingerprint &fingerprint);

    /// Drops what is known of requests and parts without crashes on record.
    void tick(const SuspicionTable &suspicions);

private:
    struct Entry {
        std::size_t held = 0; ///< Permits that nobody uses.
        std::size_t trials = 0; ///< As far as this host knows; a restored log may have fewer.
        TimePoint latestTrial;
        std::optional<Duration> turn;
        TimePoint askFrom; ///< Until then the log is not asked again; set ahead while it is being asked.
    };

    std::map<Fingerprint, Entry> entries;
};

/// Finds out whether servers outlive trials whose answers do not show it: failures, answers without a length, which a
/// server that crashes may send too, and those whose caller left. Later heartbeats of the same incarnation show it.
class TrialSurvivals
{
public:
    /// Handles the end of a trial whose answer had begun.
    void ended(const ServerIncarnation &life, const std::set<Fingerprint> &trials, TimePoint now);

    /// @returns the servers whose trials are still undecided.
    [[nodiscard]] std::vector<ServerIncarnation> watched() const;

    /// Handles the heartbeat count of the server's entry in the list, which may be up to config::ListLag old.
    /// @returns the requests and parts that are shown to be sound.
    [[nodiscard]] std::set<Fingerprint> heartbeat(const ServerIncarnation &life, std::uint64_t count, TimePoint now);

    /// Handles that the list has a later start of the server or no longer has the server.
    void onServerGone(const ServerIncarnation &life);

private:
    struct Watch {
        std::set<Fingerprint> trials;
        TimePoint endedAt; ///< The latest of them.
        std::optional<std::uint64_t> heartbeat; ///< Count seen last.
    };

    std::map<ServerIncarnation, Watch> watches;
};

} // namespace endivespan
