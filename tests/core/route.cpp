#include <endivespan/route.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <rapidcheck.h>
#include <string>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

const ModelHandle Puhuja {0};
const OrganisationHandle Puuseppa {1};
const VersionHandle V1 {7};
const VersionHandle V2 {8};

std::vector<PieceKey> piecesOf(const std::string &version, std::size_t count)
{
    return pieceChain({"puuseppa", "puhuja", version, ""}, std::string(count * config::PieceBytes, 'x'));
}

LoadReport report(std::uint32_t queuedTokens, std::uint32_t running = 0)
{
    LoadReport load;
    load.incarnation = 1;
    load.running = running;
    load.capacity = 8;
    load.queuedPrefillTokens = queuedTokens;
    load.prefillTokensPerSecond = 20'000;
    load.importBytesPerSecond = 100e6;
    return load;
}

struct Fixture {
    LoadTable loads;
    Directory directory;

    explicit Fixture(std::uint32_t runners)
    {
        for (std::uint32_t i = 0; i < runners; ++i) {
            const std::array versions {V1};
            this->loads.setServer({i}, Puhuja, versions);
            this->loads.setService({i}, true, true);
            this->loads.onReport({i}, report(0));
        }
        this->loads.tick(TimePoint {});
    }

    RouteRequest request(const std::vector<PieceKey> &pieces, std::uint64_t random = 1) const
    {
        RouteRequest request;
        request.organisation = Puuseppa;
        request.model = Puhuja;
        request.version = V1;
        request.pieces = pieces;
        request.promptTokens = static_cast<std::uint32_t>(pieces.size() * config::PieceTokens + 100);
        request.random = random;
        return request;
    }

    void addCopies(StoreHandle store, const std::vector<PieceKey> &pieces, double bytesPerSecond)
    {
        std::vector<StoreListing> listing;
        listing.reserve(pieces.size());
        for (const PieceKey &piece : pieces) {
            listing.push_back({piece, 5, 1'000'000});
        }
        this->directory.applyListing(store, listing);
        this->loads.setStore(store, true);
        this->loads.onLinkReport(store, {0, bytesPerSecond, TimePoint {}});
    }

    RouteDecision route(const RouteRequest &request)
    {
        return makeExpectedRouter()->route(request, {this->loads, this->directory}, TimePoint {});
    }
};

std::vector<std::unique_ptr<Router>> allRouters()
{
    std::vector<std::unique_ptr<Router>> routers;
    routers.push_back(makeExpectedRouter());
    routers.push_back(makeRoundRobinRouter());
    routers.push_back(makeLeastLoadedRouter());
    routers.push_back(makeAffinityRouter());
    routers.push_back(makeRecomputeRouter());
    routers.push_back(makeImportRouter());
    return routers;
}

} // namespace

TEST_CASE("a runner with the prefix in memory is chosen unless its queue costs more time than the prefix saves")
{
    Fixture fixture(4);
    const auto pieces = piecesOf("v1", 5);
    fixture.directory.applyRun({2}, 1, {Puuseppa, V1}, pieces);
    const RouteDecision idle = fixture.route(fixture.request(pieces));
    CHECK(idle.server == ServerHandle {2});
    CHECK(idle.plan.hitPieces == 5);
    CHECK(idle.plan.recomputeTokens == 100);

    fixture.loads.onReport({2}, report(200'000));
    CHECK(fixture.route(fixture.request(pieces)).server != ServerHandle {2});
}

TEST_CASE("pieces are imported where that is faster than recomputing them, with their generations")
{
    Fixture fixture(2);
    const auto pieces = piecesOf("v1", 3);
    fixture.addCopies({0}, pieces, 100e6);
    const RouteDecision fast = fixture.route(fixture.request(pieces));
    CHECK(fast.plan.importPieces == 3);
    CHECK(fast.plan.links[0].store == StoreHandle {0});
    CHECK(fast.sources[2].generation == 5);
    CHECK(fast.plan.importBytes == 3'000'000);

    fixture.loads.onLinkReport({0}, {900'000'000, 100e6, TimePoint {}});
    CHECK(fixture.route(fixture.request(pieces)).plan.importPieces == 0);
}

TEST_CASE("an import ends before pieces whose link is too slow, and the sources include pieces expected in memory")
{
    Fixture fixture(1);
    const auto pieces = piecesOf("v1", 4);
    const std::vector<PieceKey> quick(pieces.begin(), pieces.begin() + 3);
    fixture.addCopies({0}, quick, 100e6);
    fixture.addCopies({1}, {pieces[3]}, 1e6);
    fixture.directory.applyRun({0}, 1, {Puuseppa, V1}, std::span(pieces).first(1));
    const RouteDecision decision = fixture.route(fixture.request(pieces));
    CHECK(decision.plan.hitPieces == 1);
    CHECK(decision.plan.importPieces == 2);
    CHECK(decision.plan.recomputeTokens == config::PieceTokens + 100);
    CHECK(decision.sources[0].generation == 5);
}

TEST_CASE("dispatches of this host that no report contains yet add to the load of a runner")
{
    Fixture fixture(2);
    const auto pieces = piecesOf("v1", 1);
    const DispatchHandle dispatch = fixture.loads.onDispatch({{0}, 100'000, {}}, TimePoint {1s});
    for (std::uint64_t random = 0; random < 20; ++random) {
        CHECK(fixture.route(fixture.request(pieces, random)).server == ServerHandle {1});
    }
    fixture.loads.onEnd(dispatch, true, TimePoint {2s});
    CHECK(fixture.loads.server({0}).unreportedTokens == 0);
    CHECK(fixture.loads.dispatchesInFlight() == 0);
}

TEST_CASE("prompts are spread over equally good runners")
{
    Fixture fixture(4);
    const auto pieces = piecesOf("v1", 1);
    std::array<int, 4> counts {};
    for (std::uint64_t random = 0; random < 400; ++random) {
        ++counts.at(fixture.route(fixture.request(pieces, random)).server.index);
    }
    CHECK(*std::min_element(counts.begin(), counts.end()) > 50);
}

TEST_CASE("measured prefill times correct a rate that a runner overstates")
{
    Fixture fixture(1);
    for (int i = 0; i < 100; ++i) {
        const DispatchHandle dispatch = fixture.loads.onDispatch({{0}, 20'000, {}}, TimePoint {});
        fixture.loads.onFirstToken(dispatch, {2s, 0s, 20'000, 0}, TimePoint {2s});
        fixture.loads.onEnd(dispatch, true, TimePoint {3s});
    }
    const double seconds = std::chrono::duration<double>(fixture.loads.expectedPrefill({0}, 20'000)).count();
    CHECK(seconds == doctest::Approx(2.0).epsilon(0.05));
}

TEST_CASE("no policy chooses a runner that must not run the request")
{
    CHECK(rc::check([] {
        constexpr std::uint32_t Runners = 8;
        Fixture fixture(Runners);
        const auto pieces = piecesOf("v1", *rc::gen::inRange<std::size_t>(0, 6));
        std::vector<ServerHandle> excluded;
        std::array<bool, Runners> eligible {};
        for (std::uint32_t i = 0; i < Runners; ++i) {
            const bool mayTakeWork = *rc::gen::arbitrary<bool>();
            const bool credit = *rc::gen::arbitrary<bool>();
            const bool otherVersion = *rc::gen::arbitrary<bool>();
            const bool tried = *rc::gen::inRange(0, 4) == 0;
            const std::array versions {otherVersion ? V2 : V1};
            fixture.loads.setServer({i}, Puhuja, versions);
            fixture.loads.setService({i}, mayTakeWork, credit);
            if (*rc::gen::arbitrary<bool>()) {
                fixture.directory.applyRun({i}, 1, {Puuseppa, V1}, pieces);
            }
            if (tried) {
                excluded.push_back({i});
            }
            eligible.at(i) = mayTakeWork && credit && !otherVersion && !tried;
        }
        fixture.addCopies({1}, pieces, 100e6);
        RouteRequest request = fixture.request(pieces, *rc::gen::arbitrary<std::uint64_t>());
        request.excluded = excluded;
        const bool any = std::find(eligible.begin(), eligible.end(), true) != eligible.end();
        for (const auto &router : allRouters()) {
            const RouteDecision decision = router->route(request, {fixture.loads, fixture.directory}, TimePoint {});
            const bool wellPlaced = !any || eligible.at(decision.server.index);
            RC_ASSERT(decision.isValid() == any);
            RC_ASSERT(wellPlaced);
            RC_ASSERT(decision.plan.hitPieces + decision.plan.importPieces <= pieces.size());
        }
    }));
}

TEST_CASE("pieces of another weight version are never used")
{
    Fixture fixture(2);
    const auto pieces = piecesOf("v1", 2);
    fixture.directory.applyRun({0}, 1, {Puuseppa, V2}, pieces);
    fixture.addCopies({0}, pieces, 100e6);
    const RouteDecision decision = fixture.route(fixture.request(pieces));
    CHECK(decision.plan.hitPieces == 0);
    CHECK(decision.plan.importPieces == 0);

    const auto newer = piecesOf("v2", 2);
    Fixture other(2);
    other.directory.applyRun({0}, 1, {Puuseppa, V1}, pieces);
    RouteRequest request = other.request(newer);
    CHECK(other.route(request).plan.hitPieces == 0);
}
