#pragma once

namespace endivespan {

/// Exponentially weighted moving average.
class SmoothedMean
{
public:
    SmoothedMean(double start, double share)
        : value(start)
        , share(share)
    {
    }

    void add(double sample)
    {
        this->value += this->share * (sample - this->value);
    }

    [[nodiscard]] double mean() const
    {
        return this->value;
    }

private:
    double value;
    double share;
};

} // namespace endivespan
