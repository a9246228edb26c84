#include "bench_workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace endivespan::cli {

namespace {

constexpr double GapSigma = 0.8; // Of the log-normal time between two uses of a catalogue.
constexpr double GapMedianLeast = 120; // Seconds; each organisation has a median of its own.
constexpr double GapMedianMost = 1800;
constexpr std::uint32_t PiecesLeast = 4;
constexpr std::uint32_t PiecesMost = 12;

TimePoint atSeconds(double seconds)
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

class Generator
{
public:
    explicit Generator(const WorkloadOptions &options)
        : random(options.seed)
    {
        this->workload.options = options;
        this->end = std::chrono::duration<double>(options.warmup + options.counted).count();
    }

    Workload make()
    {
        const WorkloadOptions &options = this->workload.options;
        this->addReturning(options.requestsPerSecond * (1 - options.coldShare));
        this->addCold(options.requestsPerSecond * options.coldShare, false);
        this->addCold(options.floodRequestsPerSecond, true);
        this->addCrowds();
        std::sort(this->workload.arrivals.begin(),
                  this->workload.arrivals.end(),
                  [](const Arrival &left, const Arrival &right) { return left.at < right.at; });
        return std::move(this->workload);
    }

private:
    double uniform(double least, double most)
    {
        return std::uniform_real_distribution<double>(least, most)(this->random);
    }

    // Organisation k is drawn with a probability proportional to 1/(k + 1).
    std::uint32_t drawOrganisation()
    {
        std::vector<double> weights;
        for (std::uint32_t i = 0; i < this->workload.options.organisations; ++i) {
            weights.push_back(1.0 / (i + 1));
        }
        return std::discrete_distribution<std::uint32_t>(weights.begin(), weights.end())(this->random);
    }

    std::uint32_t addCatalogue(std::uint32_t organisation)
    {
        Catalogue catalogue;
        catalogue.organisation = {organisation};
        const auto pieces = std::uniform_int_distribution<std::uint32_t>(PiecesLeast, PiecesMost)(this->random);
        for (std::uint32_t i = 0; i < pieces; ++i) {
            PieceKey key;
            std::generate(key.bytes.begin(), key.bytes.end(), [this] { return this->random() & 0xFFU; });
            catalogue.pieces.push_back(key);
        }
        this->workload.catalogues.push_back(std::move(catalogue));
        return static_cast<std::uint32_t>(this->workload.catalogues.size() - 1);
    }

    void addArrival(double seconds, std::uint32_t catalogue)
    {
        Arrival arrival;
        arrival.at = atSeconds(seconds);
        arrival.catalogue = catalogue;
        arrival.tailTokens = static_cast<std::uint32_t>(this->uniform(100, 1500));
        arrival.maxTokens = static_cast<std::uint32_t>(this->uniform(20, 200));
        arrival.host = static_cast<std::uint32_t>(this->random() % this->workload.options.hosts);
        arrival.random = this->random();
        this->workload.arrivals.push_back(arrival);
    }

    void addReturning(double rate)
    {
        std::vector<double> medians;
        for (std::uint32_t i = 0; i < this->workload.options.organisations; ++i) {
            medians.push_back(std::exp(this->uniform(std::log(GapMedianLeast), std::log(GapMedianMost))));
        }
        double sum = 0;
        while (sum < rate) {
            const std::uint32_t organisation = this->drawOrganisation();
            const double median = medians.at(organisation);
            sum += 1.0 / (median * std::exp(GapSigma * GapSigma / 2));
            const std::uint32_t catalogue = this->addCatalogue(organisation);
            std::lognormal_distribution<double> gaps(std::log(median), GapSigma);
            for (double at = this->uniform(0, gaps(this->random)); at < this->end; at += gaps(this->random)) {
                this->addArrival(at, catalogue);
            }
        }
    }

    void addCold(double rate, bool flood)
    {
        if (rate <= 0) {
            return;
        }
        std::exponential_distribution<double> gaps(rate);
        for (double at = gaps(this->random); at < this->end; at += gaps(this->random)) {
            this->addArrival(at, this->addCatalogue(flood ? 0 : this->drawOrganisation()));
        }
    }

    void addCrowds()
    {
        const WorkloadOptions &options = this->workload.options;
        if (options.crowdRequestsPerSecond <= 0) {
            return;
        }
        const double period = std::chrono::duration<double>(options.crowdPeriod).count();
        const double length = std::chrono::duration<double>(options.crowdTime).count();
        std::exponential_distribution<double> gaps(options.crowdRequestsPerSecond);
        for (double start = period / 2; start + length < this->end; start += period) {
            const auto catalogue = static_cast<std::uint32_t>(this->random() % this->workload.catalogues.size());
            for (double at = start; at < start + length; at += gaps(this->random)) {
                this->addArrival(at, catalogue);
            }
        }
    }

    std::mt19937_64 random;
    Workload workload;
    double end = 0;
};

} // namespace

Workload makeWorkload(const WorkloadOptions &options)
{
    return Generator(options).make();
}

} // namespace endivespan::cli
