#include "percentiles.h"

#include <boost/histogram.hpp>

#include <cmath>

namespace endivespan::cli {

namespace {

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

constexpr unsigned Bins = 2800; // Bins that grow by 1% each, over twelve powers of ten.
constexpr double Lowest = 1e-8;
constexpr double Highest = 1e4;

} // namespace

struct Percentiles::Histogram {
    decltype(boost::histogram::make_histogram(Axis(Bins, Lowest, Highest))) counts
        = boost::histogram::make_histogram(Axis(Bins, Lowest, Highest));
};

Percentiles::Percentiles()
    : histogram(std::make_unique<Histogram>())
{
}

Percentiles::~Percentiles() = default;
Percentiles::Percentiles(Percentiles &&) noexcept = default;
Percentiles &Percentiles::operator=(Percentiles &&) noexcept = default;

void Percentiles::add(double value)
{
    this->histogram->counts(value);
    ++this->samples;
}

double Percentiles::at(double share) const
{
    const double wanted = std::ceil(share * static_cast<double>(this->samples));
    double seen = 0;
    double last = 0;
    for (const auto &bin : boost::histogram::indexed(this->histogram->counts, boost::histogram::coverage::all)) {
        seen += static_cast<double>(*bin);
        last = bin.index(0) < 0 ? Lowest : std::sqrt(bin.bin(0).lower() * bin.bin(0).upper());
        if (this->samples > 0 && seen >= wanted) {
            return last;
        }
    }
    return this->samples > 0 ? last : 0;
}

std::uint64_t Percentiles::count() const
{
    return this->samples;
}

} // namespace endivespan::cli
