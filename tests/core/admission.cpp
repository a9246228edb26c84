#include <endivespan/admission.h>
#include <endivespan/invariant.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

const OrganisationHandle Large {0};
const OrganisationHandle Light {1};

AdmissionRequest request(std::uint64_t id, OrganisationHandle organisation, Duration deadline = 60s)
{
    return {id, organisation, 4000, 10, TimePoint {deadline}, id * 0x9E3779B97F4A7C15ULL};
}

AdmissionCapacity capacityFor(double runs)
{
    return {runs, 1e9, 0, 0};
}

Admission admissionFor(double runs, AdmissionActions &actions)
{
    Admission admission;
    admission.setOrganisation(Large, 1, 1000);
    admission.setOrganisation(Light, 1, 1000);
    admission.setCapacity(capacityFor(runs), TimePoint {}, actions);
    return admission;
}

} // namespace

TEST_CASE("requests start while there is capacity, then wait within the bound")
{
    AdmissionActions actions;
    Admission admission = admissionFor(2, actions);
    for (std::uint64_t id = 0; id < 20; ++id) {
        admission.offer(request(id, Large), TimePoint {}, actions);
    }
    CHECK(actions.start.size() == 2);
    CHECK(admission.stats().queued == 8);
    CHECK(actions.refuse.size() == 10);
    admission.finished(0, TimePoint {1s}, actions);
    CHECK(actions.start.size() == 3);
}

TEST_CASE("a request of a light organisation overtakes the queue of one that floods the host")
{
    AdmissionActions actions;
    Admission admission = admissionFor(2, actions);
    for (std::uint64_t id = 0; id < 100; ++id) {
        admission.offer(request(id, Large), TimePoint {}, actions);
    }
    actions = {};
    admission.offer(request(500, Light), TimePoint {}, actions);
    REQUIRE(actions.refuse.size() == 1);
    CHECK(actions.refuse[0].id < 100);
    admission.finished(0, TimePoint {1s}, actions);
    REQUIRE(actions.start.size() == 1);
    CHECK(actions.start[0].id == 500);
}

TEST_CASE("a light organisation starts from the reserve when others have filled the capacity, with top priority")
{
    AdmissionActions actions;
    Admission admission = admissionFor(2, actions);
    admission.setCapacity({2, 1e9, 0, 20'000}, TimePoint {}, actions);
    for (std::uint64_t id = 0; id < 8; ++id) {
        admission.offer(request(id, Large), TimePoint {}, actions);
    }
    CHECK(actions.start.size() == 2);
    actions = {};
    admission.finished(0, TimePoint {1s}, actions);
    admission.finished(1, TimePoint {1s}, actions);
    REQUIRE(actions.start.size() == 2);
    CHECK(actions.start[1].priority > 0);
    actions = {};
    admission.offer(request(100, Light), TimePoint {1s}, actions);
    REQUIRE(actions.start.size() == 1);
    CHECK(actions.start[0].id == 100);
    CHECK(actions.start[0].priority == 0);
}

TEST_CASE("a request that would wait longer than the queue time is rejected at once")
{
    AdmissionActions actions;
    Admission admission = admissionFor(10, actions);
    admission.setCapacity({10, 1, 0, 4000}, TimePoint {}, actions);
    for (std::uint64_t id = 0; id < 10; ++id) {
        admission.offer(request(id, Large), TimePoint {}, actions);
    }
    CHECK(admission.stats().queued == 2);
    CHECK(actions.refuse.size() == 7);
}

TEST_CASE("organisations are served in proportion to their weights")
{
    AdmissionActions actions;
    Admission admission = admissionFor(1, actions);
    admission.setOrganisation(Large, 3, 1000);
    std::uint64_t id = 0;
    std::map<std::uint64_t, OrganisationHandle> owner;
    std::map<OrganisationHandle, int> served;
    for (int round = 0; round < 400; ++round) {
        for (const OrganisationHandle organisation : {Large, Light}) {
            owner[id] = organisation;
            admission.offer(request(id++, organisation, 1h), TimePoint {}, actions);
        }
        const auto started = actions.start;
        actions = {};
        for (const AdmissionStart &start : started) {
            ++served[owner[start.id]];
            admission.finished(start.id, TimePoint {}, actions);
        }
    }
    CHECK(served[Large] > 2.5 * served[Light]);
    CHECK(served[Large] < 3.5 * served[Light]);
}

TEST_CASE("a drop in capacity rejects queued requests at once, with jittered retry times")
{
    AdmissionActions actions;
    Admission admission = admissionFor(20, actions);
    for (std::uint64_t id = 0; id < 100; ++id) {
        admission.offer(request(id, Large), TimePoint {}, actions);
    }
    CHECK(admission.stats().queued == 80);
    actions = {};
    admission.setCapacity(capacityFor(5), TimePoint {}, actions);
    CHECK(admission.stats().queued == 20);
    CHECK(actions.refuse.size() == 60);
    std::set<Duration> waits;
    for (const AdmissionRefusal &refusal : actions.refuse) {
        CHECK(refusal.kind == ErrorKind::Overloaded);
        CHECK(refusal.retryAfter >= config::RetryAfterMin);
        CHECK(refusal.retryAfter <= 2 * config::RetryAfterMax);
        waits.insert(refusal.retryAfter);
    }
    CHECK(waits.size() > 50);
}

TEST_CASE("the limit of an organisation covers its waiting and running requests together")
{
    AdmissionActions actions;
    Admission admission = admissionFor(2, actions);
    admission.setOrganisation(Large, 1, 3);
    for (std::uint64_t id = 0; id < 5; ++id) {
        admission.offer(request(id, Large), TimePoint {}, actions);
    }
    REQUIRE(actions.refuse.size() == 2);
    CHECK(actions.refuse[0].kind == ErrorKind::OrganisationOverLimit);
}

TEST_CASE("a request whose deadline passes while it waits is rejected at the next tick")
{
    AdmissionActions actions;
    Admission admission = admissionFor(1, actions);
    admission.offer(request(1, Large), TimePoint {}, actions);
    admission.offer(request(2, Large, 2s), TimePoint {}, actions);
    actions = {};
    admission.tick(TimePoint {3s}, actions);
    REQUIRE(actions.refuse.size() == 1);
    CHECK(actions.refuse[0].id == 2);
    CHECK(actions.refuse[0].kind == ErrorKind::DeadlineExceeded);
}

TEST_CASE("prefill in progress delays further starts until its first token")
{
    AdmissionActions actions;
    Admission admission = admissionFor(10, actions);
    admission.setCapacity({10, 6000, 0, 0}, TimePoint {}, actions);
    for (std::uint64_t id = 0; id < 4; ++id) {
        admission.offer(request(id, Large), TimePoint {}, actions);
    }
    CHECK(actions.start.size() == 2);
    admission.correctPrefill(0, 100);
    admission.firstToken(1, TimePoint {}, actions);
    CHECK(actions.start.size() == 4);
}

TEST_CASE("every request gets exactly one outcome for random sequences of calls")
{
    const std::uint64_t violations = invariantCount(Invariant::QueueWithinBound).violated;
    CHECK(rc::check([] {
        AdmissionLimits limits;
        limits.queueBound = 16;
        limits.organisations = 5;
        limits.fairShare = *rc::gen::arbitrary<bool>();
        Admission admission(limits);
        std::set<std::uint64_t> waiting;
        std::vector<std::uint64_t> running;
        std::uint64_t nextId = 0;
        Duration now {};
        const int steps = *rc::gen::inRange(1, 200);
        for (int i = 0; i < steps; ++i) {
            AdmissionActions actions;
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 500));
            const int what = *rc::gen::inRange(0, 10);
            if (what < 5) {
                const auto organisation = *rc::gen::inRange<std::uint32_t>(0, 5);
                waiting.insert(nextId);
                admission.offer(request(nextId++, {organisation}, now + 3s), TimePoint {now}, actions);
            } else if (what < 7 && !running.empty()) {
                admission.finished(running.back(), TimePoint {now}, actions);
                running.pop_back();
            } else if (what < 8) {
                admission.setCapacity(capacityFor(*rc::gen::inRange(0, 8)), TimePoint {now}, actions);
            } else if (what < 9 && !waiting.empty()) {
                admission.abandon(*waiting.begin());
                waiting.erase(waiting.begin());
            } else {
                admission.tick(TimePoint {now}, actions);
            }
            for (const AdmissionStart &start : actions.start) {
                RC_ASSERT(waiting.erase(start.id) == 1);
                running.push_back(start.id);
            }
            for (const AdmissionRefusal &refusal : actions.refuse) {
                RC_ASSERT(waiting.erase(refusal.id) == 1);
            }
            RC_ASSERT(admission.stats().queued == waiting.size());
            RC_ASSERT(admission.stats().inFlight == running.size());
        }
    }));
    CHECK(invariantCount(Invariant::QueueWithinBound).violated == violations);
}

TEST_CASE("retries are limited to a share of the successful requests")
{
    RetryBudget budget;
    int taken = 0;
    while (budget.tryTake()) {
        ++taken;
    }
    CHECK(taken <= config::RetryBudgetMax);
    for (int i = 0; i < 101; ++i) {
        budget.onSuccess();
    }
    taken = 0;
    while (budget.tryTake()) {
        ++taken;
    }
    CHECK(taken == 10);
}
