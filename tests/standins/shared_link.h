#pragma once

#include <endivespan/clock.h>

#include <algorithm>
#include <cstdint>

namespace endivespan::standins {

/// A link of limited rate; transfers go one after the other.
class SharedLink
{
public:
    std::uint64_t bytesPerSecond = 1'000'000'000;

    /// Books a transfer of @p bytes.
    /// @returns how long from @p now until it is over.
    Duration book(TimePoint now, std::uint64_t bytes)
    {
        const double seconds
            = static_cast<double>(bytes) / static_cast<double>(std::max<std::uint64_t>(bytesPerSecond, 1));
        const auto taken = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        this->freeAt = std::max(this->freeAt, now) + taken;
        this->carried += bytes;
        return this->freeAt - now;
    }

    /// @returns the bytes booked and not yet carried.
    [[nodiscard]] std::uint64_t queuedBytes(TimePoint now) const
    {
        const double seconds = std::chrono::duration<double>(std::max(this->freeAt, now) - now).count();
        return static_cast<std::uint64_t>(seconds * static_cast<double>(this->bytesPerSecond));
    }

    /// @returns all bytes ever booked.
    [[nodiscard]] std::uint64_t totalBytes() const
    {
        return this->carried;
    }

private:
    TimePoint freeAt {};
    std::uint64_t carried = 0;
};

} // namespace endivespan::standins
