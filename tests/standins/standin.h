#pragma once

#include <endivespan/http_client.h>
#include <endivespan/http_server.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

/// What all stand-ins for outside systems share: an address, settings that tests change, and faults.
namespace endivespan::standins {

using nlohmann::json;
using ExchangePtr = std::shared_ptr<HttpExchange>;

/// Answers with @p body as JSON.
void replyJson(const ExchangePtr &exchange, int status, const json &body);

/// @returns the body of a request as a JSON object, or a discarded value when it is not one.
json bodyOf(const ExchangePtr &exchange);

/// One outside system on one loopback address.
class StandIn
{
public:
    /// @param loop Runs the stand-in; must outlive it.
    /// @param kind Word for the kind of system, as printed.
    /// @param name Name of this one.
    StandIn(Loop &loop, std::string kind, std::string name);
    virtual ~StandIn();
    StandIn(const StandIn &) = delete;
    StandIn &operator=(const StandIn &) = delete;

    /// Listens on @p requested ("a.b.c.d:port", port 0 takes a free one).
    /// @returns false when the address cannot be bound.
    bool open(const std::string &requested);

    [[nodiscard]] const std::string &kind() const
    {
        return this->standInKind;
    }

    [[nodiscard]] const std::string &name() const
    {
        return this->standInName;
    }

    [[nodiscard]] const std::string &address() const
    {
        return this->boundAddress;
    }

    /// Changes settings.
    /// @param settings Object of setting names and values.
    /// @returns an empty text, or what is wrong; then settings before the wrong one are changed already.
    std::string control(const json &settings);

    /// @returns what was counted; counts survive crashes and restarts.
    [[nodiscard]] virtual json counts() const = 0;

protected:
    /// Takes one request, other than those for control and counts.
    virtual void handle(const ExchangePtr &exchange) = 0;

    /// Forgets all work under way, because the process is taken to have died.
    virtual void dropWork() = 0;

    /// Makes a setting of @p target.
    template<typename T>
    void setting(const std::string &name, T &target)
    {
        this->settings[name] = [&target](const json &value) { assign(value, target); };
    }

    /// Makes a setting that runs @p action with the value.
    void action(const std::string &name, std::function<void(const json &)> run)
    {
        this->settings[name] = std::move(run);
    }

    /// Runs @p callback after @p delay, unless the process dies before.
    void later(Duration delay, std::function<void()> callback);

    /// Dies now: every connection is cut; the stand-in listens again after restart_ms with a new incarnation.
    void crash();

    [[nodiscard]] TimePoint now() const
    {
        return this->loop.now();
    }

    /// @returns whether the stand-in accepts connections and sends nothing.
    [[nodiscard]] bool isFrozen() const
    {
        return this->frozen;
    }

    [[nodiscard]] const std::string &incarnation() const
    {
        return this->incarnationName;
    }

    Loop &loop;

private:
    static void assign(const json &value, Duration &target);

    template<typename T>
    static void assign(const json &value, T &target)
    {
        target = value.get<T>();
    }

    void addCommonSettings();
    void receive(const ExchangePtr &exchange);
    void receiveControl(const ExchangePtr &exchange);
    bool listen();
    void dieAfter(Duration delay);
    void goDown();
    void comeBack();
    void newIncarnation();

    std::string standInKind;
    std::string standInName;
    std::string boundAddress;
    std::string incarnationName;
    std::uint64_t incarnations = 0;
    int reservedSocket = -1;
    bool frozen = false;
    bool down = false;
    bool dying = false; ///< The next turn of the loop cuts every connection.
    Duration answerDelay {};
    Duration restartTime = std::chrono::milliseconds(300);
    std::map<std::string, std::function<void(const json &)>> settings;
    std::uint64_t nextTimer = 0;
    std::map<std::uint64_t, std::unique_ptr<Timer>> timers;
    std::unique_ptr<Timer> lifeTimer;
    std::unique_ptr<HttpServer> server;
};

} // namespace endivespan::standins
