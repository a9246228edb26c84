#include <endivespan/cache_scopes.h>
#include <endivespan/config.h>

#include <doctest/doctest.h>

#include <random>
#include <set>
#include <vector>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start {1000s};
const std::vector<std::string> Names {"a", "b", "c", "d"};

CacheScopes scopesUnder(const std::vector<ForwardOrganisation> &organisations)
{
    CacheScopes scopes;
    scopes.setOrganisations(organisations, Start);
    return scopes;
}

ForwardOrganisation organisation(const std::string &name, bool isolated = false)
{
    return {name, std::nullopt, isolated};
}

/// A history of configurations in which organisations are added, removed, isolated and released in any order.
class History
{
public:
    explicit History(std::uint32_t seed)
        : random(seed)
    {
    }

    /// Applies one random change and records the configuration.
    void change()
    {
        const std::string &name = Names[this->random() % Names.size()];
        switch (this->random() % 4) {
        case 0:
            this->present.insert(name);
            break;
        case 1:
            this->present.erase(name);
            break;
        case 2:
            this->isolated.insert(name);
            break;
        default:
            // Only what the configuration holds can be released: a removed organisation stays as it was.
            if (this->present.contains(name)) {
                this->isolated.erase(name);
            }
        }
        std::vector<ForwardOrganisation> configuration;
        for (const std::string &member : this->present) {
            configuration.push_back(organisation(member, this->isolated.contains(member)));
        }
        this->configurations.push_back(std::move(configuration));
    }

    /// @returns a configuration that a host may still have: one of the last three.
    [[nodiscard]] const std::vector<ForwardOrganisation> &anyRecent()
    {
        return this->configurations.rbegin()[this->random() % std::min<std::size_t>(3, this->configurations.size())];
    }

    std::mt19937 random;
    std::vector<std::vector<ForwardOrganisation>> configurations;
    std::set<std::string> present;
    std::set<std::string> isolated; ///< As last configured, also of those that have been removed since.
};

} // namespace

// Guards against parts that an organisation made before it was isolated and that others use afterwards, and against
// the reverse, whatever the order of the changes and however late single hosts learn of them.
TEST_CASE("an organisation shares no parts across its isolation in any order of changes")
{
    std::size_t shared = 0;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        History history(seed);
        std::map<std::string, std::set<std::string>> makers; // By sharers, as parts stay for any time.
        for (int step = 0; step < 40; ++step) {
            history.change();
            // Hosts know nothing but one configuration each, as after a start.
            const CacheScopes newest = scopesUnder(history.configurations.back());
            for (const std::string &user : history.present) {
                for (const std::string &maker : makers[newest.sharers(user)]) {
                    const bool isWalled = history.isolated.contains(user) || history.isolated.contains(maker);
                    CHECK((maker == user || !isWalled));
                    shared += maker != user ? 1 : 0;
                }
            }
            const auto &known = history.anyRecent();
            for (const ForwardOrganisation &maker : known) {
                makers[scopesUnder(known).sharers(maker.name)].insert(maker.name);
            }
        }
    }
    CHECK(shared > 1000);
}

TEST_CASE("organisations that are not isolated and callers without one share parts")
{
    const CacheScopes scopes = scopesUnder({organisation("a"), organisation("b"), organisation("c", true)});
    CHECK(scopes.sharers("a") == scopes.sharers("b"));
    CHECK(scopes.sharers("a") == scopes.sharers(""));
    CHECK(scopes.sharers("c") != scopes.sharers("a"));
    CHECK(scopes.sharers("unknown") != scopes.sharers("a"));
}

TEST_CASE("the order in which a configuration lists its organisations does not change who shares parts")
{
    CHECK(scopesUnder({organisation("a"), organisation("b")}).sharers("a")
          == scopesUnder({organisation("b"), organisation("a")}).sharers("a"));
}

// Guards against names that contain the separators of a scope's text.
TEST_CASE("scopes of different models, versions and organisations have different texts")
{
    std::set<std::string> texts;
    const std::vector<std::string> odd {"m", "m/1", "m/1/only:", "%2F", "m%2F1", "1/only:m", "%", "%25"};
    for (const std::string &model : odd) {
        for (const std::string &name : odd) {
            const std::string sharers = scopesUnder({organisation(name, true)}).sharers(name);
            const CacheScope scope {model, 1, sharers};
            CHECK(texts.insert(scope.text()).second);
            const auto parsed = CacheScope::parse(scope.text());
            REQUIRE(parsed);
            CHECK(parsed->model == model);
            CHECK(parsed->version == 1);
            CHECK(parsed->sharers == sharers);
        }
    }
    CHECK_FALSE(CacheScope::parse("m/1"));
    CHECK_FALSE(CacheScope::parse("m/x/only:a"));
    CHECK_FALSE(CacheScope::parse("m/01/only:a"));
}

// Guards against stores full of parts that nobody uses, and against a part that is freed while it is fetched.
TEST_CASE("parts are freed only once nobody has shared them for a while, and are not transferred soon after a change")
{
    CacheScopes scopes = scopesUnder({organisation("a"), organisation("b")});
    const std::string together = scopes.sharers("a");
    CHECK(scopes.mayTransfer(Start));
    CHECK_FALSE(scopes.mayFree(together, Start + 1h));
    CHECK_FALSE(scopes.mayFree("all:of a configuration that this host does not know", Start + 1h));

    scopes.setOrganisations({organisation("a", true), organisation("b")}, Start + 10s);
    const std::string alone = scopes.sharers("a");
    CHECK_FALSE(scopes.mayTransfer(Start + 10s + config::TransferFreshness));
    CHECK(config::UnusedScopeTime >= config::TransferFreshness + config::FetchEndTime);
    CHECK(scopes.mayTransfer(Start + 20s));
    CHECK_FALSE(scopes.mayFree(together, Start + 10s + config::UnusedScopeTime));
    CHECK(scopes.mayFree(together, Start + 11s + config::UnusedScopeTime));
    CHECK_FALSE(scopes.mayFree(alone, Start + 1h));
    CHECK_FALSE(scopes.mayFree(scopes.sharers("b"), Start + 1h));

    // Another configuration with the same organisations changes nothing.
    scopes.setOrganisations({organisation("b"), organisation("a", true)}, Start + 100s);
    CHECK(scopes.mayTransfer(Start + 100s));

    scopes.setOrganisations({organisation("a"), organisation("b")}, Start + 200s);
    CHECK_FALSE(scopes.mayTransfer(Start + 201s));
    CHECK_FALSE(scopes.mayFree(together, Start + 1h));
    CHECK(scopes.mayFree(alone, Start + 1h));
}
