#include <endivespan/config.h>
#include <endivespan/placement.h>
#include <endivespan/server_table.h>

#include <algorithm>
#include <cmath>

namespace endivespan {

namespace {

constexpr Duration ColdSpan = std::chrono::seconds(1) + config::ColdSpanMargin;

double decayed(double value, Duration age)
{
    using Seconds = std::chrono::duration<double>;
    return value * std::exp(-Seconds(age) / Seconds(config::OutcomeDecayTime));
}

} // namespace

double ServerView::failureShare(TimePoint now) const
{
    if (this->failed <= 0) {
        return 0;
    }
    const Duration age = now - this->countsAt;
    const double bad = decayed(this->failed, age);
    return bad / (bad + decayed(this->answered, age) + config::OutcomePrior);
}

bool ServerView::isLeaving() const
{
    return this->entry.draining || this->reportedLeaving;
}

bool ServerView::isResting(TimePoint now) const
{
    return now < this->resumeAt;
}

std::uint32_t coldRights(double bound)
{
    const double distributed = std::floor(bound * config::ColdRightsShare);
    return static_cast<std::uint32_t>(std::max(distributed, std::min(std::floor(bound), 1.0)));
}

std::uint32_t shortIdOf(const ServerView &view)
{
    return static_cast<std::uint32_t>(view.idHash);
}

bool ServerView::isSilent(Duration time, TimePoint now) const
{
    return this->streams > 0 && now - this->lastReceivedAt > time;
}

bool ServerTable::update(const ServerEntry &entry, TimePoint now)
{
    const std::pair state(entry.born, entry.heartbeat);
    if (const auto gone = this->removedEntries.find(entry.id); gone != this->removedEntries.end()) {
        if (state <= gone->second) {
            return false;
        }
        this->removedEntries.erase(gone);
    }
    const auto [place, isNew] = this->views.try_emplace(entry.id);
    ServerView &view = place->second;
    if (!isNew) {
        const ServerEntry &known = view.entry;
        const bool older = entry.born < known.born || (entry.born == known.born && entry.heartbeat < known.heartbeat);
        if (older) {
            return false;
        }
        if (entry.born > known.born) {
            // Nothing known about the earlier start applies any more, except that its attempts still have to end and
            // that its sent requests count towards the limit for cold servers.
            const std::uint32_t inFlight = view.inFlight;
            const std::uint32_t streams = view.streams;
            const std::uint32_t unsent = view.unsent;
            std::vector<TimePoint> sends = std::move(view.sends);
            view = ServerView {};
            view.unsent = unsent;
            view.sends = std::move(sends);
            view.inFlight = inFlight;
            view.streams = streams;
            view.lastReceivedAt = now;
        }
    }
    // Hosts that were told that the entry has disappeared must also be told that it is back.
    const bool news = isNew || view.removeAt || view.entry.address != entry.address
        || view.entry.service != entry.service || view.entry.draining != entry.draining || view.entry.born != entry.born
        || view.entry.weights != entry.weights;
    const bool advanced = isNew || entry.heartbeat > view.entry.heartbeat || entry.born > view.entry.born;
    // Between two starts of a server its versions only increase, and it may itself have reported a newer one than its
    // entry has.
    const auto weights = view.entry.born == entry.born ? view.entry.weights : entry.weights;
    view.entry = entry;
    view.idHash = hashPrefix(0, entry.id);
    // The list may still show a server as ready that has reported that it is leaving, even after its entry had
    // disappeared.
    const auto leaver = this->leavingStarts.find(entry.id);
    view.reportedLeaving = leaver != this->leavingStarts.end() && leaver->second >= entry.born;
    this->shortIds[shortIdOf(view)] = entry.id;
    for (const auto &[model, version] : weights) {
        std::uint64_t &listed = view.entry.weights[model];
        listed = std::max(listed, version);
    }
    view.removeAt.reset();
    view.coldUntil = std::max(view.coldUntil, now + entry.coldFor);
    if (advanced) {
        view.unconfirmedSince = {};
    }
    return news;
}

void ServerTable::entryRemoved(const std::string &id, std::optional<TimePoint> lapsedUntil, TimePoint now)
{
    const auto found = this->views.find(id);
    if (found == this->views.end()) {
        return;
    }
    if (lapsedUntil && *lapsedUntil > now && !found->second.isLeaving()) {
        found->second.removeAt = lapsedUntil;
        return;
    }
    this->remove(found);
}

void ServerTable::remove(std::map<std::string, ServerView>::iterator server)
{
    if (this->removedEntries.size() >= config::LeftServersKept) {
        // Evicts the server that started first: it is the least likely to be listed again.
        this->removedEntries.erase(std::min_element(this->removedEntries.begin(),
                                                    this->removedEntries.end(),
                                                    [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
    const ServerEntry &entry = server->second.entry;
    this->removedEntries[entry.id] = {entry.born, entry.heartbeat};
    this->views.erase(server);
}

void ServerTable::setEvacuated(std::set<std::string> domains, TimePoint now)
{
    for (auto &[id, view] : this->views) {
        if (this->evacuatedDomains.contains(view.entry.domain) && !domains.contains(view.entry.domain)) {
            view.coldUntil = std::max<TimePoint>(view.coldUntil, now + config::ListLag);
        }
    }
    this->evacuatedDomains = std::move(domains);
}

const std::set<std::string> &ServerTable::evacuated() const
{
    return this->evacuatedDomains;
}

void ServerTable::tick(TimePoint now)
{
    for (auto server = this->views.begin(); server != this->views.end();) {
        const auto current = server++;
        if (current->second.removeAt && *current->second.removeAt <= now) {
            this->remove(current);
        }
    }
    std::erase_if(this->shortIds, [this](const auto &entry) { return !this->views.contains(entry.second); });
}

void ServerTable::started(const std::string &id, std::uint64_t prefillTokens, TimePoint now)
{
    const auto found = this->views.find(id);
    if (found == this->views.end()) {
        return;
    }
    ServerView &view = found->second;
    ++view.inFlight;
    ++view.sentSinceLoad;
    view.lastSentAt = now;
    view.prefillTokens += prefillTokens;
    view.probesInFlight += view.probing ? 1 : 0;
    ++view.unsent;
}

void ServerTable::sent(const std::string &id, TimePoint now)
{
    if (const auto found = this->views.find(id); found != this->views.end()) {
        ServerView &view = found->second;
        view.unsent -= std::min<std::uint32_t>(view.unsent, 1);
        std::erase_if(view.sends, [now](TimePoint at) { return now - at >= ColdSpan; });
        view.sends.push_back(now);
    }
}

void ServerTable::notSent(const std::string &id)
{
    if (const auto found = this->views.find(id); found != this->views.end()) {
        found->second.unsent -= std::min<std::uint32_t>(found->second.unsent, 1);
    }
}

void ServerTable::streamBegan(const std::string &id, TimePoint now)
{
    if (const auto found = this->views.find(id); found != this->views.end()) {
        ++found->second.streams;
        found->second.lastReceivedAt = now;
    }
}

void ServerTable::streamEnded(const std::string &id)
{
    if (const auto found = this->views.find(id); found != this->views.end() && found->second.streams > 0) {
        --found->second.streams;
    }
}

void ServerTable::receivedBytes(const std::string &id, TimePoint now)
{
    if (const auto found = this->views.find(id); found != this->views.end()) {
        found->second.lastReceivedAt = now;
    }
}

void ServerTable::prefilled(const std::string &id, std::uint64_t prefillTokens)
{
    if (const auto found = this->views.find(id); found != this->views.end()) {
        found->second.prefillTokens -= std::min(found->second.prefillTokens, prefillTokens);
    }
}

void ServerTable::ended(const std::string &id, AttemptOutcome outcome, TimePoint now)
{
    const auto found = this->views.find(id);
    if (found == this->views.end()) {
        return;
    }
    ServerView &view = found->second;
    view.inFlight -= std::min<std::uint32_t>(view.inFlight, 1);
    const Duration age = now - view.countsAt;
    view.answered = decayed(view.answered, age);
    view.failed = decayed(view.failed, age);
    view.countsAt = now;
    view.probesInFlight -= std::min<std::uint32_t>(view.probesInFlight, 1);
    switch (outcome) {
    case AttemptOutcome::Answered:
        view.probing = view.probing && view.isResting(now);
        view.answered += 1;
        view.connectBackoff = {};
        break;
    case AttemptOutcome::Failed:
        view.failed += 1;
        break;
    case AttemptOutcome::Refused: {
        // A server that refuses a request although it has free slots is loading weights or has failed.
        const bool full = !view.load || view.load->running + view.load->waiting >= view.load->slots;
        view.failed += full ? 0 : 1;
        view.avoidUntil
            = std::max<TimePoint>(view.avoidUntil, now + (full ? config::RefusedPause : config::RefusedFreePause));
        break;
    }
    case AttemptOutcome::Unreachable:
        view.failed += 1;
        view.unconfirmedSince = now;
        view.connectBackoff
            = std::clamp<Duration>(2 * view.connectBackoff, config::UnreachablePause, config::UnreachablePauseMost);
        view.avoidUntil = std::max(view.avoidUntil, now + view.connectBackoff);
        break;
    case AttemptOutcome::Misdirected:
        view.unconfirmedSince = now;
        view.avoidUntil = std::max(view.avoidUntil, now + config::UnreachablePauseMost);
        break;
    case AttemptOutcome::Cancelled:
        break;
    }
}

void ServerTable::reportedLoad(const std::string &id, const ServerLoadReport &load, TimePoint now)
{
    if (const auto found = this->views.find(id); found != this->views.end()) {
        found->second.load = load;
        found->second.loadAt = now;
        found->second.loadLearnedAt = now;
        found->second.loadIsOwn = true;
        found->second.sentSinceLoad = 0;
        if (load.pace) {
            found->second.pace.report(*load.pace, now);
        }
    }
}

void ServerTable::reportedLoadToOtherHost(std::uint32_t server,
                                          std::uint32_t running,
                                          std::uint32_t waiting,
                                          std::optional<double> pace,
                                          TimePoint at,
                                          TimePoint now)
{
    const auto id = this->shortIds.find(server);
    const auto found = id == this->shortIds.end() ? this->views.end() : this->views.find(id->second);
    if (found == this->views.end() || found->second.loadAt >= at) {
        return;
    }
    ServerView &view = found->second;
    view.load = {running, waiting, view.entry.slots, pace};
    if (pace) {
        view.pace.report(*pace, at);
    }
    view.loadAt = at;
    view.loadLearnedAt = now;
    view.loadIsOwn = false;
    // The report includes the requests that the server had received by then, so at most one sent later is still
    // counted.
    view.sentSinceLoad = view.lastSentAt > at ? std::min<std::uint32_t>(view.sentSinceLoad, 1) : 0;
}

void ServerTable::answeredIn(const std::string &id,
                             std::uint64_t born,
                             const std::string &kind,
                             const AnswerTimes &times)
{
    const auto found = this->views.find(id);
    if (found == this->views.end() || found->second.entry.born != born) {
        return;
    }
    if (const auto ratios = this->usualTimes[found->second.entry.service].add(kind, times)) {
        found->second.pace.observe(*ratios);
    }
}

bool ServerTable::reportsPace(const std::string &service) const
{
    return std::any_of(this->views.begin(), this->views.end(), [&service](const auto &entry) {
        return entry.second.entry.service == service && entry.second.pace.isReported();
    });
}

double ServerTable::meanRequests(const std::string &service, TimePoint now) const
{
    double requests = 0;
    double servers = 0;
    for (const auto &[id, view] : this->views) {
        if (view.entry.service == service && view.load && now - view.loadAt <= config::LoadReportUsableTime) {
            requests += view.load->running + view.load->waiting;
            servers += 1;
        }
    }
    return servers > 0 ? requests / servers : 0;
}

void ServerTable::reportedWeights(const std::string &id, const std::string &model, std::uint64_t version)
{
    if (const auto found = this->views.find(id); found != this->views.end()) {
        std::uint64_t &known = found->second.entry.weights[model];
        known = std::max(known, version);
    }
}

void ServerTable::reportedCold(const std::string &id, std::uint64_t born, Duration time, TimePoint now)
{
    if (const auto found = this->views.find(id); found != this->views.end() && found->second.entry.born == born) {
        found->second.coldUntil = std::max(found->second.coldUntil, now + time);
    }
}

bool ServerTable::reportedLeaving(const std::string &id, std::uint64_t born)
{
    if (this->leavingStarts.size() >= config::LeftServersKept && !this->leavingStarts.contains(id)) {
        // Of the servers that are no longer in the list, evicts the one that started first: it is the least likely to
        // return.
        this->leavingStarts.erase(std::min_element(
            this->leavingStarts.begin(), this->leavingStarts.end(), [this](const auto &a, const auto &b) {
                return std::pair(this->views.contains(a.first), a.second)
                    < std::pair(this->views.contains(b.first), b.second);
            }));
    }
    std::uint64_t &latest = this->leavingStarts[id];
    const bool isNews = born > latest;
    latest = std::max(latest, born);
    if (const auto found = this->views.find(id); found != this->views.end()) {
        found->second.reportedLeaving = latest >= found->second.entry.born;
    }
    return isNews;
}

std::optional<TimePoint>
ServerTable::askedForRest(const std::string &id, std::uint64_t born, Duration time, std::uint64_t random, TimePoint now)
{
    const auto found = this->views.find(id);
    if (found == this->views.end() || found->second.entry.born != born) {
        return std::nullopt;
    }
    ServerView &view = found->second;
    if (now + time > view.restUntil) {
        view.restUntil = now + time;
        const auto spread = std::max<Duration>(std::chrono::duration_cast<Duration>(time * config::RestReturnShare),
                                               config::RestReturnLeast);
        view.resumeAt = view.restUntil + Duration(random % static_cast<std::uint64_t>(spread.count()));
    }
    view.probing = true;
    view.probesInFlight = 0;
    return view.resumeAt;
}

std::optional<TimePoint> ServerTable::restEndsAt(const std::string &service, TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const auto &[id, view] : this->views) {
        if (view.entry.service != service || view.isLeaving() || this->evacuatedDomains.contains(view.entry.domain)) {
            continue;
        }
        if (!view.isResting(now)) {
            return std::nullopt;
        }
        first = std::min(first.value_or(view.resumeAt), view.resumeAt);
    }
    return first;
}

bool ServerTable::isOpen(const ServerView &server, TimePoint now) const
{
    return !server.isLeaving() && now >= server.avoidUntil && !server.isResting(now)
        && !(server.probing && server.probesInFlight > 0) && !this->evacuatedDomains.contains(server.entry.domain);
}

// A server that could not be reached may have restarted, and counts as cold until a later heartbeat shows otherwise.
bool ServerTable::isCold(const ServerView &server, TimePoint now)
{
    return now < server.coldUntil || server.unconfirmedSince != TimePoint {};
}

// Each right allows one request at a time and is free again one second (plus a margin) after that request was sent.
// Counting from the sending keeps the delay before it, such as connecting, from shortening the time between two
// requests.
bool ServerTable::hasColdRoom(const ServerView &server, const ColdBound &bound, TimePoint now)
{
    if (!bound.isBounded() || !isCold(server, now)) {
        return true;
    }
    const auto used = server.unsent
        + std::count_if(server.sends.begin(), server.sends.end(), [now](TimePoint at) { return now - at < ColdSpan; });
    return used < bound.hosts->rightsOf(server.idHash, bound.rights, now);
}

const std::map<std::string, ServerView> &ServerTable::servers() const
{
    return this->views;
}

const ServerView *ServerTable::find(const std::string &id) const
{
    const auto found = this->views.find(id);
    return found == this->views.end() ? nullptr : &found->second;
}

} // namespace endivespan
