#pragma once

#include "rig.h"

/// Stand-in of a managed store of kept parts, and the links over which engines reach it.
namespace rig {

/// @returns the runners' clock.
std::int64_t clockMs();

std::vector<std::string> split(const std::string &text);

class PartStore
{
public:
    explicit PartStore(Record &record);

    [[nodiscard]] std::string address() const;

    /// Goes down for @p time and comes back empty. Meanwhile its channels are reset.
    void restart(milliseconds time);

    /// Reserves the space of a part, which is whole once its transfer has ended.
    void save(const std::string &salt, const std::string &id, int tokens, Clock::time_point wholeAt);

    enum class Found { Missing, Partial, Whole };

    /// @returns what a fetch that begins now finds.
    Found find(const std::string &salt, const std::string &id);

    /// @returns how many of its parts were freed so far.
    [[nodiscard]] int freed();

private:
    struct Part {
        int tokens;
        Clock::time_point wholeAt;
    };
    struct Event {
        bool isStored;
        std::string salt;
        std::string id;
        int tokens;
        Clock::time_point at;
    };

    void addEvent(const Event &event);
    void serve(Channel &channel);
    std::string answer(const Message &call);
    std::string answerEvents(const Message &call);
    std::string answerList();
    std::string answerFree(const Message &call);
    [[nodiscard]] std::size_t toldEvents() const;
    [[nodiscard]] std::string head(std::size_t next) const;

    Record &record;
    std::mutex mutex;
    std::condition_variable changed;
    int epoch = 1000;
    int eventCalls = 0;
    int freedParts = 0;
    std::map<std::pair<std::string, std::string>, Part> parts;
    std::vector<Event> events; ///< In the order of their times; each is told from its time on.
    std::atomic<bool> isDown = false;
    std::unique_ptr<Listener> listener;
};

/// The transfers of one engine, which run one after another over its link of 25,000 Mbit/s.
class Link
{
public:
    /// @returns when a transfer that is ordered now ends.
    Clock::time_point add(int tokens);

private:
    std::mutex mutex;
    Clock::time_point freeAt = Clock::now();
};

/// @returns a configuration whose services include these stores of parts.
std::string withPartStores(std::string config, const std::vector<std::string> &addresses);

/// @returns a whole stream of one event.
std::string streamOf(const Message &request, int weights);

} // namespace rig
