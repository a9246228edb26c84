#pragma once

#include <endivespan/clock.h>

#include <functional>
#include <memory>

struct event_base;

/// The event loop that all tasks of a process run on.
namespace endivespan {

/// A timer that stops when it is destroyed. It may be destroyed inside its own callback.
class Timer
{
public:
    virtual ~Timer() = default;
};

/// Owns one libevent base. Callbacks run one at a time on the thread inside run().
class Loop
{
public:
    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /// Runs until stop() is called.
    void run();

    /// Makes run() return after the current callback.
    void stop();

    /// Runs @p callback once, after the current callback has returned. This is how tasks send each other messages.
    void post(std::function<void()> callback);

    /// @returns a timer that runs @p callback once after @p delay.
    [[nodiscard]] std::unique_ptr<Timer> after(Duration delay, std::function<void()> callback);

    /// @returns a timer that runs @p callback each @p period.
    [[nodiscard]] std::unique_ptr<Timer> every(Duration period, std::function<void()> callback);

    /// @returns a watcher that runs @p callback for each delivery of the signal.
    [[nodiscard]] std::unique_ptr<Timer> onSignal(int signalNumber, std::function<void()> callback);

    /// @returns the monotonic clock, which counts suspended time.
    [[nodiscard]] TimePoint now() const;

    /// @returns the libevent base, for the other parts of this package.
    [[nodiscard]] event_base *base() const;

private:
    event_base *eventBase;
};

} // namespace endivespan
