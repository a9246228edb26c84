#pragma once

#include <endivespan/clock.h>
#include <endivespan/suspect.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Detects crashes of backend servers and finds the requests that were running on a server when it crashed.
namespace endivespan {

/// One run of a backend server, from its start to its end. Identifies the process; the name alone may be reused.
struct ServerIncarnation {
    std::string server;
    std::uint64_t born = 0; ///< Unix milliseconds of the start.

    auto operator<=>(const ServerIncarnation &) const = default; // NOLINT(modernize-use-nullptr): false positive
};

/// The observation that a server is taken to have crashed on.
enum class CrashEvidence {
    Unreachable, ///< Attempts were lost, and no connection to its address can be made.
    Listed, ///< The list of servers no longer has it, or has a later start of it.
};

/// How an attempt was lost.
enum class LossKind {
    Broken, ///< Its connection or answer broke off.
    Silent, ///< Its server sent nothing for too long, as a sound server may for a second or so.
};

/// Reports a crash, or withdraws an earlier report because the server turned out to be running.
struct CrashFinding {
    ServerIncarnation life;
    CrashId death = 0;
    CrashEvidence evidence = CrashEvidence::Unreachable;
    bool retracted = false; ///< True when the report is withdrawn: the crash no longer counts against the requests.
    TimePoint at; ///< When the last of their attempts was lost.
    std::vector<Fingerprint> running; ///< Requests that were running on the server, and parts of their prompts.
};

/// Counters of one CrashWatch.
struct CrashWatchStats {
    std::size_t watched = 0; ///< Servers that have lost attempts on record.
    std::uint64_t lost = 0; ///< Lost attempts that were recorded.
    std::uint64_t confirmed = 0; ///< Crash reports.
    std::uint64_t excused = 0; ///< Withdrawn crash reports.
    std::uint64_t expired = 0; ///< Lost attempts dropped after config::CrashWatchTime without evidence of a crash.
};

/// Protects against requests that crash every server that runs them. Each lost attempt, whether part of its answer
/// had arrived or nothing, may have crashed its server. Since the list of servers shows a crash only seconds later, the
/// server's address is tried shortly after the loss. A later answer or heartbeat shows that the server did not crash.
class CrashWatch
{
public:
    /// Records an attempt that ended without a complete answer and without an error answer from its server.
    /// @param request Fingerprint of the request or of a part of its prompt.
    void recordLoss(const ServerIncarnation &life, const Fingerprint &request, LossKind kind, TimePoint now);

    /// Handles bytes of an answer from the server: drops its earlier losses for which there is no evidence of a crash.
    /// Those with evidence stay, since the answer may come from a restarted server that the list does not show yet.
    /// Losses within config::CrashLastBytes before stay too, since the bytes may have been on the way when the server
    /// crashed.
    void onAnswerBytes(const ServerIncarnation &life, TimePoint now);

    /// Handles the heartbeat count of the server's entry in the list, which may be up to config::ListLag old. A count
    /// that has risen drops losses older than that, and withdraws the crash report of those that had evidence.
    void heartbeat(const ServerIncarnation &life, std::uint64_t count, TimePoint now);

    /// Handles a failed connection to the server: its broken attempts count as a crash, its silent ones once
    /// config::CrashProbes connections in a row have failed.
    void unreachable(const ServerIncarnation &life);

    /// Handles an established connection to the address of the server. It excuses no loss, since the server may have
    /// been restarted.
    void reachable(const ServerIncarnation &life);

    /// Handles that the list has a later start of the server or no longer has the server.
    void onServerGone(const ServerIncarnation &life);

    /// @returns the servers to whose address a connection should be tried now. Counts one try for each.
    [[nodiscard]] std::vector<ServerIncarnation> takeDue(TimePoint now);

    /// @returns the findings since the last call. Drops losses older than config::CrashWatchTime.
    [[nodiscard]] std::vector<CrashFinding> takeFindings(TimePoint now);

    /// @returns how many servers broke off an attempt of @p request within config::CrashUnsettledTime without evidence
    ///     of a crash so far.
    [[nodiscard]] std::size_t unsettled(const Fingerprint &request, TimePoint now) const;

    /// @returns the servers with lost attempts, which the caller looks up in the list of servers.
    [[nodiscard]] std::vector<ServerIncarnation> watched() const;

    [[nodiscard]] CrashWatchStats stats() const;

private:
    /// The last lost attempt of one request on one server.
    struct Loss {
        Fingerprint request;
        TimePoint at;
        LossKind kind = LossKind::Broken;
        bool reported = false; ///< True once it was part of a crash report.
    };
    /// State of one server with lost attempts.
    struct Watch {
        std::vector<Loss> losses;
        TimePoint nextTry; ///< Of a connection to its address.
        std::uint32_t tries = 0; ///< Since the last lost attempt.
        std::uint32_t failedTries = 0; ///< In a row.
        std::optional<std::uint64_t> heartbeat; ///< Count seen last.
    };

    static CrashFinding findingOf(const ServerIncarnation &life, CrashEvidence evidence, bool excused);
    /// Reports the losses for which @p evidence is enough.
    void reportCrash(const ServerIncarnation &life, Watch &watch, CrashEvidence evidence);
    void dropLosses(const ServerIncarnation &life, Watch &watch, TimePoint before, bool reportedToo);

    std::map<ServerIncarnation, Watch> watches;
    std::vector<CrashFinding> findings;
    CrashWatchStats counters;
};

std::string_view crashEvidenceName(CrashEvidence evidence);

} // namespace endivespan
