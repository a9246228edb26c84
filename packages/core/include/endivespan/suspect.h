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

/// Handling of requests that may crash the backend server that runs them. Suspicions are shared among hosts; a suspect
/// request runs on a server by itself, and is refused once too many servers have crashed while they ran it. The parts
/// of prompts that requests share are suspected like requests.
namespace endivespan {

/// Identifies a request by a hash of its content, so that a request that is sent again has the same fingerprint.
struct Fingerprint {
    std::array<std::uint8_t, 16> bytes {};

    auto operator<=>(const Fingerprint &) const = default; // NOLINT(modernize-use-nullptr): false positive
};

/// @returns the fingerprint of a request of @p organisation to @p target with @p body.
Fingerprint fingerprintOf(std::string_view organisation, std::string_view target, std::string_view body);

/// @returns the fingerprint of the part called @p part of prompts for @p model.
Fingerprint partFingerprintOf(std::string_view model, std::string_view part);

/// Identifies a request and the parts of its prompt that other requests may have too.
struct SuspectKeys {
    Fingerprint request;
    std::vector<Fingerprint> parts; ///< At most config::SuspectPartsPerRequest.

    [[nodiscard]] bool contains(const Fingerprint &fingerprint) const;
};

/// @returns the first digits of a fingerprint in hexadecimal, for logs: enough to find all requests that share it.
std::string fingerprintText(const Fingerprint &fingerprint);

/// Identifies one crash of one backend server; every host computes the same id.
using CrashId = std::uint64_t;

/// @returns the id of the crash that ended @p incarnation of the server called @p server.
CrashId crashIdOf(std::string_view server, std::string_view incarnation);

/// The suspicions against one request, as hosts exchange them. Merging is a union, so that order and repetition do not
/// matter.
struct Suspicion {
    Fingerprint fingerprint;
    std::vector<CrashId> deaths; ///< Crashes during which the request was running, ascending.
    std::vector<CrashId> cleared; ///< Those that no longer count against the request, ascending.
    Duration age {}; ///< Since the last change.
};

/// How a request may be run.
enum class Verdict {
    Free, ///< Without restriction.
    Suspect, ///< Only with a permit, which no other suspect has for the same server at the same time.
    Refused, ///< Not at all: it is answered with ErrorKind::PoisonRequest.
};

/// Level and counters of one SuspicionTable.
struct SuspicionStats {
    std::size_t entries = 0;
    std::uint64_t accused = 0; ///< Crashes that this host has recorded against requests.
    std::uint64_t cleared = 0; ///< Times this host has cleared crashes of a request.
    std::uint64_t refused = 0; ///< Requests whose verdict became Verdict::Refused.
    std::uint64_t evicted = 0; ///< Entries dropped because the table was full.
};

/// The suspicions on this host, own and of peers; bounded by config::SuspectTableSize. Entries expire after
/// config::SuspectRetention.
///
/// A crash is recorded against all that was running on the server, so that sound parts of prompts collect crashes
/// too. Three rules tell a part that crashes servers from those that were only beside it: a complete answer clears its
/// parts of all earlier crashes, known or not, and for a time of later ones; a crash is explained by another suspect
/// that has at least as many or, beside a part that was answered, by one that was not; and a part is refused only where
/// requests without it have been answered since, for when all servers fail at once there is nothing to compare it with.
class SuspicionTable
{
public:
    /// Records a crash at time @p at against the requests and parts that were running on the server, except those that
    /// were answered completely since.
    void recordCrash(CrashId death, std::span<const Fingerprint> running, TimePoint at);

    /// Clears all crashes before @p now of a request or a part, after a run of it was answered completely.
    void clear(const Fingerprint &fingerprint, TimePoint now);

    /// Handles a complete answer: clears its request and parts.
    /// @param service Service of the server that answered.
    /// @param beganAt When the server began to answer.
    void recordAnswer(const std::string &service, const SuspectKeys &keys, TimePoint beganAt, TimePoint now);

    /// @returns the index of the part of the request with most crashes of those that crash servers of @p service, or
    ///     nothing.
    /// @param exempt Parts that are not refused.
    [[nodiscard]] std::optional<std::size_t> findRefusedPart(const std::string &service,
                                                             const SuspectKeys &keys,
                                                             TimePoint now,
                                                             const std::set<Fingerprint> &exempt = {}) const;

    /// Clears one crash of requests, after the server turned out to have kept running.
    void retractCrash(CrashId death, std::span<const Fingerprint> running, TimePoint now);

    /// Merges a suspicion of a peer. @returns true when that changed the table.
    bool merge(const Suspicion &suspicion, TimePoint now);

    [[nodiscard]] Verdict verdict(const Fingerprint &fingerprint) const;

    /// @returns the number of crashes during which the request was running and that have not been cleared.
    [[nodiscard]] std::size_t openCrashes(const Fingerprint &fingerprint) const;

    /// @returns how urgently peers must hear of the entry: its number of open crashes, or 0 when it was answered
    ///     completely within config::PartSoundMemory, as peers will see for themselves.
    [[nodiscard]] std::size_t urgency(const Fingerprint &fingerprint, TimePoint now) const;

    /// @returns the suspicion of a request or part, if there is one.
    [[nodiscard]] std::optional<Suspicion> find(const Fingerprint &fingerprint, TimePoint now) const;

    /// @returns the entry whose last change has @p version, or nothing when it has changed again or was dropped since.
    [[nodiscard]] std::optional<Suspicion> changedAt(std::uint64_t version, TimePoint now) const;

    /// @returns versions of entries after @p version, ascending, at most @p limit.
    [[nodiscard]] std::vector<std::uint64_t> versionsAfter(std::uint64_t version, std::size_t limit) const;

    /// @returns the version of the last change.
    [[nodiscard]] std::uint64_t version() const;

    /// @returns versions of the refused requests after @p version, ascending, at most @p limit.
    [[nodiscard]] std::vector<std::uint64_t> refusedAfter(std::uint64_t version, std::size_t limit) const;

    /// @returns versions of the candidates with most urgency, at most @p limit.
    [[nodiscard]] std::vector<std::uint64_t> mostUrgent(std::size_t limit, TimePoint now) const;

    /// Drops entries that have not changed for config::SuspectRetention, and old answers.
    void tick(TimePoint now);

    [[nodiscard]] SuspicionStats stats() const;

private:
    struct Entry {
        std::vector<CrashId> deaths;
        std::vector<CrashId> cleared;
        TimePoint changedAt;
        std::uint64_t version = 0;
        TimePoint candidateSince; ///< When it became one of the candidates.
        TimePoint clearedAt; ///< When crashes of it were last cleared, here or at a peer.
        std::set<std::string> answeredWithout; ///< Services that have answered a request without it since then.
    };

    static std::vector<CrashId> openDeathsOf(const Entry &entry);
    static void dropExcess(Entry &entry);
    static Verdict verdictOf(const Entry &entry);
    [[nodiscard]] std::size_t
    unexplainedDeaths(const Fingerprint &fingerprint, const SuspectKeys &keys, TimePoint now) const;
    [[nodiscard]] bool isAnsweredSince(const Fingerprint &fingerprint, TimePoint at) const;
    /// The same, with the answers that peers report by clearing crashes.
    [[nodiscard]] bool isSoundSince(const Fingerprint &fingerprint, TimePoint at) const;
    Entry &entryOf(const Fingerprint &fingerprint);
    /// Gives the entry a new version after a change at time @p at.
    /// @param before Verdict before the change.
    void touch(const Fingerprint &fingerprint, Entry &entry, Verdict before, TimePoint at);
    void forget(const Fingerprint &fingerprint, std::uint64_t version);
    void evictOldest();

    std::map<Fingerprint, Entry> entries;
    std::map<std::uint64_t, Fingerprint> byVersion; ///< By the version of an entry's last change.
    std::set<std::uint64_t> refused; ///< Versions of the entries with Verdict::Refused.
    std::set<Fingerprint> candidates; ///< Entries with config::PartCrashesUntilRefused crashes or more.
    std::map<Fingerprint, TimePoint> answeredAt; ///< Last complete answer, of those of the current period.
    std::map<Fingerprint, TimePoint> answeredBefore; ///< The same for the period before.
    TimePoint answersRotatedAt;
    std::uint64_t lastVersion = 0;
    SuspicionStats counters;
};

/// Asks the owner of the permits to let one suspect run on one server.
struct SuspectRequest {
    std::uint64_t requestId = 0; ///< Unique within the asking process.
    Fingerprint fingerprint;
    ServerHandle server;
};

/// Answers a SuspectRequest.
struct SuspectPermit {
    std::uint64_t requestId = 0;
    bool granted = false;
    std::uint64_t fence = 0; ///< Fencing number of the owner's lease.
    std::uint64_t id = 0; ///< Of the permit, if granted.
};

/// Returns a permit to the owner.
struct SuspectReturn {
    std::uint64_t fence = 0;
    std::uint64_t id = 0;
};

/// Grants permits to all hosts: at most one at a time for each suspect and for each server.
class SuspectOwner
{
public:
    /// Starts to grant permits, after all runs that an earlier owner may have permitted must have ended.
    void own(std::uint64_t fence, TimePoint now);

    /// Stops granting permits, for example because the lease expired.
    void disown();

    /// Answers a request for a permit. One that is not granted may be asked for again later.
    [[nodiscard]] SuspectPermit request(const SuspectRequest &request, TimePoint now);

    /// Handles a returned permit. Repeated and unknown returns are ignored.
    void giveBack(const SuspectReturn &permit);

    /// Drops permits whose run must have ended by now.
    void tick(TimePoint now);

    /// @returns the number of permits granted and neither returned nor expired.
    [[nodiscard]] std::size_t outstanding() const;

private:
    struct Permit {
        Fingerprint fingerprint;
        ServerHandle server;
        TimePoint endsBy; ///< When the run has ended at the latest.
    };

    [[nodiscard]] bool isFree(const SuspectRequest &request) const;
    /// @returns whether no two permits are for the same suspect or the same server.
    [[nodiscard]] bool areAllAlone() const;

    std::optional<std::uint64_t> fence; ///< Unset while this host is not the owner.
    TimePoint grantableFrom; ///< From here on no run of an earlier owner's permit is left.
    std::map<std::uint64_t, Permit> permits;
    std::uint64_t nextId = 1;
};

/// Permission to run one suspect on one server, once.
struct SuspectUse {
    SuspectRequest request;
    std::uint64_t fence = 0;
    std::uint64_t id = 0;
    TimePoint expires; ///< The run must start before this point.
    TimePoint mustEndBy; ///< A request that still runs at this point is cancelled.
};

/// Asks for permits and checks them on the host that runs the suspects.
class SuspectHolder
{
public:
    /// @returns the request to send to the owner.
    [[nodiscard]] SuspectRequest ask(const Fingerprint &fingerprint, ServerHandle server, TimePoint now);

    /// Handles the owner's answer.
    /// @returns the permission, or nothing when it was not granted or the answer is repeated or late.
    [[nodiscard]] std::optional<SuspectUse> answered(const SuspectPermit &permit, TimePoint now);

    /// Drops requests that were not answered within config::SuspectPermitTtl.
    void tick(TimePoint now);

    /// Checks, right before the first byte is sent, that the request may run on @p server now. Counts a violated
    /// invariant if not.
    /// @param use The permission, or nothing for a request that is not suspect.
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
