#include "planned_work.h"

#include <doctest/doctest.h>

using namespace endivespan;
using namespace endivespan::tests;

namespace {

/// Hosts on the loop of the test. Only one of them stops at a time, since World does not tell which one has stopped.
class LoopHosts : public SoakHosts
{
public:
    explicit LoopHosts(World &world)
        : world(world)
    {
    }

    std::size_t stopsAtOnce() const override
    {
        return 1;
    }

    void beginStop(std::size_t host) override
    {
        this->world.stopped = false;
        this->world.hosts[host].node->beginStop();
    }

    bool hasStopped(std::size_t) override
    {
        return this->world.stopped;
    }

    void end(std::size_t host) override
    {
        this->world.endHost(host);
    }

    void restart(std::size_t host) override
    {
        this->world.restartHost(host);
    }

    void reload(std::size_t host, double moreSlack) override
    {
        ForwardSettings changed = this->world.hosts[host].settings;
        changed.bounds.retrySlack += moreSlack;
        this->world.hosts[host].node->reload(changed);
    }

    std::string linesOf(const std::string &) override
    {
        return "see the lines above";
    }

private:
    World &world;
};

} // namespace

// Guards against requests that end without an answer, or streams that are cut, around planned work.
TEST_CASE("planned work beside servers that fall silent costs no request its answer")
{
    soakSeeds(6, [](Draws &draws) {
        World world(Soak::Runners, Soak::Hosts, [](ForwardBounds &bounds) { bounds.stopTime = Soak::StopTime; });
        LoopHosts hosts(world);
        Soak(draws, world, hosts).run();
    });
}
