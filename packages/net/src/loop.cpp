#include "net_p.h"

#include <endivespan/loop.h>

#include <event2/event.h>

#include <ctime>
#include <utility>

namespace endivespan {

namespace {

class LoopTimer : public Timer
{
public:
    LoopTimer(event_base *base, int source, short what, std::function<void()> callback)
        : callback(std::make_shared<std::function<void()>>(std::move(callback)))
        , handle(event_new(base, source, what, &LoopTimer::fired, this))
    {
    }

    ~LoopTimer() override
    {
        event_free(this->handle);
    }

    LoopTimer(const LoopTimer &) = delete;
    LoopTimer &operator=(const LoopTimer &) = delete;

    void start(const timeval *delay)
    {
        event_add(this->handle, delay);
    }

private:
    // The callback may destroy its own timer; the copy keeps it alive until it returns.
    static void fired(evutil_socket_t, short, void *context)
    {
        const auto copy = static_cast<LoopTimer *>(context)->callback;
        (*copy)();
    }

    std::shared_ptr<std::function<void()>> callback;
    event *handle;
};

void runPosted(evutil_socket_t, short, void *context)
{
    const std::unique_ptr<std::function<void()>> callback(static_cast<std::function<void()> *>(context));
    (*callback)();
}

} // namespace

Loop::Loop()
    : eventBase(event_base_new())
{
}

Loop::~Loop()
{
    event_base_free(this->eventBase);
}

void Loop::run()
{
    event_base_loop(this->eventBase, EVLOOP_NO_EXIT_ON_EMPTY);
}

void Loop::stop()
{
    event_base_loopbreak(this->eventBase);
}

void Loop::post(std::function<void()> callback)
{
    auto owned = std::make_unique<std::function<void()>>(std::move(callback));
    const timeval now {0, 0};
    event_base_once(this->eventBase, -1, EV_TIMEOUT, &runPosted, owned.release(), &now);
}

std::unique_ptr<Timer> Loop::after(Duration delay, std::function<void()> callback)
{
    auto timer = std::make_unique<LoopTimer>(this->eventBase, -1, 0, std::move(callback));
    const timeval wait = toTimeval(delay);
    timer->start(&wait);
    return timer;
}

std::unique_ptr<Timer> Loop::every(Duration period, std::function<void()> callback)
{
    auto timer = std::make_unique<LoopTimer>(this->eventBase, -1, EV_PERSIST, std::move(callback));
    const timeval wait = toTimeval(period);
    timer->start(&wait);
    return timer;
}

std::unique_ptr<Timer> Loop::onSignal(int signalNumber, std::function<void()> callback)
{
    auto timer
        = std::make_unique<LoopTimer>(this->eventBase, signalNumber, EV_SIGNAL | EV_PERSIST, std::move(callback));
    timer->start(nullptr);
    return timer;
}

TimePoint Loop::now() const
{
    timespec time;
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                          + std::chrono::nanoseconds(time.tv_nsec)));
}

event_base *Loop::base() const
{
    return this->eventBase;
}

} // namespace endivespan
