#pragma once

#include <chrono>
#include <cstdint>

/// Time as the core sees it: always passed in, never read.
namespace endivespan {

/// Monotonic clock that also counts the time the machine was suspended. It has no now(): the shell reads the clock.
struct Clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): named by the standard
};

/// Point on the monotonic clock of this process, in microseconds.
using TimePoint = Clock::time_point;

/// Span of time, in microseconds.
using Duration = Clock::duration;

/// Wall-clock time as stamped by the log service, in milliseconds since the Unix epoch.
using LogTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace endivespan
