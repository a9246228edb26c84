#include <endivespan/config.h>
#include <endivespan/forward_queue.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

namespace endivespan {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

Duration fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(Milliseconds(milliseconds));
}

double decay(Duration time, Duration constant)
{
    return std::exp(-Milliseconds(std::max(time, Duration::zero())) / Milliseconds(constant));
}

bool isAtMostAsUrgent(const QueuedRequest &request, const std::pair<std::string, std::size_t> &level)
{
    return request.service == level.first && request.urgency >= level.second;
}

} // namespace

// The first samples are averaged, so that a route whose answers are far from its aim is known after a few answers. Then
// each sample moves the value by a small step, up or down in the proportion that holds it at the quantile.
void RouteTimes::Quantile::add(double sample)
{
    const double difference = sample - this->value;
    if (this->samples < config::AnswerTimeMeanSamples) {
        ++this->samples;
        this->value += difference / (this->samples + 1);
        return;
    }
    const double share = difference > 0 ? config::AnswerTimeQuantile : 1 - config::AnswerTimeQuantile;
    const double step = config::AnswerTimeStep * share * std::max(this->value, 1.0);
    this->value += std::clamp(difference, -step, step);
}

// The aim of a stream is the time to its first event and that of other answers the whole time. One aim for all of the
// answer is too little for a slow stream, but half of each part leaves callers with short deadlines time to wait.
RouteTimes::Times &RouteTimes::timesOf(const std::string &route, std::chrono::milliseconds aim)
{
    const double half = Milliseconds(aim).count() / 2;
    return this->routes.try_emplace(route, Times {{half, 0}, {half, 0}}).first->second;
}

void RouteTimes::observe(const std::string &route, std::chrono::milliseconds aim, Duration firstEvent, Duration rest)
{
    Times &times = this->timesOf(route, aim);
    times.firstEvent.add(Milliseconds(firstEvent).count());
    times.rest.add(Milliseconds(rest).count());
}

// A time that was cut off shows only that the answer takes longer. Without these samples the estimate would cover just
// the answers that were fast enough, and keep too little time under overload.
void RouteTimes::observeIncomplete(const std::string &route, std::chrono::milliseconds aim, Duration atLeast)
{
    Times &times = this->timesOf(route, aim);
    if (const double excess = Milliseconds(atLeast).count() - times.firstEvent.value - times.rest.value; excess > 0) {
        times.firstEvent.add(times.firstEvent.value + excess);
    }
}

Duration RouteTimes::usual(const std::string &route, std::chrono::milliseconds aim) const
{
    const auto found = this->routes.find(route);
    return found == this->routes.end() ? Duration(aim)
                                       : fromMilliseconds(found->second.firstEvent.value + found->second.rest.value);
}

bool isRoomNear(std::optional<Duration> roomIn)
{
    return roomIn.value_or(Duration::zero()) <= config::QueueStartLead;
}

Duration waitWithoutForecast(std::chrono::milliseconds aim)
{
    const auto share = std::chrono::duration_cast<std::chrono::milliseconds>(aim * config::ForwardWaitShare);
    return std::max<std::chrono::milliseconds>(share, config::ForwardLeastWait);
}

// Many hosts wait for the same servers, so that a place which comes free soon mostly goes to another host. How often
// requests of this host have started tells its part of the places.
Duration expectedWait(Duration roomIn, std::size_t ahead, Duration gap)
{
    return std::max(roomIn, gap * static_cast<Duration::rep>(ahead + 1));
}

// The random part is a quarter of the longest time also when the expected time exceeds it: callers that were refused
// together have similar deadlines.
std::chrono::milliseconds retryAfterRoom(Duration roomIn, std::chrono::milliseconds timeLeft, std::uint64_t random)
{
    const auto least = config::ForwardRetryAfterLeast;
    const auto most = std::max<std::chrono::milliseconds>(timeLeft / config::ForwardRetryAfterPart, 2 * least);
    const auto spread = std::max<std::chrono::milliseconds>(most / 4, least);
    const auto expected = std::chrono::ceil<std::chrono::milliseconds>(roomIn);
    const auto base = std::clamp<std::chrono::milliseconds>(expected, least, most - spread);
    return base + std::chrono::milliseconds(random % (static_cast<std::uint64_t>(spread.count()) + 1));
}

QueueKey ForwardQueue::add(QueuedRequest request, TimePoint now)
{
    const auto [own, isNew] = this->flows.try_emplace({request.service, request.urgency});
    if (isNew) {
        own->second.countsFrom = now;
        own->second.idleSince = now;
    }
    for (auto &[level, flow] : this->flows) {
        if (isAtMostAsUrgent(request, level) && !this->hasWaiting(level)) {
            flow.gap *= decay(now - flow.idleSince, config::QueueGapDecay);
            flow.countsFrom = now;
        }
    }
    this->entries.emplace(++this->lastKey, Waiting {std::move(request), now, 0, {}, {}});
    return this->lastKey;
}

void ForwardQueue::remove(QueueKey key, TimePoint now)
{
    if (const auto entry = this->entries.find(key); entry != this->entries.end()) {
        this->roundAt = std::max(this->roundAt, now);
        this->take(entry);
    }
}

// Removes an entry. A level without waiting requests has no standing queue.
void ForwardQueue::take(Entries::iterator entry)
{
    const QueuedRequest request = std::move(entry->second.request);
    this->entries.erase(entry);
    for (auto &[level, flow] : this->flows) {
        if (isAtMostAsUrgent(request, level) && !this->hasWaiting(level)) {
            flow.idleSince = this->roundAt;
            flow.lateSince.reset();
            flow.isStanding = false;
        }
    }
}

bool ForwardQueue::hasWaiting(const std::string &service) const
{
    return this->hasWaiting(Level {service, 0});
}

bool ForwardQueue::hasWaiting(const Level &level) const
{
    return std::any_of(this->entries.begin(), this->entries.end(), [&level](const auto &entry) {
        return isAtMostAsUrgent(entry.second.request, level);
    });
}

std::size_t ForwardQueue::size() const
{
    return this->entries.size();
}

void ForwardQueue::startRound(TimePoint now)
{
    this->roundAt = now;
    this->places = 0;
    this->isSorted = false;
    for (auto &[key, waiting] : this->entries) {
        waiting.place = 0;
        waiting.roomIn.reset();
    }
}

TimePoint ForwardQueue::latestStart(const QueuedRequest &request) const
{
    return request.deadline - this->routeTimes.usual(request.route, request.aim);
}

void ForwardQueue::sortTurns()
{
    this->turns.clear();
    for (const auto &[key, waiting] : this->entries) {
        if (const QueuedRequest &request = waiting.request; waiting.place == 0) {
            const double use = this->recentUse(request.organisation, this->roundAt);
            this->turns.emplace_back(request.urgency, use, this->latestStart(request), key);
        }
    }
    std::sort(this->turns.begin(), this->turns.end(), std::greater<>());
    this->isSorted = true;
}

// Looks for a request that has found no room in this round and differs only in being no larger. Servers have no room
// for @p request either then. The search for a server is what a round costs, so that it is done once for all of these.
const ForwardQueue::Waiting *ForwardQueue::sameWithoutRoom(const QueuedRequest &request) const
{
    const auto found = std::find_if(this->entries.begin(), this->entries.end(), [&request](const auto &entry) {
        const QueuedRequest &other = entry.second.request;
        return entry.second.place > 0 && other.urgency == request.urgency && other.route == request.route
            && other.service == request.service && other.model == request.model && other.tokens <= request.tokens;
    });
    return found == this->entries.end() ? nullptr : &found->second;
}

// The order is computed again after each start, which changes the use of an organisation. Otherwise all the places that
// come free at once would go to the same one.
std::optional<QueueKey> ForwardQueue::next()
{
    if (!this->isSorted) {
        this->sortTurns();
    }
    for (; !this->turns.empty(); this->turns.pop_back()) {
        const QueueKey key = std::get<3>(this->turns.back());
        const auto entry = this->entries.find(key);
        if (entry == this->entries.end() || entry->second.place > 0) {
            continue;
        }
        const Waiting *same = this->sameWithoutRoom(entry->second.request);
        if (same == nullptr) {
            return key;
        }
        this->noRoom(key, same->roomIn);
    }
    return std::nullopt;
}

Duration ForwardQueue::started(QueueKey key)
{
    const auto entry = this->entries.find(key);
    if (entry == this->entries.end()) {
        return Duration::zero();
    }
    const Duration waited = std::max(this->roundAt - entry->second.since, Duration::zero());
    this->noteUse(entry->second.request, this->roundAt);
    this->noteStart(entry->second);
    this->noteDelay(entry->second);
    this->take(entry);
    this->isSorted = false;
    return waited;
}

void ForwardQueue::noteUse(const QueuedRequest &request, TimePoint now)
{
    const double used = this->recentUse(request.organisation, now);
    // A request without tokens counts as one.
    const auto tokens = static_cast<double>(std::max<std::uint64_t>(request.tokens, 1));
    this->uses[request.organisation] = {used + tokens, now};
    if (this->uses.size() > config::QueueUsesKept) {
        this->uses.erase(std::min_element(this->uses.begin(), this->uses.end(), [this, now](auto &a, auto &b) {
            return this->recentUse(a.first, now) < this->recentUse(b.first, now);
        }));
    }
}

double ForwardQueue::recentUse(const std::string &organisation, TimePoint now) const
{
    const auto found = this->uses.find(organisation);
    return found == this->uses.end() ? 0 : found->second.tokens * decay(now - found->second.at, config::QueueUseDecay);
}

// Records the gap before a start, for each level whose requests the place would have gone to.
void ForwardQueue::noteStart(const Waiting &waiting)
{
    for (auto &[level, flow] : this->flows) {
        if (isAtMostAsUrgent(waiting.request, level)) {
            const double gap = std::max(Milliseconds(this->roundAt - flow.countsFrom).count(), 0.0);
            flow.gap += config::QueueGapSmoothing * (gap - flow.gap);
            flow.countsFrom = this->roundAt;
        }
    }
}

// Finds standing queues as CoDel does: by the least delay within an interval, since a long delay alone may be a burst.
void ForwardQueue::noteDelay(const Waiting &waiting)
{
    Flow &flow = this->flows[{waiting.request.service, waiting.request.urgency}];
    const Duration aim = waiting.request.aim;
    if (this->roundAt - waiting.since < aim * config::QueueDelayTarget) {
        flow.lateSince.reset();
        flow.isStanding = false;
        return;
    }
    flow.lateSince = flow.lateSince.value_or(this->roundAt);
    if (!flow.isStanding && this->roundAt - *flow.lateSince >= aim * config::QueueDelayInterval) {
        flow.isStanding = true;
        flow.refused = 0;
        flow.interval = std::chrono::duration_cast<Duration>(aim * config::QueueDelayInterval);
        flow.nextRefusal = this->roundAt;
    }
}

void ForwardQueue::noRoom(QueueKey key, std::optional<Duration> roomIn)
{
    if (const auto entry = this->entries.find(key); entry != this->entries.end()) {
        entry->second.place = ++this->places;
        entry->second.roomIn = roomIn;
    }
}

// The time since the latest start counts like a gap once it is longer, so that a queue that no longer moves is noticed.
Duration ForwardQueue::gapOf(const Level &level) const
{
    const auto found = this->flows.find(level);
    if (found == this->flows.end()) {
        return Duration::zero();
    }
    const Flow &flow = found->second;
    const double since = Milliseconds(this->roundAt - flow.countsFrom).count();
    return fromMilliseconds(flow.gap + config::QueueGapSmoothing * std::max(since - flow.gap, 0.0));
}

std::vector<QueueKey> ForwardQueue::inOrder() const
{
    std::vector<QueueKey> keys;
    for (const auto &[key, waiting] : this->entries) {
        if (waiting.place > 0) {
            keys.push_back(key);
        }
    }
    std::sort(keys.begin(), keys.end(), [this](QueueKey a, QueueKey b) {
        return this->entries.at(a).place < this->entries.at(b).place;
    });
    return keys;
}

std::vector<QueueRefusal> ForwardQueue::finishRound()
{
    std::vector<QueueRefusal> refusals;
    this->refuseUnpromising(refusals);
    this->refuseStanding(refusals);
    this->refuseBeyondBound(refusals);
    return refusals;
}

// Returns why a request waits no longer; nothing while it waits.
std::optional<RefusalCause>
ForwardQueue::judge(Waiting &waiting, std::optional<Duration> expected, TimePoint latest) const
{
    if (!expected) {
        waiting.unknownSince = waiting.unknownSince.value_or(this->roundAt);
        const bool isOver = this->roundAt - *waiting.unknownSince >= waitWithoutForecast(waiting.request.aim);
        return isOver ? std::optional(RefusalCause::NoPlaceInTime) : std::nullopt;
    }
    waiting.unknownSince.reset();
    return this->roundAt + *expected > latest ? std::optional(RefusalCause::NoPlaceExpected) : std::nullopt;
}

void ForwardQueue::refuseUnpromising(std::vector<QueueRefusal> &refusals)
{
    std::map<std::string, std::size_t> ahead;
    for (const QueueKey key : this->inOrder()) {
        Waiting &waiting = this->entries.at(key);
        const QueuedRequest &request = waiting.request;
        std::size_t &before = ahead[request.service];
        if (waiting.roomIn) {
            waiting.roomIn = expectedWait(*waiting.roomIn, before, this->gapOf({request.service, request.urgency}));
        }
        if (const auto cause = this->judge(waiting, waiting.roomIn, this->latestStart(request))) {
            this->refuse(key, *cause, waiting.roomIn, refusals);
        } else {
            ++before;
        }
    }
}

// Refuses one request at a time, at intervals that become shorter as long as starts are late.
void ForwardQueue::refuseStanding(std::vector<QueueRefusal> &refusals)
{
    for (auto &[level, flow] : this->flows) {
        if (!flow.isStanding || this->roundAt < flow.nextRefusal) {
            continue;
        }
        const auto waiting = std::count_if(this->entries.begin(), this->entries.end(), [&level = level](auto &entry) {
            return isAtMostAsUrgent(entry.second.request, level);
        });
        // A single request is no queue.
        if (waiting > 1) {
            const double share = 1 / std::sqrt(++flow.refused);
            flow.nextRefusal = this->roundAt + std::chrono::duration_cast<Duration>(flow.interval * share);
            this->refuseLast(level, RefusalCause::StandingQueue, refusals);
        }
    }
}

void ForwardQueue::refuseLast(const Level &level, RefusalCause cause, std::vector<QueueRefusal> &refusals)
{
    const std::vector<QueueKey> keys = this->inOrder();
    const auto last = std::find_if(keys.rbegin(), keys.rend(), [this, &level](QueueKey key) {
        return isAtMostAsUrgent(this->entries.at(key).request, level);
    });
    if (last != keys.rend()) {
        this->refuse(*last, cause, this->entries.at(*last).roomIn, refusals);
    }
}

void ForwardQueue::refuseBeyondBound(std::vector<QueueRefusal> &refusals)
{
    const std::vector<QueueKey> keys = this->inOrder();
    for (auto key = keys.rbegin(); key != keys.rend() && this->entries.size() > config::ForwardQueueBound; ++key) {
        this->refuse(*key, RefusalCause::QueueFull, this->entries.at(*key).roomIn, refusals);
    }
}

void ForwardQueue::refuse(QueueKey key,
                          RefusalCause cause,
                          std::optional<Duration> roomIn,
                          std::vector<QueueRefusal> &refusals)
{
    refusals.push_back({key, cause, roomIn});
    this->take(this->entries.find(key));
}

} // namespace endivespan
