#pragma once

#include <chrono>
#include <cstdint>

/// Time types of the core, which never reads a clock: callers pass in the current time.
namespace endivespan {

/// Monotonic clock that keeps counting while the machine is suspended (CLOCK_BOOTTIME). It has no now(): the event loop
/// reads the clock and passes the time to the core.
struct Clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): named by the standard
};

/// Point in time on the monotonic clock, of this process, in microseconds.
using TimePoint = Clock::time_point;

/// Length of time, in microseconds.
using Duration = Clock::duration;

/// Wall-clock time as stamped by the log service, in milliseconds since the Unix epoch.
using LogTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace endivespan
