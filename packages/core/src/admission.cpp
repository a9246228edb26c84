#include <endivespan/admission.h>
#include <endivespan/invariant.h>

#include <algorithm>
#include <cmath>

namespace endivespan {

namespace {

constexpr double QueuedRunsPerPlace = 4.0;
constexpr double MaxPriority = 7.0;
constexpr std::size_t LeastQueue = 1; // One request may always wait, however long its prompt is.

double costOf(double prefillTokens, std::uint32_t maxTokens)
{
    return prefillTokens + static_cast<double>(maxTokens) * config::DecodeTokenCost;
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

AdmissionCapacity capacityOfHost(const PoolCapacity &pool, std::size_t hosts)
{
    const double window = toSeconds(config::AdmissionPrefillWindow);
    const double share = 1.0 / static_cast<double>(std::max<std::size_t>(hosts, 1));
    AdmissionCapacity capacity;
    capacity.runs = share * (pool.slots + config::AdmissionBorrowFactor * pool.freeSlots);
    capacity.prefillTokens
        = share * (pool.prefillTokensPerSecond * window + config::AdmissionBorrowFactor * pool.freePrefillTokens);
    capacity.runners = share * pool.runners;
    capacity.tokensPerSecond = share * pool.prefillTokensPerSecond;
    return capacity;
}

Admission::Admission(const AdmissionLimits &limits)
    : limits(limits)
    , waiting(limits.queueBound)
    , organisations(limits.organisations)
{
    this->freeWaiting.reserve(limits.queueBound);
    for (std::size_t i = limits.queueBound; i > 0; --i) {
        this->freeWaiting.push_back(static_cast<Index>(i - 1));
    }
    this->running.reserve(limits.inFlight);
    this->active.reserve(limits.queueBound);
}

void Admission::setOrganisation(OrganisationHandle organisation, std::uint32_t weight, std::uint32_t inFlight)
{
    Organisation &state = this->organisations.at(organisation.index);
    state.weight = std::max<std::uint32_t>(weight, 1);
    state.limit = std::max<std::uint32_t>(inFlight, 1);
}

void Admission::setCapacity(const AdmissionCapacity &capacity, TimePoint now, AdmissionActions &actions)
{
    this->capacity = capacity;
    this->startWaiting(now, actions);
    while (this->isQueueTooLong()) {
        this->shedOne(actions);
    }
    this->checkBound();
}

void Admission::offer(const AdmissionRequest &request, TimePoint now, AdmissionActions &actions)
{
    const Organisation &organisation = this->organisations.at(request.organisation.index);
    if (organisation.running + organisation.queued >= organisation.limit) {
        ++this->counters.refusedOrganisation;
        this->refuse(request, ErrorKind::OrganisationOverLimit, actions);
        return;
    }
    if (!this->meetsDeadline(request, now)) {
        ++this->counters.refusedDeadline;
        this->refuse(request, ErrorKind::Overloaded, actions);
        return;
    }
    if (this->freeWaiting.empty()) {
        this->shedOne(actions);
    }
    this->enqueue(request);
    this->startWaiting(now, actions);
    while (this->isQueueTooLong()) {
        this->shedOne(actions);
    }
    this->checkBound();
}

void Admission::correctPrefill(std::uint64_t id, std::uint32_t recomputeTokens)
{
    Running *run = this->findRunning(id);
    if (run == nullptr) {
        return;
    }
    Organisation &organisation = this->organisations[run->organisation.index];
    const double change = recomputeTokens - run->prefill;
    run->prefill += change;
    this->prefillInFlight += change;
    organisation.finishTag += change / organisation.weight;
    organisation.recentCost = std::max(0.0, organisation.recentCost + change);
    const double share = recomputeTokens / std::max(1.0, static_cast<double>(run->promptTokens));
    organisation.recomputeShare += config::RateSmoothing * (std::min(share, 1.0) - organisation.recomputeShare);
    const double tokens = recomputeTokens;
    this->meanPrefill += config::RateSmoothing * (tokens - this->meanPrefill);
    this->meanSquarePrefill += config::RateSmoothing * (tokens * tokens - this->meanSquarePrefill);
}

void Admission::firstToken(std::uint64_t id, TimePoint now, AdmissionActions &actions)
{
    if (Running *run = this->findRunning(id); run != nullptr) {
        this->prefillInFlight -= run->prefill;
        run->prefill = 0;
        this->startWaiting(now, actions);
    }
}

void Admission::finished(std::uint64_t id, TimePoint now, AdmissionActions &actions)
{
    Running *run = this->findRunning(id);
    if (run == nullptr) {
        return;
    }
    Organisation &organisation = this->organisations[run->organisation.index];
    this->prefillInFlight -= run->prefill;
    --organisation.running;
    this->busyOrganisations -= organisation.running + organisation.queued == 0 ? 1 : 0;
    *run = this->running.back();
    this->running.pop_back();
    this->startWaiting(now, actions);
}

void Admission::abandon(std::uint64_t id)
{
    for (Index i = 0; i < this->waiting.size(); ++i) {
        if (this->waiting[i].used && this->waiting[i].request.id == id) {
            this->remove(i);
            return;
        }
    }
}

void Admission::tick(TimePoint now, AdmissionActions &actions)
{
    for (Index i = 0; i < this->waiting.size(); ++i) {
        const Waiting &entry = this->waiting[i];
        if (entry.used && entry.request.deadline <= now) {
            ++this->counters.refusedDeadline;
            this->refuse(entry.request, ErrorKind::DeadlineExceeded, actions);
            this->remove(i);
        }
    }
    this->startWaiting(now, actions);
    this->checkBound();
}

AdmissionStats Admission::stats() const
{
    AdmissionStats stats = this->counters;
    stats.inFlight = this->running.size();
    stats.activeOrganisations = this->active.size();
    return stats;
}

std::size_t Admission::memoryBytes() const
{
    return this->waiting.capacity() * sizeof(Waiting) + this->organisations.capacity() * sizeof(Organisation)
        + this->running.capacity() * sizeof(Running)
        + (this->freeWaiting.capacity() + this->active.capacity()) * sizeof(Index);
}

void Admission::refuse(const AdmissionRequest &request, ErrorKind kind, AdmissionActions &actions)
{
    actions.refuse.push_back({request.id, kind, this->retryAfter(request.random)});
}

// The time in which the queue drains, within bounds, plus random jitter of up to the same length, so that callers do
// not all retry at the same moment.
Duration Admission::retryAfter(std::uint64_t random) const
{
    const double rate = this->capacity.tokensPerSecond;
    const double drain = rate > 0 ? this->queuedPrefill / rate : toSeconds(config::RetryAfterMax);
    const double base = std::clamp(drain, toSeconds(config::RetryAfterMin), toSeconds(config::RetryAfterMax));
    const double jitter = base * static_cast<double>(random >> 11U) / static_cast<double>(1ULL << 53U);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(base + jitter));
}

// Allows enough prefill work in flight to keep the runners busy between two load reports. A prompt can only be sent as
// a whole, so the bound grows with the length of the prompt that a token belongs to on average (mean square / mean).
double Admission::prefillBound() const
{
    const double typical = this->meanPrefill > 0 ? this->meanSquarePrefill / this->meanPrefill : 0;
    return this->capacity.prefillTokens + this->capacity.runners * typical * config::AdmissionPrefillRuns;
}

double Admission::recentCost(const Organisation &organisation, TimePoint now)
{
    const double age = toSeconds(now - organisation.recentAt);
    return organisation.recentCost * std::exp(-age / toSeconds(config::AdmissionUsageDecayTime));
}

// Recent cost below which an organisation counts as light, that is, as using less than its share; 0 while the capacity
// is unknown.
double Admission::lightCostLimit(const Organisation &organisation) const
{
    const double memory = toSeconds(config::AdmissionUsageDecayTime);
    return this->capacity.tokensPerSecond * memory * config::AdmissionLightShare * organisation.weight;
}

// All organisations may fill the ordinary capacity. While several organisations compete, light ones may also use a
// reserve beyond it, so that they can start when the others have filled the capacity.
bool Admission::mayStart(const Organisation &organisation, TimePoint now) const
{
    const bool contended = this->limits.fairShare && this->busyOrganisations > 1;
    const bool reserve = contended && recentCost(organisation, now) < this->lightCostLimit(organisation);
    const double scale = reserve ? 1.0 + config::AdmissionReserve : 1.0;
    const bool place = static_cast<double>(this->running.size()) < this->capacity.runs * scale;
    const bool prefill = this->prefillInFlight < this->prefillBound() * scale;
    return place && prefill && this->running.size() < this->limits.inFlight;
}

std::size_t Admission::maxQueued() const
{
    const auto runs = static_cast<std::size_t>(std::max(this->capacity.runs, 1.0) * QueuedRunsPerPlace);
    return std::min(this->limits.queueBound, std::max(runs, LeastQueue));
}

// True when requests have to be rejected because they would wait longer than config::AdmissionQueueTime, or because
// there are too many. Rejecting them at once tells callers early when to retry.
bool Admission::isQueueTooLong() const
{
    const double bearable = this->capacity.tokensPerSecond * toSeconds(config::AdmissionQueueTime);
    const bool slow = bearable > 0 && this->queuedPrefill > bearable && this->counters.queued > LeastQueue;
    return slow || this->counters.queued > this->maxQueued();
}

// Estimates whether the work queued ahead of the request is done before its deadline. With fair queueing an
// organisation within its share overtakes the others, so only the work that is served before it counts.
bool Admission::meetsDeadline(const AdmissionRequest &request, TimePoint now) const
{
    if (request.deadline <= now) {
        return false;
    }
    const double rate = this->capacity.tokensPerSecond;
    if (rate <= 0) {
        return true;
    }
    const Organisation &own = this->organisations[request.organisation.index];
    const double others = static_cast<double>(this->active.size()) + (own.queued == 0 ? 1 : 0);
    const double fair = std::min(this->queuedPrefill, own.queuedPrefill * others);
    const double ahead = this->limits.fairShare ? fair : this->queuedPrefill;
    return ahead / rate <= toSeconds(request.deadline - now);
}

void Admission::enqueue(const AdmissionRequest &request)
{
    const Index index = this->freeWaiting.back();
    this->freeWaiting.pop_back();
    Organisation &organisation = this->organisations[request.organisation.index];
    Waiting &entry = this->waiting[index];
    this->busyOrganisations += organisation.running + organisation.queued == 0 ? 1 : 0;
    const double prefill = request.prefillTokens * organisation.recomputeShare;
    entry = {request, prefill, this->arrivals++, organisation.last, None, true};
    if (organisation.last != None) {
        this->waiting[organisation.last].next = index;
    } else {
        organisation.first = index;
        organisation.finishTag = std::max(organisation.finishTag, this->virtualTime);
        this->activate(request.organisation.index);
    }
    organisation.last = index;
    ++organisation.queued;
    organisation.queuedPrefill += entry.prefill;
    this->queuedPrefill += entry.prefill;
    ++this->counters.queued;
}

void Admission::remove(Index index)
{
    Waiting &entry = this->waiting[index];
    Organisation &organisation = this->organisations[entry.request.organisation.index];
    (entry.previous != None ? this->waiting[entry.previous].next : organisation.first) = entry.next;
    (entry.next != None ? this->waiting[entry.next].previous : organisation.last) = entry.previous;
    --organisation.queued;
    organisation.queuedPrefill -= entry.prefill;
    this->queuedPrefill -= entry.prefill;
    --this->counters.queued;
    entry.used = false;
    this->freeWaiting.push_back(index);
    if (organisation.queued == 0) {
        this->deactivate(entry.request.organisation.index);
        this->busyOrganisations -= organisation.running == 0 ? 1 : 0;
    }
}

// Rejects the newest request of the organisation that has the most queued prefill tokens relative to its weight; with
// one queue for all, the newest request.
void Admission::shedOne(AdmissionActions &actions)
{
    const Index organisation = this->longestOrganisation();
    if (organisation == None) {
        return;
    }
    const Index index = this->organisations[organisation].last;
    ++this->counters.refusedQueueFull;
    this->refuse(this->waiting[index].request, ErrorKind::Overloaded, actions);
    this->remove(index);
}

Admission::Index Admission::nextOrganisation() const
{
    const auto before = [this](Index left, Index right) {
        const Organisation &one = this->organisations[left];
        const Organisation &other = this->organisations[right];
        if (!this->limits.fairShare) {
            return this->waiting[one.first].arrival < this->waiting[other.first].arrival;
        }
        return one.finishTag < other.finishTag;
    };
    const auto best = std::min_element(this->active.begin(), this->active.end(), before);
    return best == this->active.end() ? None : *best;
}

Admission::Index Admission::longestOrganisation() const
{
    const auto shorter = [this](Index left, Index right) {
        const Organisation &one = this->organisations[left];
        const Organisation &other = this->organisations[right];
        if (!this->limits.fairShare) {
            return this->waiting[one.last].arrival < this->waiting[other.last].arrival;
        }
        return one.queuedPrefill / one.weight < other.queuedPrefill / other.weight;
    };
    const auto longest = std::max_element(this->active.begin(), this->active.end(), shorter);
    return longest == this->active.end() ? None : *longest;
}

void Admission::startWaiting(TimePoint now, AdmissionActions &actions)
{
    while (!this->active.empty()) {
        const Organisation &next = this->organisations[this->nextOrganisation()];
        if (!this->mayStart(next, now)) {
            return;
        }
        const AdmissionRequest request = this->waiting[next.first].request;
        const double prefill = this->waiting[next.first].prefill;
        this->remove(next.first);
        if (request.deadline <= now) {
            ++this->counters.refusedDeadline;
            this->refuse(request, ErrorKind::DeadlineExceeded, actions);
            continue;
        }
        this->start(request, prefill, now, actions);
    }
}

// Requests of organisations with little recent usage run first at the engine, even when others have filled the runners.
std::uint32_t Admission::priorityOf(const Organisation &organisation, TimePoint now) const
{
    const double light = this->lightCostLimit(organisation);
    const double recent = recentCost(organisation, now);
    if (light <= 0 || recent <= light) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::min(1 + std::log2(recent / light), MaxPriority));
}

void Admission::start(const AdmissionRequest &request, double prefill, TimePoint now, AdmissionActions &actions)
{
    Organisation &organisation = this->organisations[request.organisation.index];
    this->busyOrganisations += organisation.running + organisation.queued == 0 ? 1 : 0;
    const std::uint32_t priority = this->limits.fairShare ? this->priorityOf(organisation, now) : 0;
    const double startTag = std::max(organisation.finishTag, this->virtualTime);
    this->virtualTime = std::max(this->virtualTime, startTag);
    const double cost = costOf(prefill, request.maxTokens);
    organisation.finishTag = startTag + cost / organisation.weight;
    organisation.recentCost = recentCost(organisation, now) + cost;
    organisation.recentAt = now;
    ++organisation.running;
    this->prefillInFlight += prefill;
    this->running.push_back({request.id, request.organisation, request.prefillTokens, prefill});
    ++this->counters.started;
    actions.start.push_back({request.id, priority});
}

void Admission::activate(Index organisation)
{
    this->organisations[organisation].activeIndex = static_cast<Index>(this->active.size());
    this->active.push_back(organisation);
}

void Admission::deactivate(Index organisation)
{
    const Index place = this->organisations[organisation].activeIndex;
    const Index moved = this->active.back();
    this->active[place] = moved;
    this->organisations[moved].activeIndex = place;
    this->active.pop_back();
    this->organisations[organisation].activeIndex = None;
}

void Admission::checkBound() const
{
    checkInvariant(Invariant::QueueWithinBound, this->counters.queued <= this->maxQueued(), "admission queue");
}

Admission::Running *Admission::findRunning(std::uint64_t id)
{
    const auto found
        = std::find_if(this->running.begin(), this->running.end(), [id](const Running &run) { return run.id == id; });
    return found == this->running.end() ? nullptr : &*found;
}

void RetryBudget::onSuccess()
{
    this->tokens = std::min(config::RetryBudgetMax, this->tokens + config::RetryBudgetShare);
}

bool RetryBudget::tryTake()
{
    if (this->tokens < 1) {
        return false;
    }
    this->tokens -= 1;
    return true;
}

} // namespace endivespan
