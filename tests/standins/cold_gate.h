#pragma once

#include <algorithm>
#include <cstdint>

namespace endivespan::standins {

/// How many requests a backend server bears: few after a cold start, then twice as many after each completed wave.
class ColdGate
{
public:
    std::uint64_t coldConcurrency = 1;
    std::uint64_t warmConcurrency = 8;

    /// Makes the server cold.
    void chill()
    {
        this->bound = this->coldConcurrency;
        this->completedInWave = 0;
        this->warm = false;
    }

    /// Makes the server warm at once.
    void heat()
    {
        this->warm = true;
    }

    /// @returns whether the server bears @p requests at a time.
    [[nodiscard]] bool bears(std::uint64_t requests) const
    {
        return this->warm || requests <= this->bound;
    }

    [[nodiscard]] bool isWarm() const
    {
        return this->warm;
    }

    /// Counts one completed request.
    void completed()
    {
        if (this->warm || ++this->completedInWave < this->bound) {
            return;
        }
        this->completedInWave = 0;
        this->bound = std::max<std::uint64_t>(this->bound, 1) * 2;
        this->warm = this->bound > this->warmConcurrency;
    }

private:
    std::uint64_t bound = 1;
    std::uint64_t completedInWave = 0;
    bool warm = true;
};

} // namespace endivespan::standins
