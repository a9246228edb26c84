#pragma once

#include "cluster.h"
#include "verdict.h"

#include <endivespan/http_client.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

/// Callers that keep at it, like the workshops' own programs, and check all that they get.
namespace endivespan::soak {

/// One prompt: sent again through another host, from the token it stopped at, until its answer is whole.
class PromptCaller
{
public:
    PromptCaller(Loop &loop, Cluster &cluster, std::mt19937_64 &random, Verdict &verdict);

    /// Sends the first attempt.
    void start();

    [[nodiscard]] bool isDone() const;

private:
    void attempt();
    void onChunk(int status, std::string_view bytes);
    void onEvent(const EventParser::Event &event);
    void onEnd();
    void onFailure();
    void retryLater();
    void check();

    Loop &loop;
    Cluster &cluster;
    std::mt19937_64 &random;
    Verdict &verdict;
    std::size_t organisation;
    std::string prompt;
    std::uint32_t tokens;
    TimePoint startedAt;
    TimePoint firstTokenAt;
    std::string text;
    std::string lastId;
    std::string refusal;
    std::uint32_t attempts = 0;
    bool sawEnd = false;
    bool done = false;
    EventParser parser;
    std::unique_ptr<HttpPending> pending;
    std::unique_ptr<Timer> retryTimer;
};

/// What is known of one order from its answers.
struct OrderFate {
    bool answered = false;
    bool maybeRan = false; ///< Some answer said that it ran or may have.
    std::string answer;
};

/// One order: the same key through several hosts, sometimes two at a time, until it is answered or its outcome is
/// unknown.
class OrderCaller
{
public:
    OrderCaller(Loop &loop, Cluster &cluster, std::mt19937_64 &random, Verdict &verdict, std::string key);

    void start();

    [[nodiscard]] bool isDone() const;
    [[nodiscard]] const OrderFate &fate() const;

private:
    void send(std::size_t lane);
    void onAnswer(std::size_t lane, const HttpAnswer &answer);
    void onFailure(std::size_t lane);
    void settle(std::size_t lane);
    void again(std::size_t lane);

    Loop &loop;
    Cluster &cluster;
    std::mt19937_64 &random;
    Verdict &verdict;
    std::string key;
    std::size_t organisation;
    OrderFate known;
    TimePoint startedAt;
    std::size_t open = 0;
    static constexpr std::size_t Lanes = 2;
    std::array<std::unique_ptr<HttpPending>, Lanes> pending;
    std::array<std::unique_ptr<Timer>, Lanes> timers;
};

} // namespace endivespan::soak
