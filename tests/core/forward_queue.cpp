#include <endivespan/config.h>
#include <endivespan/forward_queue.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <vector>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start {std::chrono::hours(1)};

QueuedRequest request(std::size_t urgency, std::string organisation = "lehto", Duration timeLeft = 10s)
{
    return {"engines", "model", "essay", std::move(organisation), urgency, 1000, 600ms, Start + timeLeft};
}

/// The result of one round in which no server has room.
std::vector<QueueRefusal> fruitlessRound(ForwardQueue &queue, std::optional<Duration> roomIn, TimePoint now)
{
    queue.startRound(now);
    while (const auto key = queue.next()) {
        queue.noRoom(*key, roomIn);
    }
    return queue.finishRound();
}

/// The order in which requests start when there is room for all of them.
std::vector<QueueKey> startOrder(ForwardQueue &queue, TimePoint now)
{
    std::vector<QueueKey> order;
    queue.startRound(now);
    while (const auto key = queue.next()) {
        order.push_back(*key);
        queue.started(*key);
    }
    return order;
}

void startAtOnce(ForwardQueue &queue, const QueuedRequest &request, TimePoint now)
{
    const QueueKey key = queue.add(request, now);
    queue.startRound(now);
    CHECK(queue.next() == key);
    CHECK(queue.started(key) == Duration::zero());
}

/// What became of one request of a replayed load.
struct Fate {
    QueuedRequest request;
    TimePoint arrivedAt;
    TimePoint startedAt;
    TimePoint refusedAt;
    RefusalCause cause = RefusalCause::None;

    [[nodiscard]] bool wasServed() const
    {
        return this->startedAt != TimePoint {};
    }
};

/// Replays a load on one host and its servers, in steps of 1 ms. The host reviews its queue every 100 ms, and whenever
/// a request arrives or a run ends.
class Replay
{
public:
    Replay(std::size_t slots, Duration runTime)
        : ends(slots, Start)
        , runTime(runTime)
    {
    }

    /// Adds a request that arrives now.
    void arrive(QueuedRequest request, Duration timeLeft)
    {
        request.deadline = this->now + timeLeft;
        this->fates.push_back({request, this->now, {}, {}, RefusalCause::None});
        const QueueKey key = this->queue.add(std::move(request), this->now);
        this->waiting[key] = this->fates.size() - 1;
        this->review();
    }

    void step()
    {
        this->now += 1ms;
        const bool isTick = (this->now - Start) % config::ForwardTickPeriod == Duration::zero();
        const bool hasEnded = std::find(this->ends.begin(), this->ends.end(), this->now) != this->ends.end();
        if (isTick || (hasEnded && !this->isStopped)) {
            this->review();
        }
    }

    void runFor(Duration time)
    {
        for (const TimePoint end = this->now + time; this->now < end;) {
            this->step();
        }
    }

    [[nodiscard]] std::vector<Fate> ofUrgency(std::size_t urgency) const
    {
        std::vector<Fate> chosen;
        std::copy_if(this->fates.begin(), this->fates.end(), std::back_inserter(chosen), [urgency](const Fate &fate) {
            return fate.request.urgency == urgency;
        });
        return chosen;
    }

    /// The part of the requests that were served.
    static double servedShare(const std::vector<Fate> &chosen)
    {
        const auto served
            = std::count_if(chosen.begin(), chosen.end(), [](const Fate &fate) { return fate.wasServed(); });
        return static_cast<double>(served) / static_cast<double>(chosen.size());
    }

    /// The requests that were neither served within their deadline nor refused while there was time left for a retry.
    [[nodiscard]] std::size_t wasted() const
    {
        return static_cast<std::size_t>(std::count_if(this->fates.begin(), this->fates.end(), [this](const Fate &fate) {
            const TimePoint over = fate.wasServed() ? fate.startedAt + this->runTime : fate.refusedAt;
            return over == TimePoint {} || over > fate.request.deadline;
        }));
    }

    ForwardQueue queue;
    TimePoint now = Start;
    std::vector<Fate> fates;
    std::size_t refusedDespiteRoom = 0;
    bool isStopped = false; ///< Servers neither start nor report anything.

private:
    void review()
    {
        this->queue.startRound(this->now);
        while (const auto key = this->queue.next()) {
            const auto slot = std::min_element(this->ends.begin(), this->ends.end());
            if (this->isStopped) {
                this->queue.noRoom(*key, std::nullopt);
            } else if (*slot > this->now) {
                this->queue.noRoom(*key, *slot - this->now);
            } else {
                *slot = this->now + this->runTime;
                Fate &fate = this->fates.at(this->waiting.at(*key));
                fate.startedAt = this->now;
                this->queue.routeTimes.observe(
                    fate.request.route, fate.request.aim, this->runTime / 2, this->runTime / 2);
                this->queue.started(*key);
            }
        }
        for (const QueueRefusal &refusal : this->queue.finishRound()) {
            Fate &fate = this->fates.at(this->waiting.at(refusal.key));
            fate.refusedAt = this->now;
            fate.cause = refusal.cause;
            const bool hasRoom = *std::min_element(this->ends.begin(), this->ends.end()) <= this->now;
            this->refusedDespiteRoom += hasRoom && !this->isStopped ? 1 : 0;
        }
    }

    std::vector<TimePoint> ends; ///< When each slot is free.
    Duration runTime;
    std::map<QueueKey, std::size_t> waiting; ///< Index of the fate.
};

} // namespace

// Guards against a limit of the queue that refuses requests which could have been served a moment later.
TEST_CASE("forward queue: a short burst is served in full, and nothing of it is refused")
{
    Replay replay(4, 40ms);
    for (int i = 0; i < 40; ++i) {
        replay.arrive(request(1, i % 2 == 0 ? "lehto" : "niitty"), 10s);
        replay.runFor(1ms);
    }
    replay.runFor(2s);
    CHECK(Replay::servedShare(replay.fates) == 1.0);
    CHECK(replay.queue.size() == 0);
}

// Guards against a burst after an overload that is judged by the slow starts of that overload.
TEST_CASE("forward queue: a burst is served in full although the servers were stopped a while before")
{
    Replay replay(4, 40ms);
    replay.isStopped = true;
    replay.arrive(request(1), 10s);
    replay.runFor(5s);
    replay.isStopped = false;
    replay.runFor(5s);
    replay.fates.clear();
    for (int i = 0; i < 40; ++i) {
        replay.arrive(request(1), 2s);
        replay.runFor(1ms);
    }
    replay.runFor(2s);
    CHECK(Replay::servedShare(replay.fates) == 1.0);
}

// Guards against requests that wait into their deadline, and against urgent ones that pay for the overload.
TEST_CASE("forward queue: under sustained overload urgent requests are served and the rest is refused early")
{
    // 100 places/s for 50 urgent, 50 less urgent and 100 least urgent requests/s.
    Replay replay(10, 100ms);
    for (int i = 0; i < 4000; ++i) {
        constexpr std::array<std::size_t, 4> Urgencies {0, 2, 1, 2};
        replay.arrive(request(Urgencies.at(static_cast<std::size_t>(i) % 4)), 2500ms);
        replay.runFor(5ms);
    }
    replay.runFor(5s);
    CHECK(Replay::servedShare(replay.ofUrgency(0)) == 1.0);
    CHECK(Replay::servedShare(replay.ofUrgency(1)) > 0.9);
    CHECK(Replay::servedShare(replay.ofUrgency(2)) < 0.1);
    CHECK(replay.wasted() == 0);
    CHECK(replay.refusedDespiteRoom == 0);
    // Most of those refused have more than half of their time left for another try.
    std::vector<Duration> waits;
    for (const Fate &fate : replay.fates) {
        if (!fate.wasServed()) {
            waits.push_back(fate.refusedAt - fate.arrivedAt);
        }
    }
    std::sort(waits.begin(), waits.end());
    CHECK(waits.at(waits.size() / 2) < 1250ms);
}

// Guards against a queue of one level that stays long, so that each of its requests is served late.
TEST_CASE("forward queue: in a standing queue the last requests are refused until starts are soon enough again")
{
    Replay replay(10, 100ms);
    for (int i = 0; i < 4000; ++i) {
        replay.arrive(request(0), 10s);
        replay.runFor(8ms);
    }
    std::vector<Duration> waits;
    std::size_t standing = 0;
    for (const Fate &fate : replay.fates) {
        standing += fate.cause == RefusalCause::StandingQueue ? 1 : 0;
        if (fate.wasServed() && fate.arrivedAt > Start + 16s) {
            waits.push_back(fate.startedAt - fate.arrivedAt);
        }
    }
    std::sort(waits.begin(), waits.end());
    CHECK(standing > 100);
    CHECK(waits.at(waits.size() / 2) < 600ms);
    CHECK(Replay::servedShare(replay.fates) > 0.75);
    CHECK(replay.refusedDespiteRoom == 0);
}

// Guards against one organisation that takes nearly all places because it sends nearly all requests.
TEST_CASE("forward queue: small organisations get their places although a large one sends ten times as much")
{
    Replay replay(10, 100ms);
    const std::vector<std::string> small {"niitty", "suo", "ranta"};
    for (int i = 0; i < 4000; ++i) {
        // 200 requests/s of the large one and 20 of each small one, for 100 places/s.
        replay.arrive(request(1, "lehto"), 2500ms);
        if (i % 10 < 3) {
            replay.arrive(request(1, small.at(static_cast<std::size_t>(i) % 10)), 2500ms);
        }
        replay.runFor(5ms);
    }
    replay.runFor(5s);
    std::map<std::string, std::vector<Fate>> byOrganisation;
    for (const Fate &fate : replay.fates) {
        byOrganisation[fate.request.organisation].push_back(fate);
    }
    for (const std::string &organisation : small) {
        CAPTURE(organisation);
        CHECK(Replay::servedShare(byOrganisation[organisation]) > 0.95);
    }
    // The large one gets the 40 places/s that the others leave.
    CHECK(Replay::servedShare(byOrganisation["lehto"]) > 0.15);
    CHECK(replay.wasted() == 0);
}

// Guards against requests that wait for servers of which nothing is known until their deadline.
TEST_CASE("forward queue: when the servers stop and nothing is known of room, requests wait as long as before")
{
    Replay replay(10, 100ms);
    replay.isStopped = true;
    for (int i = 0; i < 100; ++i) {
        replay.arrive(request(1), 10s);
        replay.runFor(20ms);
    }
    replay.runFor(1s);
    CHECK(replay.queue.size() == 0);
    for (const Fate &fate : replay.fates) {
        CHECK(fate.cause == RefusalCause::NoPlaceInTime);
        CHECK(fate.refusedAt - fate.arrivedAt >= waitWithoutForecast(600ms));
        CHECK(fate.refusedAt - fate.arrivedAt <= waitWithoutForecast(600ms) + config::ForwardTickPeriod);
    }
}

TEST_CASE("forward queue: a request waits while its forecast leaves time for its answer, and no longer")
{
    ForwardQueue queue;
    const QueueKey key = queue.add(request(1, "lehto", 2s), Start);
    // Its answer takes 600 ms, so that it must start within 1,400 ms.
    CHECK(fruitlessRound(queue, 1400ms, Start).empty());
    CHECK(fruitlessRound(queue, 1000ms, Start + 400ms).empty());
    // The forecast gets worse.
    const auto refusals = fruitlessRound(queue, 1100ms, Start + 500ms);
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].key == key);
    CHECK(refusals[0].cause == RefusalCause::NoPlaceExpected);
    CHECK(refusals[0].roomIn == Duration(1100ms));
    CHECK(queue.size() == 0);
}

TEST_CASE("forward queue: a request that has no chance is refused at once")
{
    ForwardQueue queue;
    queue.add(request(1, "lehto", 2s), Start);
    CHECK(fruitlessRound(queue, 1500ms, Start).size() == 1);
}

// Guards against a forecast of other hosts' places: room is always near, but other hosts are always first.
TEST_CASE("forward queue: a queue that does not move is noticed although room always seems near")
{
    ForwardQueue queue;
    for (int i = 0; i < 10; ++i) {
        queue.add(request(1, "lehto", 3s), Start);
    }
    std::size_t left = 10;
    TimePoint now = Start;
    for (; left == 10 && now < Start + 3s; now += 100ms) {
        left -= fruitlessRound(queue, 10ms, now).size();
    }
    CHECK(now < Start + 2s);
    // The first in order waits on.
    CHECK(left > 5);
}

TEST_CASE("forward queue: a request whose forecast is lost waits for as long as one without any, from then on")
{
    ForwardQueue queue;
    queue.add(request(1), Start);
    CHECK(fruitlessRound(queue, 500ms, Start).empty());
    CHECK(fruitlessRound(queue, 400ms, Start + 1s).empty());
    CHECK(fruitlessRound(queue, std::nullopt, Start + 2s).empty());
    CHECK(fruitlessRound(queue, 400ms, Start + 2050ms).empty());
    CHECK(fruitlessRound(queue, std::nullopt, Start + 3s).empty());
    CHECK(fruitlessRound(queue, std::nullopt, Start + 3s + waitWithoutForecast(600ms)).size() == 1);
}

TEST_CASE("forward queue: order is by urgency, then least recent use, then least time left for a start")
{
    ForwardQueue queue;
    startAtOnce(queue, request(0, "niitty"), Start);
    const QueueKey least = queue.add(request(2, "suo", 1s), Start);
    const QueueKey used = queue.add(request(1, "niitty", 1s), Start);
    const QueueKey late = queue.add(request(1, "lehto", 3s), Start);
    const QueueKey early = queue.add(request(1, "lehto", 2s), Start);
    const QueueKey urgent = queue.add(request(0, "niitty", 9s), Start);
    // Each start counts: after that of the urgent one "niitty" has used 2,000 tokens, "lehto" 1,000 after its first.
    CHECK(startOrder(queue, Start) == std::vector<QueueKey> {urgent, early, late, used, least});
}

TEST_CASE("forward queue: places that come free at once are shared among organisations")
{
    ForwardQueue queue;
    std::map<QueueKey, std::string> owners;
    for (int i = 0; i < 4; ++i) {
        owners[queue.add(request(1, "lehto"), Start)] = "lehto";
    }
    for (int i = 0; i < 2; ++i) {
        owners[queue.add(request(1, "suo"), Start)] = "suo";
    }
    std::string order;
    for (const QueueKey key : startOrder(queue, Start)) {
        order += owners.at(key).front();
    }
    CHECK(order == "lslsll");
}

TEST_CASE("forward queue: recent use is forgotten, and the number of organisations is bounded")
{
    ForwardQueue queue;
    startAtOnce(queue, request(1, "lehto"), Start);
    CHECK(queue.recentUse("lehto", Start) == 1000);
    CHECK(queue.recentUse("lehto", Start + 10 * Duration(config::QueueUseDecay)) < 1);
    for (std::size_t i = 0; i < config::QueueUsesKept; ++i) {
        startAtOnce(queue, request(1, "small" + std::to_string(i)), Start + 1s);
    }
    CHECK(queue.recentUse("lehto", Start + 1s) == 0);
}

TEST_CASE("forward queue: a small request passes a more urgent one that does not fit")
{
    ForwardQueue queue;
    const QueueKey large = queue.add(request(0), Start);
    const QueueKey small = queue.add(request(1), Start);
    queue.startRound(Start);
    CHECK(queue.next() == large);
    queue.noRoom(large, 100ms);
    CHECK(queue.next() == small);
    queue.started(small);
    CHECK(!queue.next());
    CHECK(queue.finishRound().empty());
    CHECK(queue.size() == 1);
}

TEST_CASE("forward queue: a search that failed is not repeated for requests of the same kind in one round")
{
    ForwardQueue queue;
    const QueueKey first = queue.add(request(1), Start);
    queue.add(request(1), Start);
    QueuedRequest smaller = request(1);
    smaller.tokens = 10;
    smaller.deadline += 1s;
    const QueueKey other = queue.add(smaller, Start);
    queue.startRound(Start);
    CHECK(queue.next() == first);
    queue.noRoom(first, 100ms);
    CHECK(queue.next() == other);
    queue.noRoom(other, 50ms);
    CHECK(!queue.next());
    CHECK(queue.finishRound().empty());
    CHECK(queue.size() == 3);
}

// Guards also against a forecast for a new level of urgency that takes the time before its first request for a gap.
TEST_CASE("forward queue: a full queue refuses the last in order, also for a more urgent request that comes later")
{
    ForwardQueue queue;
    std::vector<QueueKey> keys;
    for (std::size_t i = 0; i < config::ForwardQueueBound; ++i) {
        keys.push_back(queue.add(request(1, "lehto", 10s + i * Duration(1ms)), Start));
        CHECK(fruitlessRound(queue, 10ms, Start).empty());
    }
    queue.add(request(0), Start);
    const auto refusals = fruitlessRound(queue, 10ms, Start);
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].key == keys.back());
    CHECK(refusals[0].cause == RefusalCause::QueueFull);
}

TEST_CASE("forward queue: a request that ended within a round is not offered room again")
{
    ForwardQueue queue;
    const QueueKey first = queue.add(request(1), Start);
    const QueueKey second = queue.add(request(2), Start);
    queue.startRound(Start);
    CHECK(queue.next() == first);
    queue.remove(first, Start);
    CHECK(queue.next() == second);
    queue.remove(second, Start);
    queue.remove(second, Start);
    CHECK(!queue.next());
    CHECK(queue.finishRound().empty());
    CHECK(!queue.hasWaiting("engines"));
}

TEST_CASE("forward queue: a request is sent a little before a server is expected to have room")
{
    CHECK(isRoomNear(std::nullopt));
    CHECK(isRoomNear(Duration::zero()));
    CHECK(isRoomNear(config::QueueStartLead));
    CHECK(!isRoomNear(config::QueueStartLead + 1ms));
}

TEST_CASE("forward queue: refused callers return when there may be room, at different times and within their time")
{
    for (const std::uint64_t random : {0ULL, 7ULL, 123'456'789ULL, ~0ULL}) {
        const auto soon = retryAfterRoom(Duration::zero(), 10s, random);
        CHECK(soon >= config::ForwardRetryAfterLeast);
        CHECK(soon <= 2500ms / 4 + config::ForwardRetryAfterLeast);
        const auto later = retryAfterRoom(1s, 10s, random);
        CHECK(later >= 1s);
        CHECK(later <= 1s + 2500ms / 4);
        const auto never = retryAfterRoom(1h, 10s, random);
        CHECK(never <= 2500ms);
        CHECK(never >= 2500ms - 2500ms / 4);
        CHECK(retryAfterRoom(1h, 0ms, random) <= 2 * config::ForwardRetryAfterLeast);
    }
    CHECK(retryAfterRoom(1h, 10s, 1) != retryAfterRoom(1h, 10s, 2));
}

TEST_CASE("forward queue: the usual time of answers starts from the aim and follows what is seen")
{
    RouteTimes times;
    CHECK(times.usual("essay", 600ms) == Duration(600ms));
    for (int i = 0; i < 50; ++i) {
        times.observe("essay", 600ms, 400ms, 160ms);
    }
    CHECK(times.usual("essay", 600ms) > Duration(540ms));
    CHECK(times.usual("essay", 600ms) < Duration(580ms));
    // Three of four answers are quick: the usual time covers about these.
    for (int i = 0; i < 400; ++i) {
        times.observe("essay", 600ms, i % 8 == 0 ? 2000ms : 300ms, 100ms);
    }
    CHECK(times.usual("essay", 600ms) < Duration(700ms));
    CHECK(times.usual("hint", 800ms) == Duration(800ms));
}

// Guards against an estimate that learns only from the answers that were fast enough.
TEST_CASE("forward queue: answers that are cut by the deadline raise the usual time, and never lower it")
{
    RouteTimes times;
    for (int i = 0; i < 20; ++i) {
        times.observe("essay", 600ms, 400ms, 100ms);
    }
    const Duration before = times.usual("essay", 600ms);
    times.observeIncomplete("essay", 600ms, 100ms);
    CHECK(times.usual("essay", 600ms) == before);
    times.observeIncomplete("essay", 600ms, 5s);
    CHECK(times.usual("essay", 600ms) > before);
}
