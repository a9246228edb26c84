#include <endivespan/config.h>
#include <endivespan/crash_watch.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace endivespan {

std::string_view crashEvidenceName(CrashEvidence evidence)
{
    return evidence == CrashEvidence::Listed ? "listed" : "unreachable";
}

void CrashWatch::recordLoss(const ServerIncarnation &life, const Fingerprint &request, LossKind kind, TimePoint now)
{
    const auto known = this->watches.find(life);
    if (known == this->watches.end() && this->watches.size() >= config::CrashWatchServers) {
        return;
    }
    ++this->counters.lost;
    Watch &watch = known == this->watches.end() ? this->watches[life] : known->second;
    const auto same = std::find_if(
        watch.losses.begin(), watch.losses.end(), [&request](const Loss &loss) { return loss.request == request; });
    if (same != watch.losses.end()) {
        same->at = now;
        // A silence that goes on does not put off the next try.
        if (kind == LossKind::Silent) {
            return;
        }
        same->kind = kind;
    } else if (watch.losses.size() < config::CrashWatchRequests) {
        watch.losses.push_back({request, now, kind});
    }
    watch.tries = 0;
    watch.nextTry = now + config::CrashProbeDelay;
}

void CrashWatch::onAnswerBytes(const ServerIncarnation &life, TimePoint now)
{
    if (const auto found = this->watches.find(life); found != this->watches.end()) {
        found->second.failedTries = 0;
        this->dropLosses(life, found->second, now - config::CrashLastBytes, false);
    }
}

void CrashWatch::heartbeat(const ServerIncarnation &life, std::uint64_t count, TimePoint now)
{
    const auto found = this->watches.find(life);
    if (found == this->watches.end()) {
        return;
    }
    const std::uint64_t before = std::exchange(found->second.heartbeat, count).value_or(count);
    if (count > before) {
        this->dropLosses(life, found->second, now - config::ListLag, true);
    }
}

void CrashWatch::unreachable(const ServerIncarnation &life)
{
    if (const auto found = this->watches.find(life); found != this->watches.end()) {
        ++found->second.failedTries;
        this->reportCrash(life, found->second, CrashEvidence::Unreachable);
    }
}

void CrashWatch::reachable(const ServerIncarnation &life)
{
    if (const auto found = this->watches.find(life); found != this->watches.end()) {
        found->second.failedTries = 0;
    }
}

void CrashWatch::onServerGone(const ServerIncarnation &life)
{
    const auto found = this->watches.find(life);
    if (found == this->watches.end()) {
        return;
    }
    this->reportCrash(life, found->second, CrashEvidence::Listed);
    this->watches.erase(found);
}

CrashFinding CrashWatch::findingOf(const ServerIncarnation &life, CrashEvidence evidence, bool excused)
{
    return {life, crashIdOf(life.server, std::to_string(life.born)), evidence, excused, {}, {}};
}

void CrashWatch::reportCrash(const ServerIncarnation &life, Watch &watch, CrashEvidence evidence)
{
    CrashFinding finding = CrashWatch::findingOf(life, evidence, false);
    const bool silentToo = evidence == CrashEvidence::Listed || watch.failedTries >= config::CrashProbes;
    for (Loss &loss : watch.losses) {
        const bool counts = loss.kind == LossKind::Broken || silentToo;
        if (counts && !std::exchange(loss.reported, true)) {
            finding.at = std::max(finding.at, loss.at);
            finding.running.push_back(loss.request);
        }
    }
    if (!finding.running.empty()) {
        ++this->counters.confirmed;
        this->findings.push_back(std::move(finding));
    }
}

// Drops losses up to the time `before`, of those with evidence of a crash only if reportedToo is set. Later ones stay:
// what shows that the server runs may have been sent before it crashed.
void CrashWatch::dropLosses(const ServerIncarnation &life, Watch &watch, TimePoint before, bool reportedToo)
{
    CrashFinding finding = CrashWatch::findingOf(life, CrashEvidence::Unreachable, true);
    std::erase_if(watch.losses, [&finding, before, reportedToo](const Loss &loss) {
        const bool lives = loss.at <= before && (reportedToo || !loss.reported);
        if (lives && loss.reported) {
            finding.running.push_back(loss.request);
        }
        return lives;
    });
    if (!finding.running.empty()) {
        ++this->counters.excused;
        this->findings.push_back(std::move(finding));
    }
}

std::vector<ServerIncarnation> CrashWatch::takeDue(TimePoint now)
{
    std::vector<ServerIncarnation> due;
    for (auto &[life, watch] : this->watches) {
        const bool open
            = std::any_of(watch.losses.begin(), watch.losses.end(), [](const Loss &loss) { return !loss.reported; });
        if (open && watch.tries < config::CrashProbes && now >= watch.nextTry) {
            ++watch.tries;
            watch.nextTry = now + config::CrashProbePeriod;
            due.push_back(life);
        }
    }
    return due;
}

std::vector<CrashFinding> CrashWatch::takeFindings(TimePoint now)
{
    for (auto entry = this->watches.begin(); entry != this->watches.end();) {
        std::erase_if(entry->second.losses, [this, now](const Loss &loss) {
            const bool expired = now - loss.at >= config::CrashWatchTime;
            this->counters.expired += expired && !loss.reported ? 1 : 0;
            return expired;
        });
        entry = entry->second.losses.empty() ? this->watches.erase(entry) : std::next(entry);
    }
    return std::exchange(this->findings, {});
}

std::size_t CrashWatch::unsettled(const Fingerprint &request, TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->watches.begin(), this->watches.end(), [&request, now](const auto &entry) {
            const auto &losses = entry.second.losses;
            return std::any_of(losses.begin(), losses.end(), [&request, now](const Loss &loss) {
                return !loss.reported && loss.kind == LossKind::Broken && loss.request == request
                    && now - loss.at <= config::CrashUnsettledTime;
            });
        }));
}

std::vector<ServerIncarnation> CrashWatch::watched() const
{
    std::vector<ServerIncarnation> lives;
    lives.reserve(this->watches.size());
    for (const auto &[life, watch] : this->watches) {
        lives.push_back(life);
    }
    return lives;
}

CrashWatchStats CrashWatch::stats() const
{
    CrashWatchStats stats = this->counters;
    stats.watched = this->watches.size();
    return stats;
}

} // namespace endivespan
