#pragma once

#include <cstdint>
#include <memory>

/// Percentiles of many samples in bounded memory.
namespace endivespan::cli {

/// Histogram with a logarithmic axis from 1e-8 to 1e4. A percentile within this range is off by at most 1%.
class Percentiles
{
public:
    Percentiles();
    ~Percentiles();
    Percentiles(Percentiles &&) noexcept;
    Percentiles &operator=(Percentiles &&) noexcept;
    Percentiles(const Percentiles &) = delete;
    Percentiles &operator=(const Percentiles &) = delete;

    void add(double value);

    /// @param share Fraction of the samples, from 0 to 1.
    /// @returns the value that this fraction of the samples does not exceed; 0 without samples.
    [[nodiscard]] double at(double share) const;

    [[nodiscard]] std::uint64_t count() const;

private:
    struct Histogram;

    std::unique_ptr<Histogram> histogram;
    std::uint64_t samples = 0;
};

} // namespace endivespan::cli
