#include <endivespan/config.h>
#include <endivespan/mix.h>
#include <endivespan/placement.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

namespace endivespan {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

std::uint64_t hashText(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    return hash;
}

// Weight of a server's load report, falling from 1 to 0 with its age, since other hosts act on the report meanwhile.
double reportWeight(const ServerView &view, TimePoint now)
{
    const double age = Milliseconds(now - view.loadAt).count();
    return std::max(0.0, 1.0 - age / Milliseconds(config::LoadReportStaleAfter).count());
}

// How many hosts a request of this host stands for when the requests at a server are estimated. In a small fleet the
// other hosts send about as much as this one. In a large fleet a host sends so rarely to any one server that its own
// requests say little, and the mean of the pool says more.
double hostsPerOwnRequest(const PlacementNeed &need)
{
    const auto hosts = static_cast<double>(std::max<std::size_t>(need.hosts, 1));
    return std::clamp(config::MaxHostsPerOwnRequest * config::MaxHostsPerOwnRequest / hosts,
                      1.0,
                      std::min(hosts, config::MaxHostsPerOwnRequest));
}

// How long work takes at a server, by which its expected times are multiplied. Pools that do not report a pace are
// served as if all of their servers were equal.
double paceOf(const ServerView &view, const PlacementNeed &need, TimePoint now)
{
    return need.loadControl ? view.pace.expected(now) : 1;
}

// Whether the server is cold and limited, so that only the few hosts that hold rights to it send to it now.
bool isLimitedByRights(const ServerView &view, const PlacementNeed &need, TimePoint now)
{
    return need.coldBound.isBounded() && ServerTable::isCold(view, now);
}

// Estimates the requests at a server: those in its load report, as far as they are still running, plus those sent since
// the report, scaled up because the other hosts send too. Without the scaling all hosts would flood an engine that has
// just become free. Once the report is too old, the scaled requests of this host replace it: an overloaded server
// answers rarely, and must not look empty until its next report arrives.
double estimateRequests(const ServerView &view, const PlacementNeed &need, double hostsPerRequest, TimePoint now)
{
    double unreported
        = need.meanRequests * (1 - hostsPerRequest / static_cast<double>(std::max<std::size_t>(need.hosts, 1)));
    if (isLimitedByRights(view, need, now)) {
        // The mean of the pool says nothing about a cold server, which would otherwise seem as crowded as the others
        // until its first load report.
        const std::uint32_t own = need.coldBound.hosts->rightsOf(view.idHash, need.coldBound.rights, now);
        hostsPerRequest = own > 0 ? need.coldBound.rights / static_cast<double>(own) : 1;
        unreported = 0;
    }
    double estimate = view.inFlight * hostsPerRequest + unreported;
    if (const Duration age = now - view.loadAt; view.load && age <= config::LoadReportUsableTime) {
        const double stillRunning
            = std::exp(-Milliseconds(age).count() / std::max(1.0, Milliseconds(need.rates.runTime).count()));
        const double reported = view.load->running + view.load->waiting;
        estimate = stillRunning * reported + (1 - stillRunning) * unreported + view.sentSinceLoad * hostsPerRequest;
    }
    return std::max(estimate, static_cast<double>(view.inFlight));
}

// Engine memory that the request will use.
double tokensOf(const PlacementNeed &need)
{
    return need.requestTokens > 0 ? need.requestTokens
                                  : static_cast<double>(need.sharedTokens + need.ownTokens + need.answerTokens);
}

/// Limits of one server for a request.
struct Limits {
    double waiting = 0; ///< Requests that may wait; 0 for no limit.
    double memory = 0; ///< Tokens; 0 for no limit.
    double pressure = 0; ///< How full the pool is: 0 in calm, 1 when it has no memory left on average.
};

// Without load control the limits are those of the need. With it they are wide while the pool has room, so that
// requests stay at the engines that cache their parts, and narrow when it is full: then engines that accept too much
// drop runs for lack of memory.
Limits limitsOf(const PlacementNeed &need)
{
    Limits limits {need.maxWaiting, need.memoryTokens, 0};
    if (!need.loadControl || need.memoryTokens <= 0) {
        return limits;
    }
    const double fill = need.meanRequests * need.rates.tokensPerRun / need.memoryTokens;
    limits.pressure
        = std::clamp((fill - config::PacedCalmFill) / (config::PacedFullFill - config::PacedCalmFill), 0.0, 1.0);
    limits.waiting *= std::lerp(config::PacedCalmWaiting, config::PacedFullWaiting, limits.pressure);
    limits.memory *= std::lerp(config::PacedCalmMemory, config::PacedFullMemory, limits.pressure);
    return limits;
}

bool isCrowded(const ServerView &view, const PlacementNeed &need, const Limits &limits, double requests, TimePoint now)
{
    if (limits.waiting > 0 && view.load && reportWeight(view, now) * view.load->waiting > limits.waiting) {
        return true;
    }
    // An empty engine is sent a request of any size; the engine itself rejects one that is too large.
    if (requests < 1) {
        return false;
    }
    if (limits.waiting > 0 && requests >= view.entry.slots + limits.waiting) {
        return true;
    }
    return limits.memory > 0 && requests * need.rates.tokensPerRun + tokensOf(need) > limits.memory;
}

// Mean time in milliseconds between the ends of two runs at an engine with this many requests.
double timeBetweenEnds(const ServerView &view, const PlacementNeed &need, double requests, TimePoint now)
{
    const double runs = std::clamp(requests, 1.0, std::max(1.0, static_cast<double>(view.entry.slots)));
    return paceOf(view, need, now) * Milliseconds(need.rates.runTime).count() / runs;
}

// Requests by which the memory of an engine exceeds @p memory tokens once it has this one too.
double memoryExcess(const PlacementNeed &need, double memory, double requests)
{
    const double excess = requests * need.rates.tokensPerRun + tokensOf(need) - memory;
    return memory > 0 ? std::max(excess / std::max(need.rates.tokensPerRun, 1.0), 0.0) : 0;
}

// Expected time in milliseconds until an engine without room has room for this request: until as many runs have ended
// as it has requests above its limits, and one at the least.
double
timeUntilRoom(const ServerView &view, const PlacementNeed &need, const Limits &limits, double requests, TimePoint now)
{
    double excess = std::max(memoryExcess(need, limits.memory, requests), 1.0);
    if (limits.waiting > 0) {
        excess = std::max({excess,
                           requests - view.entry.slots - limits.waiting,
                           reportWeight(view, now) * view.load->waiting - limits.waiting});
    }
    return excess * timeBetweenEnds(view, need, requests, now);
}

// Adds what one server says about the time until one has room. A cold server without a right says nothing.
void addRoom(PlacementChoice &choice, const PlacementNeed &need, bool hasRoom, std::optional<double> untilRoom)
{
    if (need.loadControl && (hasRoom || untilRoom)) {
        const auto time = hasRoom ? Duration::zero() : std::chrono::duration_cast<Duration>(Milliseconds(*untilRoom));
        choice.roomIn = std::min(choice.roomIn.value_or(time), time);
    }
}

/// Calls @p visit for each server that accepts new work and may run the request, whether or not it has room now.
/// @returns a choice with the counts of servers, but without a chosen server.
template<typename Visit>
PlacementChoice forEachCandidate(const ServerTable &table, const PlacementNeed &need, TimePoint now, Visit visit)
{
    PlacementChoice choice;
    const double hostsPerRequest = hostsPerOwnRequest(need);
    const Limits limits = limitsOf(need);
    for (const auto &[id, view] : table.servers()) {
        if (view.entry.service != need.service) {
            continue;
        }
        ++choice.known;
        choice.leaving += view.isLeaving() ? 1 : 0;
        choice.resting += view.isResting(now) ? 1 : 0;
        if (!table.isOpen(view, now) || need.tried.contains(id) || (need.only && !need.only->contains(id))) {
            continue;
        }
        const auto weights = view.entry.weights.find(need.model);
        if (need.oldestWeights > 0 && weights != view.entry.weights.end() && weights->second < need.oldestWeights) {
            continue;
        }
        ++choice.open;
        const double requests = estimateRequests(view, need, hostsPerRequest, now);
        const std::uint32_t maxInFlight = need.model.empty() ? view.entry.slots : need.maxInFlight;
        const bool hasColdRoom = ServerTable::hasColdRoom(view, need.coldBound, now);
        const bool hasRoom = hasColdRoom && !isCrowded(view, need, limits, requests, now)
            && (maxInFlight == 0 || view.inFlight < maxInFlight);
        const bool isKnown
            = !need.model.empty() && hasColdRoom && view.load && now - view.loadAt <= config::LoadReportUsableTime;
        addRoom(choice,
                need,
                hasRoom,
                isKnown ? std::optional(timeUntilRoom(view, need, limits, requests, now)) : std::nullopt);
        choice.full += hasRoom ? 0 : 1;
        choice.cold += hasColdRoom ? 0 : 1;
        visit(view, hasRoom, requests);
    }
    return choice;
}

class LeastInFlight : public Placement
{
public:
    PlacementChoice
    choose(const ServerTable &table, const PlacementNeed &need, std::uint64_t random, TimePoint now) const override
    {
        std::pair<std::uint32_t, std::uint64_t> least {std::numeric_limits<std::uint32_t>::max(), 0};
        std::string best;
        const auto visit = [&](const ServerView &view, bool hasRoom, double) {
            const std::pair<std::uint32_t, std::uint64_t> order {view.inFlight, mix(random ^ view.idHash)};
            if (hasRoom && order < least) {
                least = order;
                best = view.entry.id;
            }
        };
        PlacementChoice choice = forEachCandidate(table, need, now, visit);
        choice.server = best;
        return choice;
    }
};

class ExpectedStart : public Placement
{
public:
    PlacementChoice
    choose(const ServerTable &table, const PlacementNeed &need, std::uint64_t random, TimePoint now) const override
    {
        TopRanked withRoom;
        TopRanked all;
        Candidate best;
        Candidate bestUnsampled;
        const std::uint64_t sampled = sampleThreshold(table.servers().size());
        const auto visit = [&](const ServerView &view, bool hasRoom, double requests) {
            Candidate candidate {&view, mix(need.prefixHash ^ view.idHash), 0};
            all.insert(candidate);
            if (!hasRoom) {
                return;
            }
            // Random jitter of less than 1 ms decides between servers of equal cost.
            const double jitter = static_cast<double>(mix(random ^ candidate.rank) % 1000) / 1000.0;
            candidate.cost = costOf(view, need, requests, now) + jitter;
            // A cold server needs no sampling: few hosts hold a right to it, so they do not crowd it.
            const bool isSampled = isLimitedByRights(view, need, now) || mix(~random ^ view.idHash) <= sampled;
            Candidate &bestSoFar = isSampled ? best : bestUnsampled;
            bestSoFar = bestSoFar.view == nullptr || candidate.cost < bestSoFar.cost ? candidate : bestSoFar;
            withRoom.insert(candidate);
        };
        PlacementChoice choice = forEachCandidate(table, need, now, visit);
        best = best.view == nullptr ? bestUnsampled : best;
        for (std::size_t place = 0; place < withRoom.candidates.size(); ++place) {
            Candidate candidate = withRoom.candidates.at(place);
            if (candidate.view != nullptr) {
                candidate.cost -= paceOf(*candidate.view, need, now) * expectedHitSaving(need, place);
                best = candidate.cost < best.cost ? candidate : best;
            }
        }
        if (best.view != nullptr) {
            choice.server = best.view->entry.id;
            choice.expected = std::chrono::duration_cast<Duration>(Milliseconds(std::max(best.cost, 0.0)));
            choice.likelyHolder = need.sharedTokens > 0 ? likelyHolder(all, *best.view) : std::string();
        }
        return choice;
    }

private:
    struct Candidate {
        const ServerView *view = nullptr;
        std::uint64_t rank = 0; ///< Rendezvous weight for the prefix; the highest comes first.
        double cost = 0; ///< Expected time to the first byte in milliseconds when nothing of the prompt is cached.
    };

    /// The first few servers in the rendezvous order of the prefix.
    struct TopRanked {
        std::array<Candidate, config::PrefixHitShares.size()> candidates;

        void insert(Candidate candidate)
        {
            for (Candidate &place : this->candidates) {
                if (place.view == nullptr || candidate.rank > place.rank) {
                    std::swap(place, candidate);
                }
                if (candidate.view == nullptr) {
                    return;
                }
            }
        }
    };

    // Threshold on a random hash, at or below which a server is in the sample that is evaluated. Hosts act on load
    // reports that are some tenths of a second old; if each of them chose the best server of a large pool, all would
    // choose the same one. Each therefore evaluates a small random sample, besides the servers that may hold the
    // prefix.
    static std::uint64_t sampleThreshold(std::size_t servers)
    {
        const auto all = static_cast<double>(std::max<std::size_t>(servers, 1));
        const double sample
            = std::max(config::PlacementSampleLeast, config::PlacementSampleAll * config::PlacementSampleAll / all);
        constexpr auto Most = std::numeric_limits<std::uint64_t>::max();
        return sample >= all ? Most : static_cast<std::uint64_t>(sample / all * static_cast<double>(Most));
    }

    // Address of the first server in the rendezvous order of the prefix that has the same weights as the chosen server;
    // empty if that is the chosen server. A server without room qualifies too, since it need not run this request.
    static std::string likelyHolder(const TopRanked &all, const ServerView &chosen)
    {
        for (const Candidate &candidate : all.candidates) {
            if (candidate.view != nullptr && candidate.view->entry.weights == chosen.entry.weights) {
                return candidate.view == &chosen ? "" : candidate.view->entry.address;
            }
        }
        return {};
    }

    // Expected saving in milliseconds at a place of the rendezvous order and a server of usual pace: the time to
    // prefill the shared prefix, times the probability that it is cached there.
    static double expectedHitSaving(const PlacementNeed &need, std::size_t place)
    {
        const bool isEngine = !need.model.empty();
        return isEngine ? config::PrefixHitShares.at(place) * static_cast<double>(need.sharedTokens)
                / need.rates.prefillTokensPerMillisecond
                        : 0;
    }

    // Expected time to the first byte in milliseconds, plus penalties for failures, silence and similar risks.
    static double costOf(const ServerView &view, const PlacementNeed &need, double requests, TimePoint now)
    {
        const bool isEngine = !need.model.empty();
        double cost = isEngine ? engineCost(view, need, requests, now) : paceOf(view, need, now) * plainCost(view, now);
        const double failures = view.failureShare(now);
        cost += failures * failures * Milliseconds(config::FailureCost).count();
        if (view.isSilent(config::SilentAvoidAfter, now)) {
            cost += Milliseconds(config::SilentCost).count();
        }
        if (ServerTable::isCold(view, now) && !need.coldBound.isBounded()) {
            cost += Milliseconds(config::ColdCost).count();
        }
        if (view.entry.domain != need.domain) {
            cost += Milliseconds(config::OtherDomainCost).count();
        }
        return cost;
    }

    static double engineCost(const ServerView &view, const PlacementNeed &need, double requests, TimePoint now)
    {
        const auto tokens = static_cast<double>(need.ownTokens + need.sharedTokens + view.prefillTokens);
        const double pace = paceOf(view, need, now);
        double cost = pace * tokens / need.rates.prefillTokensPerMillisecond;
        if (view.load) {
            cost += waitingCost(view, need, requests, now);
        }
        cost += requests * Milliseconds(config::RunningCost).count();
        const auto weights = view.entry.weights.find(need.model);
        if (weights != view.entry.weights.end() && weights->second < need.newestWeights) {
            cost += Milliseconds(config::OldWeightsCost).count();
        }
        return cost + weightLoadCost(view, need);
    }

    // Time in milliseconds that the request waits behind others. Where engines report their pace, each request before
    // it needs the room of a run that ends: those that wait, or those for which the memory does not suffice as far as
    // the pool is full.
    static double waitingCost(const ServerView &view, const PlacementNeed &need, double requests, TimePoint now)
    {
        const double waiting = reportWeight(view, now) * view.load->waiting;
        if (need.loadControl) {
            const double excess = limitsOf(need).pressure * memoryExcess(need, need.memoryTokens, requests);
            return std::max(waiting, excess) * timeBetweenEnds(view, need, requests, now);
        }
        const double waitingPromptTime
            = config::WaitingReadShare * need.rates.promptTokens / need.rates.prefillTokensPerMillisecond;
        return waiting * waitingPromptTime;
    }

    // A run that is still in progress when its engine has to load weights delays the load, and thus the whole rollout.
    static double weightLoadCost(const ServerView &view, const PlacementNeed &need)
    {
        if (need.weightLoadQueue == nullptr) {
            return 0;
        }
        const RolloutQueue &queue = *need.weightLoadQueue;
        const auto place = queue.places.find(view.entry.id);
        if (place == queue.places.end()) {
            return 0;
        }
        const std::size_t ahead = place->second;
        if (ahead < queue.atOnce) {
            return Milliseconds(config::LoadingCost).count();
        }
        const double untilLoad = 1000 * static_cast<double>(ahead + 1 - queue.atOnce) / queue.perSecond;
        const double runTime
            = static_cast<double>(need.answerTokens) * Milliseconds(need.rates.answerTokenTime).count();
        return std::max(0.0, runTime - untilLoad) * config::LoadingOverlapCost;
    }

    static double plainCost(const ServerView &view, TimePoint now)
    {
        double busy = view.inFlight;
        if (view.load) {
            busy = std::max(busy, reportWeight(view, now) * (view.load->running + view.load->waiting))
                + view.sentSinceLoad;
        }
        return busy / std::max<std::uint32_t>(view.entry.slots, 1) * Milliseconds(config::PlainRunCost).count();
    }
};

} // namespace

std::unique_ptr<Placement> makeLeastInFlightPlacement()
{
    return std::make_unique<LeastInFlight>();
}

std::unique_ptr<Placement> makeExpectedStartPlacement()
{
    return std::make_unique<ExpectedStart>();
}

std::uint64_t hashPrefix(std::uint64_t before, std::string_view part)
{
    return mix(before ^ hashText(part));
}

double hashFraction(std::uint64_t hash)
{
    return static_cast<double>(hash >> 11U) * 0x1.0p-53;
}

} // namespace endivespan
