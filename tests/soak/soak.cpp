#define DOCTEST_CONFIG_IMPLEMENT
#include "callers.h"
#include "cluster.h"
#include "faults.h"
#include "verdict.h"

#include <CLI/CLI.hpp>
#include <doctest/doctest.h>
#include <fmt/core.h>

#include <memory>
#include <random>
#include <vector>

using namespace endivespan;
using namespace endivespan::soak;

namespace {

struct SoakOptions {
    std::uint64_t seconds = 60;
    std::uint64_t seed = 0;
    std::size_t hosts = 12;
    std::uint64_t promptsPerSecond = 20;
    std::uint64_t ordersPerSecond = 5;
    bool faults = true;
};

/// Offers load, injects faults and draws up the verdict.
class Soak
{
public:
    explicit Soak(const SoakOptions &options)
        : options(options)
        , random(options.seed)
        , cluster(this->loop, {options.hosts, {"--set", R"(engine={"decode_ms":5})"}})
        , faults(this->loop, this->cluster, this->random, this->verdict)
    {
    }

    int run()
    {
        this->cluster.start();
        const auto prompts = this->loop.every(std::chrono::microseconds(1'000'000 / this->options.promptsPerSecond),
                                              [this] { this->offerPrompt(); });
        const auto orders = this->loop.every(std::chrono::microseconds(1'000'000 / this->options.ordersPerSecond),
                                             [this] { this->offerOrder(); });
        if (this->options.faults) {
            this->faults.start();
        }
        const auto end = this->loop.after(std::chrono::seconds(this->options.seconds), [this] { this->finish(); });
        this->loop.run();
        return this->report();
    }

private:
    void offerPrompt()
    {
        if (this->offering) {
            this->prompts.push_back(
                std::make_unique<PromptCaller>(this->loop, this->cluster, this->random, this->verdict));
            this->prompts.back()->start();
        }
    }

    void offerOrder()
    {
        if (this->offering) {
            const std::string key = fmt::format("order-{}-{}", this->options.seed, this->orders.size());
            this->orders.push_back(
                std::make_unique<OrderCaller>(this->loop, this->cluster, this->random, this->verdict, key));
            this->orders.back()->start();
        }
    }

    // Offers nothing more, lets the faults be undone and the callers come to their ends.
    void finish()
    {
        this->offering = false;
        this->faults.stop();
        this->settling = this->loop.every(std::chrono::milliseconds(100), [this] {
            const bool waiting = this->faults.underWay() > 0 || this->openCallers() > 0;
            if (!waiting || ++this->settlingSteps > MaxSettlingSteps) {
                this->loop.stop();
            }
        });
    }

    [[nodiscard]] std::size_t openCallers() const
    {
        std::size_t open = 0;
        for (const auto &prompt : this->prompts) {
            open += prompt->isDone() ? 0 : 1;
        }
        for (const auto &order : this->orders) {
            open += order->isDone() ? 0 : 1;
        }
        return open;
    }

    void checkOrders()
    {
        std::uint64_t mayHaveRun = 0;
        std::uint64_t answered = 0;
        for (const auto &order : this->orders) {
            mayHaveRun += order->fate().maybeRan ? 1 : 0;
            answered += order->fate().answered ? 1 : 0;
        }
        const harness::json counts = this->cluster.standins().counts("verstas-1");
        const auto ran = counts.value("keys", std::uint64_t {0});
        for (const harness::json &entry : counts["repeated"]) {
            this->verdict.find("double run: " + entry.dump());
        }
        if (ran > mayHaveRun) {
            this->verdict.find(fmt::format("{} orders ran, but {} may have by their answers", ran, mayHaveRun));
        }
        if (answered > ran) {
            this->verdict.find(fmt::format("{} orders were answered, but {} ran", answered, ran));
        }
    }

    void checkHosts()
    {
        for (const ClusterHost &host : this->cluster.hosts()) {
            if (!host.process) {
                continue;
            }
            const auto status = host.process->status();
            if (!status.is_object()) {
                this->verdict.find(host.name + " does not answer at the end");
            } else if (status.value("invariant_violations", 0) != 0) {
                this->verdict.find(
                    fmt::format("{} counted {} violations", host.name, status["invariant_violations"].dump()));
            }
        }
    }

    int report()
    {
        this->verdict.counts["callers_without_end"] = this->openCallers();
        this->checkOrders();
        this->checkHosts();
        for (const std::string count : {"fell_over", "bad_import", "bad_pieces"}) {
            this->verdict.counts["standins_" + count] = this->cluster.standins().sum(count);
        }
        if (this->verdict.counts["standins_bad_import"] + this->verdict.counts["standins_bad_pieces"] > 0) {
            this->verdict.find("an engine was given a piece that is not of its prompt");
        }
        for (const auto &[name, count] : this->verdict.counts) {
            fmt::print("{:40} {}\n", name, count);
        }
        for (const std::string &finding : this->verdict.findings) {
            fmt::print("BROKEN: {}\n", finding);
        }
        fmt::print("soak: {} s, {} hosts, seed {}: {} findings\n",
                   this->options.seconds,
                   this->options.hosts,
                   this->options.seed,
                   this->verdict.findings.size());
        return this->verdict.findings.empty() ? 0 : 1;
    }

    static constexpr std::uint64_t MaxSettlingSteps = 900;

    SoakOptions options;
    Loop loop;
    std::mt19937_64 random;
    Verdict verdict;
    Cluster cluster;
    FaultMaker faults;
    std::vector<std::unique_ptr<PromptCaller>> prompts;
    std::vector<std::unique_ptr<OrderCaller>> orders;
    std::unique_ptr<Timer> settling;
    std::uint64_t settlingSteps = 0;
    bool offering = true;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app {"Runs hosts and stand-ins under random faults and checks every answer from the callers' side."};
    SoakOptions options;
    options.seed = std::random_device {}();
    bool quiet = false;
    app.add_option("--seconds", options.seconds, "Time to offer load");
    app.add_option("--seed", options.seed, "Seed of load and faults; random by default");
    app.add_option("--hosts", options.hosts, "Host processes");
    app.add_option("--prompts", options.promptsPerSecond, "Prompts a second")->check(CLI::PositiveNumber);
    app.add_option("--orders", options.ordersPerSecond, "Orders a second")->check(CLI::PositiveNumber);
    app.add_flag("--no-faults", quiet, "Only the load");
    CLI11_PARSE(app, argc, argv);
    options.faults = !quiet;
    doctest::Context asserts;
    asserts.setAsDefaultForAssertsOutOfTestCases();
    fmt::print("soak: seed {}\n", options.seed);
    return Soak(options).run();
}
