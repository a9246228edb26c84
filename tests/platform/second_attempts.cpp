#include "world.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;
using Reply = RunnerStandin::Reply;
using Then = Reply::Then;

namespace {

const HttpHeaders Patient {{"x-endivespan-deadline-ms", "2900"}};
constexpr auto UsualTime = 500ms; ///< More than the delay of 300 ms that follows from the aim of the routes.

/// Hosts and servers whose requests have taken the usual time.
class Pool
{
public:
    explicit Pool(bool loadControl)
        : world(
            3,
            1,
            [](ForwardBounds &bounds) { bounds.retrySlack = 1000; },
            loadControl ? LoadControl::Always : LoadControl::Never)
    {
        this->answerAfter(UsualTime, UsualTime);
        for (int i = 0; i < 20; ++i) {
            (void)this->world.ask("/resume/", Patient, "POST", "usual " + std::to_string(i));
        }
        for (std::size_t call = 0; call < 20; ++call) {
            REQUIRE(this->world.answer(call).whole);
        }
        this->world.runFor(50ms);
        this->clear();
    }

    /// Lets the next request take @p first and all after it @p other.
    void answerAfter(std::chrono::milliseconds first, std::chrono::milliseconds other)
    {
        this->isFirst = true;
        for (const auto &runner : this->world.runners) {
            runner->script = [this, first, other](const ReceivedRequest &request) {
                return Reply {streamHead(request) + eventChunk(1, "a") + "0\r\n\r\n",
                              Then::Keep,
                              std::exchange(this->isFirst, false) ? first : other};
            };
        }
    }

    [[nodiscard]] std::size_t received() const
    {
        std::size_t count = 0;
        for (const auto &runner : this->world.runners) {
            count += runner->received.size();
        }
        return count;
    }

    World world;

private:
    void clear()
    {
        for (const auto &runner : this->world.runners) {
            runner->received.clear();
        }
    }

    bool isFirst = true;
};

} // namespace

// Guards against requests that run at two servers because the usual time is close to the aim of their route.
TEST_CASE("a request under load control that takes the usual time has no second attempt")
{
    for (const bool loadControl : {true, false}) {
        CAPTURE(loadControl);
        Pool pool(loadControl);
        pool.answerAfter(400ms, 400ms);
        CHECK(pool.world.answer(pool.world.ask("/resume/", Patient)).whole);
        CHECK(pool.received() == (loadControl ? 1 : 2));
    }
}

// Guards against requests that get no second attempt at all once the usual time counts.
TEST_CASE("a request under load control whose server stalls is answered by another one after the usual time")
{
    Pool pool(true);
    pool.answerAfter(60s, 0ms);
    const TimePoint begin = pool.world.loop.now();
    const CallerAnswer answer = pool.world.answer(pool.world.ask("/resume/", Patient));
    CHECK(answer.whole);
    CHECK(answer.body == "id: 1\ndata: a\n\n");
    CHECK(pool.received() == 2);
    CHECK(pool.world.loop.now() - begin > 400ms);
}
