#pragma once

#include <endivespan/clock.h>
#include <endivespan/handle.h>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Requests that may have crashed the backend server that ran them: shared suspicion, solitary runs, refusal.
namespace endivespan {

/// Names a request by what it asks for, so that a request sent again has the same one.
struct Fingerprint {
    std::array<std::uint8_t, 16> bytes {};

    auto operator<=>(const Fingerprint &) const = default; // NOLINT(modernize-use-nullptr): false positive
};

/// @returns the fingerprint of a request of @p organisation to @p target with @p body.
Fingerprint fingerprintOf(std::string_view organisation, std::string_view target, std::string_view body);

/// @returns enough of a fingerprint to find the requests that share it in the logs of all hosts.
std::string fingerprintText(const Fingerprint &fingerprint);

/// Names one crash of one backend server, the same on every host.
using DeathId = std::uint64_t;

/// @returns the name of the crash that ended @p incarnation of the server called @p server.
DeathId deathIdOf(std::string_view server, std::string_view incarnation);

/// What hosts tell each other of one request. Merging is a union: order and repetition do not matter.
struct Suspicion {
    Fingerprint fingerprint;
    std::vector<DeathId> deaths; ///< Crashes during which the request was running, ascending.
    std::vector<DeathId> cleared; ///< Those that a later whole answer has excused, ascending.
    Duration age {}; ///< Since the last change.
};

/// What a request may do.
enum class Verdict {
    Free,
    Suspect, ///< Runs alone, with a permit.
    Refused, ///< Answered with PoisonRequest.
};

/// Counters and level of one SuspicionTable.
struct SuspicionStats {
    std::size_t entries = 0;
    std::uint64_t accused = 0;
    std::uint64_t cleared = 0;
    std::uint64_t refused = 0; ///< Requests that passed into Verdict::Refused.
    std::uint64_t evicted = 0;
};

/// Everything this host knows of suspects; bounded, entries expire.
class SuspicionTable
{
public:
    /// Accuses the requests that ran on a server when it died.
    void died(DeathId death, std::span<const Fingerprint> running, TimePoint now);

    /// Excuses a request that ran alone and was answered whole.
    void clear(const Fingerprint &fingerprint, TimePoint now);

    /// Takes that @p death was none: the server has lived on.
    void excuse(DeathId death, std::span<const Fingerprint> running, TimePoint now);

    /// Takes what a peer knows. @returns true when it was news.
    bool merge(const Suspicion &suspicion, TimePoint now);

    [[nodiscard]] Verdict verdict(const Fingerprint &fingerprint) const;

    /// @returns the crashes during which the request was running and that nothing has excused.
    [[nodiscard]] std::size_t openDeaths(const Fingerprint &fingerprint) const;

    /// @returns the entry whose last change has @p version, or nothing when it has changed again since.
    [[nodiscard]] std::optional<Suspicion> changedAt(std::uint64_t version, TimePoint now) const;

    /// @returns versions of entries after @p version, ascending, at most @p limit.
    [[nodiscard]] std::vector<std::uint64_t> versionsAfter(std::uint64_t version, std::size_t limit) const;

    /// @returns the version of the last change.
    [[nodiscard]] std::uint64_t version() const;

    /// @returns versions of the refused requests after @p version, ascending, at most @p limit.
    [[nodiscard]] std::vector<std::uint64_t> refusedAfter(std::uint64_t version, std::size_t limit) const;

    /// Drops entries older than the retention.
    void tick(TimePoint now);

    [[nodiscard]] SuspicionStats stats() const;

private:
    struct Entry {
        std::vector<DeathId> deaths;
        std::vector<DeathId> cleared;
        TimePoint changedAt;
        std::uint64_t version = 0;
    };

    static std::size_t openDeathsOf(const Entry &entry);
    static Verdict verdictOf(const Entry &entry);
    Entry &entryOf(const Fingerprint &fingerprint);
    void touch(const Fingerprint &fingerprint, Entry &entry, Verdict before, TimePoint at);
    void forget(std::uint64_t version);
    void evictOldest();

    std::map<Fingerprint, Entry> entries;
    std::map<std::uint64_t, Fingerprint> byVersion;
    std::set<std::uint64_t> refused; ///< Versions.
    std::uint64_t lastVersion = 0;
    SuspicionStats counters;
};

/// Asks the owner of the suspects for leave to run one on one server.
struct SuspectRequest {
    std::uint64_t requestId = 0; ///< Unique within the asking process.
    Fingerprint fingerprint;
    ServerHandle server;
};

/// Answers a SuspectRequest.
struct SuspectPermit {
    std::uint64_t requestId = 0;
    bool granted = false;
    std::uint64_t fence = 0;
    std::uint64_t id = 0;
};

/// Ends a permit.
struct SuspectReturn {
    std::uint64_t fence = 0;
    std::uint64_t id = 0;
};

/// Owner's side: one permit at a time for each suspect and for each server, over all hosts.
class SuspectOwner
{
public:
    /// Starts owning; grants nothing until all that an earlier owner allowed must have ended.
    void own(std::uint64_t fence, TimePoint now);

    void disown();

    [[nodiscard]] SuspectPermit request(const SuspectRequest &request, TimePoint now);

    /// Takes a permit back. Repeated and unknown returns are ignored.
    void giveBack(const SuspectReturn &permit);

    /// Drops permits whose run must have ended.
    void tick(TimePoint now);

    /// @returns the permits that are out.
    [[nodiscard]] std::size_t outstanding() const;

private:
    struct Permit {
        Fingerprint fingerprint;
        ServerHandle server;
        TimePoint endsBy;
    };

    [[nodiscard]] bool isFree(const SuspectRequest &request) const;
    [[nodiscard]] bool areAllAlone() const;

    std::optional<std::uint64_t> fence;
    TimePoint grantableFrom;
    std::map<std::uint64_t, Permit> permits;
    std::uint64_t nextId = 1;
};

/// The right to run one suspect on one server, once.
struct SuspectUse {
    SuspectRequest request;
    std::uint64_t fence = 0;
    std::uint64_t id = 0;
    TimePoint expires; ///< The run must have started by then.
    TimePoint mustEndBy; ///< The run is cancelled at this point.
};

/// Holder's side of the permits.
class SuspectHolder
{
public:
    /// @returns the request to send to the owner.
    [[nodiscard]] SuspectRequest ask(const Fingerprint &fingerprint, ServerHandle server, TimePoint now);

    /// Takes the owner's answer. @returns the right, or nothing when refused, repeated or late.
    [[nodiscard]] std::optional<SuspectUse> answered(const SuspectPermit &permit, TimePoint now);

    /// Forgets requests that were not answered in time.
    void tick(TimePoint now);

    /// Asserts right before the first byte goes out that the request may run now and there.
    /// @param use The right, or nothing for a request that is not suspect.
    /// @returns false when the request must not be sent.
    [[nodiscard]] static bool checkDispatch(const SuspicionTable &table,
                                            const Fingerprint &fingerprint,
                                            ServerHandle server,
                                            const std::optional<SuspectUse> &use,
                                            TimePoint now);

private:
    struct Pending {
        SuspectRequest request;
        TimePoint sentAt;
    };

    std::map<std::uint64_t, Pending> pending;
    std::uint64_t nextRequestId = 1;
};

} // namespace endivespan
