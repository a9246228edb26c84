#include "../rig-2/part_store.h"

#include <csignal>
#include <cstdlib>
#include <random>

// Two hosts, four engines and one store of kept parts, which restarts within 300 ms. A host that has seen the restart
// lets engines save parts again; the other one must not let engines fetch them before they are whole.

using namespace rig;
using namespace std::chrono_literals;

namespace {

constexpr int PartTokens = 4000; ///< Of one part.
constexpr int PartsInUse = 15; ///< The newest ones; another one comes every 100 ms.
constexpr int Hosts = 6;
constexpr int RunnerCount = 8;
constexpr int ClientsPerHost = 3;
constexpr auto DownTime = 100ms;
constexpr auto RestartPeriod = 2500ms;
constexpr int Restarts = 20;

struct Counts {
    std::atomic<int> asked = 0;
    std::atomic<int> answered = 0;
    std::atomic<int> fetches = 0;
    std::atomic<int> broken = 0;
    std::atomic<int> discarded = 0;
};

/// Runs one request at an engine: fetches and saves the parts as the host has told it.
void run(Channel &channel, const Message &request, Link &link, PartStore &parts, Counts &counts, Record &record)
{
    const auto prompt = split(request.field("x-endivespan-prompt-prefix"));
    const auto fetch = split(request.field("x-endivespan-kv-fetch"));
    const auto save = split(request.field("x-endivespan-kv-save"));
    const std::string salt = request.field("x-endivespan-cache-salt");
    const std::string requestId = request.field("x-endivespan-request-id");
    const std::string part = prompt.front().substr(0, prompt.front().find(':'));
    if (!fetch.empty() && fetch.front() == parts.address()) {
        ++counts.fetches;
        const auto found = parts.find(salt, part);
        if (found != PartStore::Found::Missing) {
            std::this_thread::sleep_until(link.add(PartTokens));
        }
        const std::string until = request.field("x-endivespan-kv-until");
        const bool isDiscarded = !until.empty() && clockMs() > std::strtoll(until.c_str(), nullptr, 10);
        const bool isPartial = found == PartStore::Found::Partial;
        counts.discarded += isPartial && isDiscarded ? 1 : 0;
        if (isPartial && !isDiscarded) {
            ++counts.broken;
            record.line("BROKEN (MIXED): request " + requestId + " was told to fetch part " + part
                        + " from the store, where it was still being written");
        }
    }
    if (!save.empty() && save.front() == parts.address()) {
        parts.save(salt, part, PartTokens, link.add(PartTokens));
    }
    channel.send(streamOf(request, 1));
}

/// One client, which asks for one of the newest parts again and again.
void askAgain(int port, int seed, const std::atomic<bool> &over, Counts &counts)
{
    std::minstd_rand random(static_cast<unsigned>(seed));
    std::unique_ptr<Channel> channel;
    while (!over) {
        channel = channel ? std::move(channel) : connectTo(port);
        const int number = ++counts.asked;
        const auto part = clockMs() / 100 - static_cast<std::int64_t>(random() % PartsInUse);
        const std::string fields
            = "X-Endivespan-Model: m1\r\nX-Endivespan-Token-Count: 4100,5\r\nX-Endivespan-Prompt-Prefix: a"
            + std::to_string(part) + ":" + std::to_string(PartTokens) + ",f" + std::to_string(number)
            + ":100\r\nContent-Length: 0\r\n\r\n";
        std::optional<Message> answer;
        if (channel
            && channel->send(requestHead("POST", "/s/x", "q" + std::to_string(number), "key-1", 8000, fields))) {
            answer = channel->receive(10s);
        }
        counts.answered += answer && answer->status() == 200 && answer->whole ? 1 : 0;
        channel = answer && answer->whole ? std::move(channel) : nullptr;
        std::this_thread::sleep_for(100ms);
    }
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(argc > 1 ? argv[1] : "record.txt");
    Store store;
    PartStore parts(record);
    const std::string text = config(1, {{"/s/", "streaming", "llm", 10000, 2, true}}, {{"t1", "key-1"}}, {"llm"});
    store.put("keyed.op", "config", withPartStores(text, {parts.address()}));
    store.put("keyed.op", "version/m1", R"({"model":"m1","version":1})");
    Counts counts;
    std::vector<Link> links(RunnerCount);
    std::vector<std::unique_ptr<Runner>> runners;
    runners.reserve(RunnerCount);
    for (int i = 0; i < RunnerCount; ++i) {
        const auto handler = [&, &link = links[static_cast<std::size_t>(i)]](Channel &channel, const Message &request) {
            run(channel, request, link, parts, counts, record);
        };
        runners.push_back(std::make_unique<Runner>(store, "i-" + std::to_string(i), "llm", "m1", handler));
    }
    std::vector<std::unique_ptr<Host>> hosts;
    hosts.reserve(Hosts);
    for (int i = 0; i < Hosts; ++i) {
        hosts.push_back(std::make_unique<Host>(store, Host::Options {"host-" + std::to_string(i), "z1", 182}));
    }
    for (const auto &host : hosts) {
        if (!host->awaitReady()) {
            record.line("a host did not become ready");
            hosts.clear();
            std::_Exit(2);
        }
    }
    std::atomic<bool> over = false;
    std::vector<std::thread> clients;
    for (int i = 0; i < Hosts * ClientsPerHost; ++i) {
        const int port = hosts[static_cast<std::size_t>(i % Hosts)]->callerPort();
        clients.emplace_back([&, port, i] { askAgain(port, i + 1, over, counts); });
    }
    std::this_thread::sleep_for(RestartPeriod);
    for (int i = 0; i < Restarts; ++i) {
        if (hasTrouble()) {
            parts.restart(DownTime);
        }
        std::this_thread::sleep_for(RestartPeriod - DownTime);
    }
    over = true;
    for (std::thread &client : clients) {
        client.join();
    }
    record.line("asked " + std::to_string(counts.asked) + ", answered whole " + std::to_string(counts.answered)
                + ", fetches " + std::to_string(counts.fetches) + ", of a part that was being written: used "
                + std::to_string(counts.broken) + ", thrown away " + std::to_string(counts.discarded));
    hosts.clear();
    const bool isValid = counts.answered > 0 && counts.fetches > 0;
    std::_Exit(!isValid ? 2 : counts.broken > 0 ? 1 : 0);
}
