#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

/// Times in records that hosts exchange through the log. Hosts share no monotonic clock, so that these are by the wall
/// clock, in milliseconds since the Unix epoch.
namespace endivespan {

inline std::int64_t wallTime()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// @returns the time since @p time, at least zero and at most @p most.
inline std::chrono::milliseconds ageOf(std::int64_t time, std::chrono::milliseconds most)
{
    return std::chrono::milliseconds(std::clamp<std::int64_t>(wallTime() - time, 0, most.count()));
}

} // namespace endivespan
