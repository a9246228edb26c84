#include <endivespan/config.h>
#include <endivespan/ownership.h>
#include <endivespan/suspect_trial.h>

#include <algorithm>
#include <bit>
#include <utility>

namespace endivespan {

// The delay grows, so that a request that crashes its servers takes few of them soon after each other, and a sound one
// gets past an outage of any length.
std::optional<Duration> timeUntilTrial(const TrialHistory &history, Duration sinceCrash)
{
    if (history.trials >= config::TrialsMost) {
        return std::nullopt;
    }
    Duration delay = config::TrialDelay;
    for (std::size_t i = 0; i < history.trials; ++i) {
        delay *= config::TrialDelayGrowth;
    }
    const Duration past = history.trials == 0 ? sinceCrash : std::min(sinceCrash, history.age);
    return std::max<Duration>(delay - past, Duration::zero());
}

// The logarithm of the host's rank keeps the last one from waiting for long: most callers may reach only that one.
Duration trialTurn(const std::string &self, const std::set<std::string> &hosts, const Fingerprint &fingerprint)
{
    const std::string resource = "trial/" + fingerprintText(fingerprint);
    const std::uint64_t own = rendezvousWeight(self, resource);
    const auto before = static_cast<std::size_t>(
        std::count_if(hosts.begin(), hosts.end(), [&self, &resource, own](const std::string &host) {
            return host != self && rendezvousWeight(host, resource) > own;
        }));
    return config::TrialTurn * std::bit_width(before);
}

TrialPermits::Answer TrialPermits::request(const Fingerprint &fingerprint,
                                           Duration sinceCrash,
                                           const std::function<Duration()> &turn,
                                           TimePoint now)
{
    if (this->entries.size() >= config::SuspectTableSize && !this->entries.contains(fingerprint)) {
        return Answer::Denied;
    }
    Entry &entry = this->entries[fingerprint];
    if (entry.held > 0) {
        --entry.held;
        return Answer::Permitted;
    }
    if (now < entry.askFrom || sinceCrash < config::TrialDelay) {
        return Answer::Denied;
    }
    if (!entry.turn) {
        entry.turn = turn();
    }
    if (sinceCrash < config::TrialDelay + *entry.turn) {
        return Answer::Denied;
    }
    entry.askFrom = now + config::TrialAskTime;
    return Answer::Ask;
}

bool TrialPermits::decide(const Fingerprint &fingerprint,
                          const TrialHistory &history,
                          Duration sinceCrash,
                          TimePoint now)
{
    Entry &entry = this->entries[fingerprint];
    if (history.trials > 0) {
        entry.trials = std::max(entry.trials, history.trials);
        entry.latestTrial = std::max(entry.latestTrial, now - history.age);
    }
    const auto wait = timeUntilTrial({entry.trials, now - entry.latestTrial}, sinceCrash);
    if (wait == Duration::zero()) {
        return true;
    }
    entry.askFrom = now + wait.value_or(config::SuspectRetention) + entry.turn.value_or(Duration::zero());
    return false;
}

void TrialPermits::granted(const Fingerprint &fingerprint, TimePoint now)
{
    Entry &entry = this->entries[fingerprint];
    ++entry.trials;
    entry.latestTrial = now;
    entry.askFrom = now;
}

void TrialPermits::denied(const Fingerprint &fingerprint, TimePoint now)
{
    this->entries[fingerprint].askFrom = now + config::SuspectArchivePause;
}

void TrialPermits::giveBack(const Fingerprint &fingerprint)
{
    ++this->entries[fingerprint].held;
}

void TrialPermits::tick(const SuspicionTable &suspicions)
{
    std::erase_if(this->entries, [&suspicions](const auto &item) { return suspicions.openCrashes(item.first) == 0; });
}

void TrialSurvivals::ended(const ServerIncarnation &life, const std::set<Fingerprint> &trials, TimePoint now)
{
    if (this->watches.size() >= config::CrashWatchServers && !this->watches.contains(life)) {
        return;
    }
    Watch &watch = this->watches[life];
    watch.trials.insert(trials.begin(), trials.end());
    watch.endedAt = now;
}

std::vector<ServerIncarnation> TrialSurvivals::watched() const
{
    std::vector<ServerIncarnation> lives;
    lives.reserve(this->watches.size());
    for (const auto &[life, watch] : this->watches) {
        lives.push_back(life);
    }
    return lives;
}

// A server may crash shortly after its answer, so that a heartbeat counts only some time later.
std::set<Fingerprint> TrialSurvivals::heartbeat(const ServerIncarnation &life, std::uint64_t count, TimePoint now)
{
    const auto found = this->watches.find(life);
    if (found == this->watches.end()) {
        return {};
    }
    Watch &watch = found->second;
    const std::uint64_t before = std::exchange(watch.heartbeat, count).value_or(count);
    if (count <= before || now - watch.endedAt < config::ListLag + config::CrashUnsettledTime) {
        return {};
    }
    return this->watches.extract(found).mapped().trials;
}

void TrialSurvivals::onServerGone(const ServerIncarnation &life)
{
    this->watches.erase(life);
}

} // namespace endivespan
