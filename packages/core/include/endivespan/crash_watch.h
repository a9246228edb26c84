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

/// Which requests were running on a backend server when it crashed.
namespace endivespan {

/// One start of one backend server.
struct ServerLife {
    std::string server;
    std::uint64_t born = 0; ///< Unix milliseconds of the start.

    auto operator<=>(const ServerLife &) const = default; // NOLINT(modernize-use-nullptr): false positive
};

/// What shows that a server has crashed.
enum class CrashEvidence {
    Unreachable, ///< Attempts were lost, and nothing listens at its address.
    Listed, ///< The list of servers has dropped it or has a later start.
};

/// A crash, or that an earlier one was none.
struct CrashFinding {
    ServerLife life;
    DeathId death = 0;
    CrashEvidence evidence = CrashEvidence::Unreachable;
    bool excused = false; ///< The server has lived on; the requests are free of it.
    std::vector<Fingerprint> running;
};

/// Counters of one CrashWatch.
struct CrashWatchStats {
    std::size_t watched = 0; ///< Servers with lost attempts that are not settled.
    std::uint64_t lost = 0; ///< Attempts.
    std::uint64_t confirmed = 0; ///< Crashes.
    std::uint64_t excused = 0;
    std::uint64_t expired = 0; ///< Lost attempts that were never settled.
};

/// Answers requests that crash each server which runs them: every attempt that is lost may have crashed its server,
/// whether it was answered in part or in silence. The list of servers tells that seconds later, so that the server's
/// address is tried at once. A server that is heard of again has not crashed.
class CrashWatch
{
public:
    /// Takes that an attempt ended without a whole answer and without word from its server.
    void lost(const ServerLife &life, const Fingerprint &request, TimePoint now);

    /// Takes a byte of an answer. It settles only what no evidence has settled: a server may be back under its name
    /// before the list says so.
    void heard(const ServerLife &life, TimePoint now);

    /// Takes the count in the server's entry of the list, which may be some seconds old.
    void heartbeat(const ServerLife &life, std::uint64_t count, TimePoint now);

    /// Takes that no connection could be made. That one can be made tells nothing: the server may have started again.
    void unreachable(const ServerLife &life);

    /// Takes that the list has a later start of the server, or none.
    void ended(const ServerLife &life);

    /// @returns the servers whose address should be tried now; each is named once a try.
    [[nodiscard]] std::vector<ServerLife> takeDue(TimePoint now);

    /// @returns what has been found out since the last call. Forgets losses that stay unsettled.
    [[nodiscard]] std::vector<CrashFinding> takeFindings(TimePoint now);

    /// @returns the servers that may just have crashed under @p request, as far as that is not settled.
    [[nodiscard]] std::size_t unsettled(const Fingerprint &request, TimePoint now) const;

    /// @returns the servers with lost attempts, for the list to settle.
    [[nodiscard]] std::vector<ServerLife> watched() const;

    [[nodiscard]] CrashWatchStats stats() const;

private:
    struct Loss {
        Fingerprint request;
        TimePoint at;
        bool accused = false;
    };
    struct Watch {
        std::vector<Loss> losses;
        TimePoint nextTry;
        std::uint32_t tries = 0;
        std::optional<std::uint64_t> heartbeat;
    };

    static CrashFinding findingOf(const ServerLife &life, CrashEvidence evidence, bool excused);
    void accuse(const ServerLife &life, Watch &watch, CrashEvidence evidence);
    void acquit(const ServerLife &life, Watch &watch, TimePoint before, bool accusedToo);

    std::map<ServerLife, Watch> watches;
    std::vector<CrashFinding> findings;
    CrashWatchStats counters;
};

std::string_view crashEvidenceName(CrashEvidence evidence);

} // namespace endivespan
