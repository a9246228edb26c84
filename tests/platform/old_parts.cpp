#include "world.h"

#include <endivespan/cache_scopes.h>
#include <endivespan/ownership.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <sstream>
#include <utility>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds WeightsBound = 10000ms;
constexpr int PartCount = 40;
/// Of the only organisation of the default configuration, and of callers without one.
const std::string OldScope = [] {
    CacheScopes scopes;
    scopes.setOrganisations({{"org", {}, false}}, TimePoint {});
    return CacheScope {"m", 1, scopes.sharers("org")}.text();
}();

std::string partId(int number)
{
    std::ostringstream text;
    text << std::hex << (0xa00 + number);
    return text.str();
}

/// Two hosts, four runners and a store that holds parts of the old weights. New weights are named while two of the
/// runners are away; these come back with the old ones. The other two have loaded the new ones by then.
class OldPartsWorld
{
public:
    OldPartsWorld()
        : world(4, 2, [](ForwardBounds &bounds) { bounds.weights = WeightsBound; })
        , store(this->makeStore())
    {
        for (int i = 0; i < PartCount; ++i) {
            this->held.insert(partId(i));
        }
        this->store->script = [this](const ReceivedRequest &request) { return this->answerAsStore(request); };
        for (std::size_t i = 0; i < this->world.runners.size(); ++i) {
            this->world.runners[i]->script
                = [this, i](const ReceivedRequest &request) { return this->answerAsRunner(request, i); };
        }
        this->world.configure([this](json &config) {
            config["services"].push_back({{"name", "parts"},
                                          {"kv_store_addr", this->store->address()},
                                          {"zone", "z"},
                                          {"kv_capacity_tokens", 1'000'000}});
        });
        this->world.runFor(4s);
    }

    /// Names new weights, and lets two runners come back with the old ones a second later.
    void rollOut(const std::function<void()> &duringAbsence)
    {
        for (std::size_t i : {2, 3}) {
            this->world.store.put("keyed.servers", this->world.runners[i]->id, std::nullopt);
        }
        this->world.store.put("keyed.op", "version/m", R"({"model":"m","version":2})");
        this->isLoaded = true;
        for (std::size_t i : {0, 1}) {
            this->world.list(*this->world.runners[i],
                             {{"models", json::array({json {{"name", "m"}, {"version", 2}}})}});
        }
        this->world.runFor(300ms);
        duringAbsence();
        this->world.runFor(700ms);
        for (std::size_t i : {2, 3}) {
            this->world.list(*this->world.runners[i], {{"born", 2000}});
        }
    }

    /// Lets a host serve prompts that begin with any of the parts.
    void prompt(std::size_t host, std::chrono::milliseconds time)
    {
        const TimePoint end = this->world.loop.now() + time;
        while (this->world.loop.now() < end) {
            const std::string part = partId(static_cast<int>(this->random() % PartCount));
            this->world.askHost(host,
                                "/again/",
                                {{"x-endivespan-model", "m"},
                                 {"x-endivespan-token-count", "700,20"},
                                 {"x-endivespan-prompt-prefix", part + ":600,0b:100"}});
            this->world.runFor(10ms);
        }
    }

    /// @returns how many fetches whose result is used were under way when their part was freed.
    [[nodiscard]] std::ptrdiff_t brokenFetches() const
    {
        return std::count_if(this->fetches.begin(), this->fetches.end(), [this](const Fetch &fetch) {
            const auto found = this->freedAt.find(fetch.part);
            return found != this->freedAt.end() && fetch.at <= found->second && found->second < fetch.until;
        });
    }

    struct Fetch {
        std::string part;
        std::int64_t at = 0; ///< On the runners' clock, in milliseconds.
        std::int64_t until = 0;
    };

    World world;
    std::unique_ptr<RunnerStandin> store;
    std::set<std::string> held;
    std::map<std::string, std::int64_t> freedAt; ///< Times on the runners' clock.
    std::vector<Fetch> fetches;

private:
    /// @returns a store at an address such that the first host frees its parts.
    std::unique_ptr<RunnerStandin> makeStore()
    {
        std::vector<std::unique_ptr<RunnerStandin>> others;
        const std::set<std::string> hosts {this->world.hosts[0].name, this->world.hosts[1].name};
        auto made = std::make_unique<RunnerStandin>(this->world.loop, "store");
        while (proposedOwner(hosts, "store/" + made->address()) != this->world.hosts[0].name) {
            others.push_back(std::exchange(made, std::make_unique<RunnerStandin>(this->world.loop, "store")));
        }
        return made;
    }

    [[nodiscard]] std::int64_t clock() const
    {
        return this->world.loop.now().time_since_epoch() / 1ms;
    }

    RunnerStandin::Reply answerAsRunner(const ReceivedRequest &request, std::size_t number)
    {
        if (!request.head.starts_with("POST /again/")) {
            return {answerTo(request, 503, "")};
        }
        if (this->isLoaded && number < 2) {
            // Full, so that prompts go to the runners with the old weights.
            return {answerTo(request, 503, "", "X-Endivespan-Not-Executed: 1\r\n")};
        }
        const std::string fetch = request.field("x-endivespan-kv-fetch");
        if (fetch.starts_with(this->store->address()) && request.field("x-endivespan-cache-salt") == OldScope) {
            const std::string prefix = request.field("x-endivespan-prompt-prefix");
            const std::string until = request.field("x-endivespan-kv-until");
            this->fetches.push_back(
                {prefix.substr(0, prefix.find(':')), this->clock(), std::strtoll(until.c_str(), nullptr, 10)});
        }
        return {answerTo(request, 200, "done")};
    }

    RunnerStandin::Reply answerAsStore(const ReceivedRequest &request)
    {
        json fields {{"epoch", 1}, {"next", PartCount}, {"clock_ms", this->clock()}};
        if (request.head.starts_with("POST /v1/kv-free")) {
            const json call = json::parse(request.body);
            for (const json &part : call.at("parts")) {
                this->held.erase(part.at(1).get<std::string>());
                this->freedAt.try_emplace(part.at(1).get<std::string>(), this->clock());
            }
        } else if (request.head.starts_with("GET /v1/kv-list")) {
            fields["held"] = json::array();
            for (const std::string &part : this->held) {
                fields["held"].push_back({OldScope, part, 600, "m"});
            }
        } else {
            // The store no longer has the events of these parts, so that a host lists it.
            const bool isFirst = request.head.find("since=0 ") != std::string::npos;
            fields["lost"] = isFirst;
            fields["events"] = json::array();
        }
        return {answerTo(request, 200, fields.dump()), RunnerStandin::Reply::Then::Keep, 50ms};
    }

    std::mt19937 random {7};
    bool isLoaded = false; ///< The first two runners have the new weights.
};

} // namespace

// A restarted host sees fewer engines that have left the old weights behind than its peer has seen.
TEST_CASE("a host that starts during a rollout lets no engine fetch a part that another host frees meanwhile")
{
    OldPartsWorld rollout;
    rollout.prompt(1, 300ms);
    REQUIRE_FALSE(rollout.fetches.empty());
    rollout.rollOut([&] { rollout.world.restartHost(1); });
    rollout.prompt(1, 8s);
    CHECK(rollout.world.until([&] { return rollout.freedAt.size() == PartCount; }));
    CHECK(rollout.brokenFetches() == 0);
}

// Refusing to use old parts at all would be safe, too, but engines would read the prompts again.
TEST_CASE("a host that starts during a rollout lets engines with old weights fetch the parts that others still use")
{
    OldPartsWorld rollout;
    rollout.rollOut([&] { rollout.world.restartHost(1); });
    rollout.fetches.clear();
    rollout.prompt(1, 2s);
    CHECK_FALSE(rollout.fetches.empty());
    CHECK(rollout.brokenFetches() == 0);
}
