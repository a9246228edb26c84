#pragma once

#include "engine_control.h"
#include "keyed_log_client.h"
#include "record_codec.h"
#include "request_codec.h"

#include <endivespan/forward_node.h>
#include <endivespan/http_pool.h>
#include <endivespan/http_server.h>
#include <endivespan/loop.h>

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Runs hosts against stand-ins of the platform's store and runners, all on one event loop.
namespace endivespan::tests {

/// Stand-in of the store: keyed and plain topics with one partition.
class StoreStandin
{
public:
    explicit StoreStandin(Loop &loop);

    [[nodiscard]] std::string address() const;

    /// One address of the store, and the faults that are injected for those who use it.
    struct Access {
        std::unique_ptr<HttpServer> server;
        bool silent = false; ///< Answers nothing.
        bool refuses = false; ///< Answers 503.
        bool resets = false;
        std::chrono::milliseconds delay {}; ///< Before each answer.
    };

    /// Adds one more server for the store. @returns its access, with an address of its own.
    Access &addAccess();

    /// Appends to a keyed topic; without a value the key is deleted.
    void put(const std::string &topic, const std::string &key, const std::optional<std::string> &value);

    /// Trims all records of a topic; only the newest value of each key can still be read.
    void forgetHistory(const std::string &topic);

    /// @returns the values of a plain topic.
    [[nodiscard]] std::vector<std::string> plain(const std::string &topic) const;

    /// @returns the newest value of a key of a keyed topic, if there is one.
    [[nodiscard]] std::optional<std::string> newest(const std::string &topic, const std::string &key) const;

    /// Keeps a copy of all topics.
    void copy();

    /// Replaces all topics by the copy and raises the era. Reads that wait for records are reset.
    void restore();

    bool down = false; ///< Answers 503.
    bool silent = false; ///< Answers nothing.
    int lostAppends = 0; ///< How many of the next appends are applied but not answered.

private:
    struct Topic {
        std::vector<std::string> records;
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
        std::uint64_t first = 0;
    };
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void handle(const Access &access, const std::shared_ptr<HttpExchange> &exchange);
    void readNewest(HttpExchange &exchange, const std::string &name);
    void read(const std::shared_ptr<HttpExchange> &exchange, const std::string &name, TimePoint until);
    void append(HttpExchange &exchange, const std::string &name);
    void reply(HttpExchange &exchange, int status, const std::string &body = "");

    Loop &loop;
    std::map<std::string, Topic> topics;
    std::map<std::string, Topic> copied;
    std::uint64_t era = 1; ///< Sent with each answer; number of restores, plus one.
    std::vector<std::shared_ptr<HttpExchange>> held;
    std::vector<std::unique_ptr<Timer>> timers;
    std::unique_ptr<HttpServer> server;
    std::vector<std::unique_ptr<Access>> accesses;
};

/// One request as a runner received it.
struct ReceivedRequest {
    std::string head; ///< Request line and header fields, as sent.
    std::string body;
    std::uint64_t connection = 0; ///< Number of the connection that it came on.
    bool callerGone = false; ///< The connection was closed by the caller before the answer was complete.

    [[nodiscard]] std::string field(const std::string &name) const;
};

/// Stand-in of a runner that answers with the bytes that its script returns.
class RunnerStandin
{
public:
    /// The answer to one request: the bytes to send, and what to do with the connection afterwards.
    struct Reply {
        std::string bytes;
        enum class Then { Keep, Close, Reset, Hang } then = Then::Keep;
        std::chrono::milliseconds delay {}; ///< How long the runner works before it sends the bytes.
        std::chrono::milliseconds pause {}; ///< Silence after the bytes, before the rest; with Hang only.
        std::string rest {}; ///< Bytes that complete the answer.
    };
    using Script = std::function<Reply(const ReceivedRequest &request)>;

    RunnerStandin(Loop &loop, std::string id);
    ~RunnerStandin();
    RunnerStandin(const RunnerStandin &) = delete;
    RunnerStandin &operator=(const RunnerStandin &) = delete;

    [[nodiscard]] std::string address() const;

    /// Stops listening and closes every connection.
    void shutDown();

    /// Stops listening and answering; connections stay open.
    void stopAnswering();

    /// Listens and answers again, at the same address as before.
    void resume();

    /// Reads little of each connection at a time, and lets the kernel take little more.
    void readSlowly();

    /// Reads as usual again.
    void readOn();

    std::string id;
    Script script;
    std::vector<ReceivedRequest> received;

private:
    struct Connection {
        bufferevent *stream;
        std::string input;
        std::size_t current = 0; ///< Index into received, plus one; 0 for none.
        std::uint64_t number = 0; ///< Unique, unlike the address of the bufferevent.
    };
    static void accepted(evconnlistener *listener, int socket, sockaddr *address, int size, void *context);
    static void onRead(bufferevent *stream, void *context);
    static void onEvent(bufferevent *stream, short what, void *context);
    void drop(bufferevent *stream);
    void serve(bufferevent *stream);
    void send(bufferevent *stream, const Reply &reply);
    /// Sends on the connection with this @p number, if it is still open.
    void sendLater(bufferevent *stream, std::uint64_t number, std::chrono::milliseconds delay, const Reply &reply);
    void listen(int wantedPort);
    void stopListening();
    void enableReading();

    Loop &loop;
    evconnlistener *listener = nullptr;
    bool silent = false;
    std::unique_ptr<Timer> slowReading; ///< Set while it reads slowly; each time it reads once on each connection.
    int port = 0;
    std::map<bufferevent *, Connection> connections;
    std::uint64_t connectionCount = 0;
    /// Delayed answers, and resets, which are delayed so that the bytes sent before them arrive.
    std::vector<std::unique_ptr<Timer>> closing;
};

/// @returns a complete answer with a server seal and the id of @p request.
std::string
answerTo(const ReceivedRequest &request, int status, const std::string &body, const std::string &fields = "");

/// @returns the header of a chunked event stream.
std::string streamHead(const ReceivedRequest &request);

/// @returns one server-sent event, framed as one chunk.
std::string eventChunk(int id, const std::string &data);

/// @returns a loopback port that nothing listens on.
int freePort();

/// What a caller has received.
struct CallerAnswer {
    int status = 0;
    HttpHeaders headers;
    std::string body;
    bool whole = false;
    bool failed = false;
    bool lost = false; ///< Failed after bytes of the request had been sent.
};

/// A host under test, with its own access to the store.
struct WorldHost {
    std::string name;
    StoreStandin::Access *store = nullptr;
    std::unique_ptr<platform::KeyedLogClient> log;
    std::unique_ptr<platform::RunnerControl> engines;
    std::unique_ptr<ForwardNode> node;
    int callerPort = 0;
    int readinessPort = 0;
    ForwardSettings settings;
};

/// The hosts under test, with their store, runners and callers.
class World
{
public:
    /// @param runners Number of runners of the only service.
    /// @param hosts Number of hosts, all in one failure domain; functions without a host argument use the first one.
    /// @param change Changes the bounds of all hosts.
    /// @param loadControl Setting of all hosts.
    explicit World(std::size_t runners,
                   std::size_t hosts = 1,
                   const std::function<void(ForwardBounds &)> &change = {},
                   LoadControl loadControl = LoadControl::Auto);
    ~World();
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    /// Runs the loop until @p condition holds. @returns false if it does not hold within @p patience.
    bool until(const std::function<bool()> &condition, std::chrono::milliseconds patience = std::chrono::seconds(10));
    void runFor(std::chrono::milliseconds time);

    /// Runs the loop until @p time has passed since @p start, without the time for which it stood still.
    void runUntil(TimePoint start, std::chrono::milliseconds time);

    /// @returns for how long the loop has stood still since @p start because the process did not run. Hosts, store and
    ///     runners share the loop, so none of them could act then. Time in which the process computed does not count.
    [[nodiscard]] Duration stoodStill(TimePoint start);

    /// Writes a runner's entry to the list of servers, with @p changes to the default fields.
    void list(const RunnerStandin &runner, const nlohmann::json &changes = nlohmann::json::object());

    /// Writes the default configuration, altered by @p change, under the next version.
    void configure(const std::function<void(nlohmann::json &)> &change = {});

    /// Sends a request. @returns its index in answers.
    std::size_t ask(const std::string &path,
                    const HttpHeaders &headers = {},
                    const std::string &method = "POST",
                    const std::string &body = "");
    std::size_t
    askHost(std::size_t host, const std::string &path, const HttpHeaders &headers = {}, const std::string &body = "");
    void disconnect(std::size_t call);

    [[nodiscard]] bool isReady(std::size_t host = 0);

    /// Destroys a host, with the calls that it has under way, as the end of its process does.
    void endHost(std::size_t host);

    /// Destroys a host and starts it again under the same name.
    void restartHost(std::size_t host);

    /// Destroys all hosts before it starts them again under the same names, and waits until they are ready.
    void restartAllHosts();

    /// Destroys a host and makes it again under the same name and at the same addresses, without starting it.
    void replaceHost(std::size_t host);
    [[nodiscard]] const CallerAnswer &answer(std::size_t call);

    Loop loop;
    StoreStandin store;
    std::vector<std::unique_ptr<RunnerStandin>> runners;
    std::vector<CallerAnswer> answers;
    std::vector<WorldHost> hosts;
    bool stopped = false; ///< A host has stopped. The loop stops then too, as that of its process does.

    /// The first host.
    [[nodiscard]] ForwardNode &node();
    [[nodiscard]] int callerPort() const;

private:
    void startHost(WorldHost &host);
    void makeHost(WorldHost &host);
    std::size_t send(PooledCall call);
    void noteStandstill();

    ForwardBounds bounds;
    LoadControl loadControl;
    std::unique_ptr<Timer> watch;
    TimePoint watchedAt;
    Duration watchedCpu {}; ///< Computing time of the process until watchedAt.
    std::vector<std::pair<TimePoint, Duration>> standstills; ///< When each one ended, and how long it was.
    std::uint64_t configVersion = 0;
    std::uint64_t heartbeat = 0;
    platform::RequestCodec requests;
    platform::StoreRecordCodec records;
    std::unique_ptr<HttpPool> callers;
    std::vector<std::unique_ptr<HttpPending>> calls;
};

/// Gives all routes of a configuration these @p fields.
void updateRoutes(nlohmann::json &config, const nlohmann::json &fields);

/// Sends a repeatable request with @p key to a host. @returns the status of the answer.
int statusWithKey(World &world, const std::string &key, std::size_t host = 0);

/// Sends repeatable requests for @p time. @returns how many requests the runner received meanwhile.
std::size_t receivedWithin(World &world, const RunnerStandin &runner, std::chrono::milliseconds time);

} // namespace endivespan::tests
