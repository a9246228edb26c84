#pragma once

#include <endivespan/clock.h>

#include <functional>
#include <memory>

struct event_base;

/// Event loop on which all tasks of a process run.
namespace endivespan {

/// A timer that is cancelled when it is destroyed. It may be destroyed from inside its own callback.
class Timer
{
public:
    virtual ~Timer() = default;
};

class ExpiredTimers;

/// Owns one libevent base. Callbacks run one at a time on the thread that called run().
class Loop
{
public:
    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /// Processes events until stop() is called.
    void run();

    /// Makes run() return after the current callback.
    void stop();

    /// Schedules @p callback to run once, after the current callback has returned. Tasks use this to send messages to
    /// each other.
    void post(std::function<void()> callback);

    /// @returns a timer that runs @p callback once after @p delay. When a positive delay has expired, the callbacks of
    ///     all sockets run first that were ready by then.
    [[nodiscard]] std::unique_ptr<Timer> after(Duration delay, std::function<void()> callback);

    /// @returns a timer that runs @p callback every @p period, after the sockets that were ready by then.
    [[nodiscard]] std::unique_ptr<Timer> every(Duration period, std::function<void()> callback);

    /// @returns a handler that runs @p callback on each delivery of the signal until it is destroyed.
    [[nodiscard]] std::unique_ptr<Timer> onSignal(int signalNumber, std::function<void()> callback);

    /// @returns the time of the monotonic clock, which includes time during which the system was suspended.
    [[nodiscard]] TimePoint now() const;

    /// @returns the libevent base, for use inside this package.
    [[nodiscard]] event_base *base() const;

private:
    event_base *eventBase;
    std::unique_ptr<ExpiredTimers> expired;
};

} // namespace endivespan
