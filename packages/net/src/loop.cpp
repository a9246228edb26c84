#include "net_p.h"

#include <endivespan/loop.h>

#include <event2/event.h>
#include <sys/eventfd.h>

#include <cerrno>
#include <cstdint>
#include <ctime>
#include <map>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace endivespan {

class LoopTimer;

// Expired timers in the order in which they run. A poll returns a limited number of ready sockets, so that after a
// pause others may still have unread bytes when timers expire. Each timer therefore waits for a marker, a descriptor
// that is always readable and that is polled from the expiry on. Ready descriptors are returned in turn, so that all
// sockets that were ready before the marker have been served when it is returned. Timers that expire later wait for
// the next marker.
class ExpiredTimers
{
public:
    explicit ExpiredTimers(event_base *base);
    ~ExpiredTimers();
    ExpiredTimers(const ExpiredTimers &) = delete;
    ExpiredTimers &operator=(const ExpiredTimers &) = delete;

    /// Adds a timer, or moves it to the end.
    void add(LoopTimer &timer);
    void remove(LoopTimer &timer);

private:
    static void markerReturned(evutil_socket_t, short, void *context);
    void setMarker();
    void runUntilMarker();

    int descriptor;
    event *marker;
    bool isMarkerSet = false;
    std::map<std::uint64_t, LoopTimer *> timers;
    std::uint64_t lastNumber = 0;
    std::uint64_t markedNumber = 0; ///< The last timer that expired before the marker was set.
};

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
        if (this->turns != nullptr) {
            this->turns->remove(*this);
        }
    }

    LoopTimer(const LoopTimer &) = delete;
    LoopTimer &operator=(const LoopTimer &) = delete;

    void start(const timeval *delay)
    {
        event_add(this->handle, delay);
    }

    /// Makes the callback wait for its turn when the timer has expired.
    void waitForTurn(ExpiredTimers &queue)
    {
        this->turns = &queue;
    }

    void run()
    {
        // The callback may destroy its own timer; the copy keeps it alive until it returns.
        const auto copy = this->callback;
        (*copy)();
    }

private:
    static void fired(evutil_socket_t, short, void *context)
    {
        auto *self = static_cast<LoopTimer *>(context);
        if (self->turns != nullptr) {
            self->turns->add(*self);
        } else {
            self->run();
        }
    }

    friend class ExpiredTimers;

    std::shared_ptr<std::function<void()>> callback;
    event *handle;
    std::uint64_t number = 0; ///< Among expired timers; 0 while this one is none of them.
    ExpiredTimers *turns = nullptr;
};

ExpiredTimers::ExpiredTimers(event_base *base)
    : descriptor(eventfd(1, EFD_CLOEXEC | EFD_NONBLOCK))
    , marker(event_new(base, this->descriptor, EV_READ, &ExpiredTimers::markerReturned, this))
{
    if (this->descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "eventfd");
    }
}

ExpiredTimers::~ExpiredTimers()
{
    event_free(this->marker);
    close(this->descriptor);
}

void ExpiredTimers::add(LoopTimer &timer)
{
    this->remove(timer);
    timer.number = ++this->lastNumber;
    this->timers.emplace(timer.number, &timer);
    if (!this->isMarkerSet) {
        this->setMarker();
    }
}

void ExpiredTimers::remove(LoopTimer &timer)
{
    this->timers.erase(std::exchange(timer.number, 0));
}

// Without a marker timers could not run at all, so that they run at once if it cannot be polled.
void ExpiredTimers::setMarker()
{
    this->markedNumber = this->lastNumber;
    this->isMarkerSet = event_add(this->marker, nullptr) == 0;
    if (!this->isMarkerSet) {
        event_active(this->marker, EV_READ, 0);
        this->isMarkerSet = true;
    }
}

void ExpiredTimers::markerReturned(evutil_socket_t, short, void *context)
{
    static_cast<ExpiredTimers *>(context)->runUntilMarker();
}

void ExpiredTimers::runUntilMarker()
{
    this->isMarkerSet = false;
    const std::uint64_t last = this->markedNumber;
    if (!this->timers.empty() && this->timers.rbegin()->first > last) {
        this->setMarker();
    }
    while (!this->timers.empty() && this->timers.begin()->first <= last) {
        if (event_base_got_break(event_get_base(this->marker)) != 0) {
            this->setMarker();
            return;
        }
        LoopTimer &timer = *this->timers.begin()->second;
        this->remove(timer);
        timer.run();
    }
}

namespace {

void runPosted(evutil_socket_t, short, void *context)
{
    const std::unique_ptr<std::function<void()>> callback(static_cast<std::function<void()> *>(context));
    (*callback)();
}

} // namespace

Loop::Loop()
    : eventBase(event_base_new())
    , expired(std::make_unique<ExpiredTimers>(this->eventBase))
{
}

Loop::~Loop()
{
    this->expired.reset();
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
    if (delay > Duration::zero()) {
        timer->waitForTurn(*this->expired);
    }
    const timeval wait = toTimeval(delay);
    timer->start(&wait);
    return timer;
}

std::unique_ptr<Timer> Loop::every(Duration period, std::function<void()> callback)
{
    auto timer = std::make_unique<LoopTimer>(this->eventBase, -1, EV_PERSIST, std::move(callback));
    timer->waitForTurn(*this->expired);
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
