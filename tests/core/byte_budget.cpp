#include <endivespan/byte_budget.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <rapidcheck.h>

using namespace endivespan;

namespace {

using Phase = ByteBudget::Phase;

constexpr std::size_t MiB = 1024 * 1024;
constexpr std::size_t Largest = 4 * MiB; ///< Body of a request.
constexpr ByteBudgetLimits Limits {24 * MiB, 100, 10};

/// Refuses connections as a server does. @returns how many it refused.
std::size_t enforce(ByteBudget &budget)
{
    std::size_t refused = 0;
    while (const auto connection = budget.toRefuse()) {
        budget.record(*connection, Phase::Refused, 0);
        ++refused;
    }
    while (const auto connection = budget.toClose()) {
        budget.remove(*connection);
    }
    return refused;
}

} // namespace

// Guards against memory that grows with the number of callers.
TEST_CASE("a crowd of large bodies that stop short of their end stays within the budget")
{
    ByteBudget budget(Limits);
    std::size_t refused = 0;
    for (ByteBudget::Connection caller = 1; caller <= 60; ++caller) {
        for (std::size_t received = MiB; received <= Largest; received += MiB) {
            budget.record(caller, Phase::Incomplete, received - 1);
            refused += enforce(budget);
            CHECK(budget.held() <= Limits.bytes);
        }
    }
    CHECK(refused == 54);
    CHECK(budget.incomplete() == 6);
}

// Guards against an ordinary request that is refused in place of those that no longer move.
TEST_CASE("the incomplete request with the least recent progress is refused, and no complete one is")
{
    ByteBudget budget(Limits);
    budget.record(1, Phase::Complete, 10 * MiB);
    budget.record(2, Phase::Incomplete, 6 * MiB);
    budget.record(3, Phase::Incomplete, 6 * MiB);
    budget.record(2, Phase::Incomplete, 7 * MiB);
    CHECK_FALSE(budget.toRefuse());
    budget.record(4, Phase::Incomplete, 2 * MiB);
    CHECK(budget.toRefuse() == 3);
    budget.record(3, Phase::Refused, 0);
    CHECK_FALSE(budget.toRefuse());
    budget.record(1, Phase::Complete, 30 * MiB);
    CHECK(enforce(budget) == 2);
    CHECK_FALSE(budget.toRefuse());
    CHECK(budget.held() == 30 * MiB);
}

// Guards against a limit on memory below the size of a legal request that refuses it even from an idle host.
TEST_CASE("a single request is admitted whatever its size, and a second one is not")
{
    ByteBudget budget({MiB, 100, 10});
    budget.record(1, Phase::Incomplete, Largest);
    CHECK_FALSE(budget.toRefuse());
    budget.record(2, Phase::Incomplete, 1);
    CHECK(budget.toRefuse() == 1);
    budget.remove(2);
    CHECK_FALSE(budget.toRefuse());
    budget.record(1, Phase::Complete, Largest);
    budget.record(2, Phase::Incomplete, 1);
    CHECK(budget.toRefuse() == 2);
}

// Guards against descriptors that are used up by callers that send a few bytes each, or that never read the refusal.
TEST_CASE("a crowd of short incomplete requests leaves connections for others")
{
    ByteBudget budget(Limits);
    for (ByteBudget::Connection caller = 1; caller <= 1000; ++caller) {
        budget.record(caller, Phase::Incomplete, 10);
        enforce(budget);
    }
    CHECK(budget.incomplete() == Limits.incomplete);
    CHECK(budget.held() == Limits.incomplete * 10);
    for (ByteBudget::Connection caller = 901; caller <= 910; ++caller) {
        budget.record(caller, Phase::Refused, 0);
    }
    CHECK(budget.toClose() == 891);
    // Bytes behind the refusal do not keep a connection open for longer.
    budget.record(891, Phase::Refused, 100);
    CHECK(budget.toClose() == 891);
    enforce(budget);
    CHECK_FALSE(budget.toClose());
}

// Guards against sums that drift away from what the connections hold.
TEST_CASE("the sums of a budget match its connections after any sequence of reports")
{
    rc::check([] {
        ByteBudget budget(Limits);
        std::map<ByteBudget::Connection, std::pair<Phase, std::size_t>> held;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            const ByteBudget::Connection connection = *rc::gen::inRange<std::uint64_t>(1, 8);
            if (*rc::gen::inRange(0, 4) == 0) {
                budget.remove(connection);
                held.erase(connection);
                continue;
            }
            const auto phase = *rc::gen::element(Phase::Incomplete, Phase::Complete, Phase::Refused);
            const auto bytes = *rc::gen::inRange<std::size_t>(1, 12 * MiB);
            budget.record(connection, phase, bytes);
            held[connection] = {phase, bytes};
        }
        std::size_t sum = 0;
        std::size_t incomplete = 0;
        for (const auto &[connection, state] : held) {
            sum += state.second;
            incomplete += state.first == Phase::Incomplete ? 1 : 0;
        }
        RC_ASSERT(budget.held() == sum);
        RC_ASSERT(budget.incomplete() == incomplete);
        enforce(budget);
        RC_ASSERT(budget.held() <= Limits.bytes || budget.incomplete() <= 1);
    });
}

// Guards against ordinary requests that are refused in place of a crowd that holds the memory.
TEST_CASE("small requests are admitted beside a crowd of large ones that takes all of the memory")
{
    constexpr std::size_t Small = 64 * 1024;
    ByteBudget budget({24 * MiB, 1000, 10, Small, 4 * MiB});
    for (ByteBudget::Connection caller = 1; caller <= 6; ++caller) {
        budget.record(caller, caller % 2 == 0 ? Phase::Complete : Phase::Incomplete, 4 * MiB);
    }
    for (ByteBudget::Connection caller = 100; caller < 160; ++caller) {
        budget.record(caller, Phase::Incomplete, Small);
        // Whatever the order of progress.
        budget.record(1, Phase::Incomplete, 4 * MiB);
        while (const auto refused = budget.toRefuse()) {
            CHECK(*refused < 100);
            budget.record(*refused, Phase::Refused, 0);
        }
    }
    CHECK(budget.incomplete() >= 60);
    CHECK(budget.held() <= 28 * MiB);
}

// Guards against a new caller, whose few bytes are still on their way, that is refused for a crowd of middle-sized
// requests.
TEST_CASE("a request that has sent little is not the one refused beside many that hold more")
{
    ByteBudget budget({24 * MiB, 1000, 10, 64 * 1024, 4 * MiB});
    budget.record(1, Phase::Incomplete, 4096);
    for (ByteBudget::Connection caller = 2; caller <= 900; ++caller) {
        budget.record(caller, Phase::Incomplete, 54 * 1024);
        while (const auto refused = budget.toRefuse()) {
            CHECK(*refused != 1);
            budget.record(*refused, Phase::Refused, 0);
        }
        CHECK(budget.held() <= 28 * MiB);
    }
}

// Guards against sums that drift away from the limits when these change.
TEST_CASE("new limits of a budget hold for what is held already")
{
    ByteBudget budget({24 * MiB, 1000, 10, 0, 0});
    budget.record(1, Phase::Incomplete, MiB);
    budget.record(2, Phase::Incomplete, 100);
    budget.setLimits({MiB / 2, 1000, 10, 1000, MiB});
    CHECK(budget.toRefuse() == 1);
    budget.remove(1);
    budget.record(3, Phase::Complete, MiB);
    CHECK_FALSE(budget.toRefuse());
    budget.setLimits({MiB / 2, 1000, 10, 1000, 50});
    CHECK(budget.toRefuse() == 2);
}
