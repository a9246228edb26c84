#include <endivespan/config.h>
#include <endivespan/invariant.h>
#include <endivespan/lease.h>
#include <endivespan/ownership.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> Resources {"server/a", "server/b", "suspects"};

struct Host {
    LeaseOwner owner;
    LeaseFold fold;
    LeaseHolder holder;
    std::size_t read = 0;

    Host(const std::string &name, TimePoint now)
        : owner {name, 1}
        , fold(now)
        , holder(this->owner, now)
    {
    }
};

struct InFlight {
    std::size_t host;
    LeaseRecord body;
};

/// Model of several hosts and one log stream. Appends can be lost, applied late, or applied with their answer lost.
struct LeaseModel {
    TimePoint now {1h};
    std::vector<std::pair<LogRecord, LeaseRecord>> log;
    std::vector<Host> hosts;
    std::vector<InFlight> inFlight;

    explicit LeaseModel(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->hosts.emplace_back("host-" + std::to_string(i), this->now);
        }
    }

    void appendToLog(const LeaseRecord &body)
    {
        const auto at = std::chrono::floor<std::chrono::milliseconds>(this->now.time_since_epoch());
        this->log.push_back({{this->log.size(), LogTime(at), ""}, body});
    }

    void write(std::size_t index)
    {
        Host &host = this->hosts[index];
        if (const auto record = host.holder.next(host.fold, this->now)) {
            this->inFlight.push_back({index, *record});
        }
    }

    /// Ends one append in flight.
    /// @param how 0: applied; 1: applied, answer lost; 2: certainly not applied; 3: answer lost, may be applied later.
    void endAppend(std::size_t pick, std::size_t how)
    {
        if (this->inFlight.empty()) {
            return;
        }
        const auto place = this->inFlight.begin() + static_cast<std::ptrdiff_t>(pick % this->inFlight.size());
        const InFlight item = *place;
        this->hosts[item.host].holder.appended(how != 2, this->now);
        if (how != 3) {
            this->inFlight.erase(place);
        }
        if (how < 2) {
            this->appendToLog(item.body);
        }
    }

    void read(std::size_t index)
    {
        Host &host = this->hosts[index];
        for (; host.read < this->log.size(); ++host.read) {
            const auto &[record, body] = this->log[host.read];
            host.fold.apply(record, body, this->now);
            host.holder.onFolded(host.fold, record, body);
        }
    }

    void deliverAll()
    {
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            this->read(i);
            this->write(i);
        }
        while (!this->inFlight.empty()) {
            this->endAppend(0, 0);
        }
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            this->read(i);
        }
    }

    void runFor(Duration span)
    {
        for (const TimePoint end = this->now + span; this->now < end; this->now += 500ms) {
            this->deliverAll();
        }
    }

    [[nodiscard]] std::size_t holders(const std::string &resource) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->hosts.begin(), this->hosts.end(), [this, &resource](const Host &host) {
                return host.holder.fence(resource, this->now).has_value();
            }));
    }

    void step(int what, std::size_t pick)
    {
        const std::size_t index = pick % this->hosts.size();
        switch (what) {
        case 0:
            return this->write(index);
        case 1:
            return this->endAppend(pick, 0);
        case 2:
            return this->endAppend(pick, pick / 10 % 4);
        case 3:
            return this->read(index);
        case 4: {
            std::set<std::string> wanted;
            for (std::size_t i = 0; i < Resources.size(); ++i) {
                if ((pick >> (4 + i)) % 2 == 0) {
                    wanted.insert(Resources[i]);
                }
            }
            return this->hosts[index].holder.setWanted(wanted);
        }
        default:
            this->now += std::chrono::milliseconds(pick % 16 == 0 ? pick % 12'000 : pick % 1'200);
        }
    }
};

} // namespace

TEST_CASE("no two hosts hold the same lease at a time, with lost or late appends and paused hosts")
{
    std::size_t held = 0;
    std::size_t takeovers = 0;
    CHECK(rc::check([&held, &takeovers] {
        const auto steps = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
            500, rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange<std::size_t>(0, 100'000)));
        LeaseModel model(3);
        for (Host &host : model.hosts) {
            host.holder.setWanted({Resources.begin(), Resources.end()});
        }
        model.now += 10s;
        std::set<std::uint64_t> fences;
        for (const auto &[what, pick] : steps) {
            model.step(what, pick);
            for (const std::string &resource : Resources) {
                RC_ASSERT(model.holders(resource) <= 1U);
                held += model.holders(resource);
            }
            for (const Host &host : model.hosts) {
                for (const auto &[resource, fence] : host.holder.held(model.now)) {
                    fences.insert(fence);
                }
            }
        }
        takeovers += fences.size();
    }));
    CHECK(held > 1000);
    CHECK(takeovers > 100);
}

TEST_CASE("a lease is held while it is renewed and can be acquired by another host after that")
{
    LeaseModel model(2);
    model.hosts[0].holder.setWanted({Resources[0]});
    model.runFor(15s);
    const auto fence = model.hosts[0].holder.fence(Resources[0], model.now);
    REQUIRE(fence);
    model.runFor(60s);
    CHECK(model.hosts[0].holder.fence(Resources[0], model.now) == fence);

    SUBCASE("a holder that is paused longer than its lease may not use it when it resumes")
    {
        const auto before = invariantCount(Invariant::LeaseHeldWhenUsed).violated;
        CHECK(model.hosts[0].holder.checkUse(Resources[0], *fence, model.now));
        model.now += config::LeaseTtl;
        CHECK_FALSE(model.hosts[0].holder.checkUse(Resources[0], *fence, model.now));
        CHECK(invariantCount(Invariant::LeaseHeldWhenUsed).violated == before + 1);
    }
    SUBCASE("a released lease is acquired by another host within 4 s, with a greater fence")
    {
        model.hosts[0].holder.setWanted({});
        model.hosts[1].holder.setWanted({Resources[0]});
        model.runFor(4s);
        CHECK_FALSE(model.hosts[0].holder.fence(Resources[0], model.now));
        CHECK(model.hosts[1].holder.fence(Resources[0], model.now) > fence);
    }
    SUBCASE("a server that does not check fences is given orders only after the longest order deadline")
    {
        const auto checked = model.hosts[0].holder.ordersAllowedFrom(Resources[0], true);
        REQUIRE(checked);
        CHECK(model.hosts[0].holder.ordersAllowedFrom(Resources[0], false) == *checked + config::LongestOrderDeadline);
        CHECK_FALSE(model.hosts[1].holder.ordersAllowedFrom(Resources[0], true));
    }
    SUBCASE("a reader that starts late finds the lease in a renewal that lists it")
    {
        Host late("late", model.now);
        late.read = model.log.size();
        CHECK_FALSE(late.fold.isFree(Resources[0], model.now));
        model.hosts.push_back(std::move(late));
        model.runFor(config::LeaseRenewPeriod * (config::LeaseRenewalsPerListing + 1));
        REQUIRE(model.hosts.back().fold.find(Resources[0]) != nullptr);
        CHECK(model.hosts.back().fold.find(Resources[0])->fence == *fence);
    }
}

TEST_CASE("a renewal that reaches the log after the lease has expired does not extend it")
{
    LeaseModel model(1);
    Host &host = model.hosts[0];
    host.holder.setWanted({Resources[0]});
    model.runFor(12s);
    REQUIRE(host.holder.fence(Resources[0], model.now));
    while (model.inFlight.empty()) {
        model.now += 100ms;
        model.write(0);
    }
    const Lease before = *host.fold.find(Resources[0]);
    model.now += config::LeaseTtl - 1s;
    model.endAppend(0, 0);
    model.read(0);
    CHECK(host.fold.find(Resources[0])->expiresAt == before.expiresAt);
    CHECK_FALSE(host.holder.fence(Resources[0], model.now));
}

TEST_CASE("a fence lower than an earlier one is reported as a violated invariant")
{
    const auto before = invariantCount(Invariant::FenceNeverFalls).violated;
    LeaseFold fold(TimePoint {1h});
    const LeaseRecord body {LeaseAction::Acquire, {"a", 1}, 1, config::LeaseTtl, {{"server/a", 0}}};
    fold.apply({7, LogTime(0ms), ""}, body, TimePoint {1h});
    fold.apply({3, LogTime(60s), ""}, body, TimePoint {1h});
    CHECK(invariantCount(Invariant::FenceNeverFalls).violated == before + 1);
    CHECK(fold.find("server/a")->fence == 8);
}

TEST_CASE("each resource has one proposed owner, and only those of a removed host change owner")
{
    std::set<std::string> live;
    for (int i = 0; i < 18; ++i) {
        live.insert("host-" + std::to_string(i));
    }
    std::set<std::string> resources;
    for (int i = 0; i < 200; ++i) {
        resources.insert(serverResource("server-" + std::to_string(i)));
    }
    std::map<std::string, std::string> owners;
    for (const std::string &host : live) {
        for (const std::string &resource : proposedResources(host, live, resources)) {
            CHECK(owners.emplace(resource, host).second);
        }
    }
    CHECK(owners.size() == resources.size());
    auto rest = live;
    rest.erase("host-3");
    for (const std::string &resource : resources) {
        const std::string after = proposedOwner(owningHosts(rest), resource);
        CHECK((after == owners[resource] || owners[resource] == "host-3"));
    }
    for (int i = 18; i < 400; ++i) {
        live.insert("host-" + std::to_string(i));
    }
    CHECK(owningHosts(live).size() == config::MaxOwningHosts);
}
