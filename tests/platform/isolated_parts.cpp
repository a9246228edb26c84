#include "world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const std::vector<std::string> Organisations {"a", "b", "c"};
const std::string SharedPart = "0a"; ///< Of all prompts.
constexpr auto Bound = 2100ms; ///< For changes to take effect, as in ForwardBounds.

/// Two hosts, two runners that keep parts by the text that requests are sent with, and three organisations. A part that
/// one runner has may be fetched by the other, so that both count as one cache.
class IsolationWorld
{
public:
    IsolationWorld()
        : world(2, 2)
    {
        for (const auto &runner : this->world.runners) {
            runner->script = [this](const ReceivedRequest &request) { return this->run(request); };
        }
        this->configure();
        this->world.runFor(Bound);
    }

    /// Writes a configuration with the present organisations.
    void configure()
    {
        this->world.configure([this](json &config) {
            config["tenants"] = json::array();
            for (const std::string &name : this->present) {
                config["tenants"].push_back(
                    {{"name", name}, {"api_keys", {"key-" + name}}, {"isolated", this->isolated.contains(name)}});
            }
        });
    }

    void setIsolated(const std::string &name, bool value)
    {
        if (value) {
            this->isolated.insert(name);
        } else {
            this->isolated.erase(name);
        }
        this->configure();
    }

    /// Sends a prompt of an organisation to a host, without waiting.
    std::size_t prompt(const std::string &organisation, std::size_t host)
    {
        return this->world.askHost(host,
                                   "/again/",
                                   {{"api-key", "key-" + organisation},
                                    {"x-endivespan-model", "m"},
                                    {"x-endivespan-token-count", "700,20"},
                                    {"x-endivespan-prompt-prefix", SharedPart + ":600,0b:100"}});
    }

    /// Sends a prompt of each present organisation to @p hosts. @returns how many were answered with 200.
    std::size_t promptAll(const std::vector<std::size_t> &hosts)
    {
        std::vector<std::size_t> calls;
        for (const std::size_t host : hosts) {
            for (const std::string &name : this->present) {
                calls.push_back(this->prompt(name, host));
                this->world.runFor(10ms);
            }
        }
        this->world.until([&] {
            return std::all_of(calls.begin(), calls.end(), [&](std::size_t call) {
                return this->world.answer(call).whole || this->world.answer(call).failed;
            });
        });
        return static_cast<std::size_t>(std::count_if(
            calls.begin(), calls.end(), [&](std::size_t call) { return this->world.answer(call).status == 200; }));
    }

    World world;
    std::set<std::string> present {Organisations.begin(), Organisations.end()};
    std::set<std::string> isolated; ///< As last configured, also of organisations that have been removed since.
    bool isJudged = true; ///< Whether requests count that use parts of others across an isolation.
    std::vector<std::string> walled; ///< What these requests used.
    std::size_t shared = 0; ///< Requests that used a part of another organisation.

private:
    RunnerStandin::Reply run(const ReceivedRequest &request)
    {
        const std::string user = request.field("x-endivespan-tenant");
        const std::string scope = request.field("x-endivespan-cache-salt");
        // A part stays as it was first made.
        const std::string &maker = this->makers.try_emplace(scope, user).first->second;
        this->shared += maker != user ? 1 : 0;
        if (this->isJudged && maker != user && (this->isolated.contains(user) || this->isolated.contains(maker))) {
            this->walled.push_back(user + " used a part of " + maker + " in " + scope);
        }
        return {answerTo(request, 200, "done")};
    }

    std::map<std::string, std::string> makers; ///< Who made the shared part, by the text that it is kept under.
};

void checkNothingWalled(const IsolationWorld &isolation)
{
    for (const std::string &what : isolation.walled) {
        INFO(what);
        CHECK(false);
    }
}

} // namespace

// Guards against the parts of an organisation from the time before its isolation, which others went on using.
TEST_CASE("parts that an organisation made before it was isolated are not used by others")
{
    IsolationWorld isolation;
    isolation.prompt("a", 0);
    isolation.world.runFor(200ms);
    CHECK(isolation.promptAll({0, 1}) == 6);
    CHECK(isolation.shared > 0);

    isolation.isJudged = false;
    isolation.setIsolated("a", true);
    isolation.world.runFor(Bound);
    isolation.isJudged = true;
    CHECK(isolation.promptAll({0, 1}) == 6);
    checkNothingWalled(isolation);
}

// Guards against a request that is sent again after the change and then uses the parts of before.
TEST_CASE("a request that is sent again after an organisation was isolated uses none of its earlier parts")
{
    IsolationWorld isolation;
    isolation.prompt("a", 0);
    isolation.world.runFor(200ms);
    // The first server that gets the request of another organisation falls silent.
    std::size_t attempts = 0;
    for (const auto &runner : isolation.world.runners) {
        runner->script = [&attempts, before = runner->script](const ReceivedRequest &request) {
            if (++attempts == 1) {
                return RunnerStandin::Reply {"", RunnerStandin::Reply::Then::Hang};
            }
            return before(request);
        };
    }
    const std::size_t call = isolation.prompt("b", 0);
    REQUIRE(isolation.world.until([&] { return attempts == 1; }));
    isolation.setIsolated("a", true);
    isolation.world.until([&] { return isolation.world.answer(call).whole || isolation.world.answer(call).failed; });
    CHECK(isolation.world.answer(call).status == 200);
    CHECK(attempts == 2);
    checkNothingWalled(isolation);
}

// Guards against any order of changes, restarts and hosts without the newest configuration in which parts are used
// across an isolation by a host that has it.
TEST_CASE("no order of changes, restarts and late hosts lets parts be used across an isolation")
{
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        IsolationWorld isolation;
        std::size_t answered = isolation.promptAll({0, 1});
        for (int step = 0; step < 6; ++step) {
            const std::string &name = Organisations[random() % Organisations.size()];
            const bool isLate = random() % 3 == 0;
            if (isLate) {
                isolation.world.hosts[1].store->silent = true;
            }
            isolation.isJudged = false;
            if (random() % 3 == 0) {
                // Removed or added again, as it was.
                if (isolation.present.erase(name) == 0) {
                    isolation.present.insert(name);
                }
                isolation.configure();
            } else if (isolation.present.contains(name)) {
                isolation.setIsolated(name, !isolation.isolated.contains(name));
            }
            // Prompts on both sides of the change, as long as only one host has it.
            isolation.promptAll({0, 1});
            if (random() % 3 == 0) {
                isolation.world.restartHost(0);
            }
            isolation.world.runFor(Bound);
            if (isLate) {
                isolation.promptAll({1});
                isolation.world.hosts[1].store->silent = false;
                isolation.world.runFor(Bound);
            }
            isolation.isJudged = true;
            answered += isolation.promptAll({0, 1});
        }
        CHECK(answered > 0);
        CHECK(isolation.shared > 0);
        checkNothingWalled(isolation);
    }
}
