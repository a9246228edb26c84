#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// Stand-ins of the platform's store, of runners and of clients, and the processes under test. Each connection has a
/// thread of its own.
namespace rig {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// One HTTP message.
struct Message {
    std::string line; ///< The request line or the status line.
    std::map<std::string, std::string> fields; ///< With names in lower case.
    std::string body;
    bool whole = false; ///< It ended as its framing says.

    [[nodiscard]] std::string field(const std::string &name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    /// @returns a parameter of the query.
    [[nodiscard]] std::string query(const std::string &name) const;
    [[nodiscard]] int status() const;
};

/// A connected socket with blocking calls.
class Channel
{
public:
    explicit Channel(int socket);
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    /// @returns whether all bytes were written.
    bool send(const std::string &bytes);
    /// @returns the next message; nothing when the channel ended, or stayed silent for @p patience, before its head was
    ///     complete.
    std::optional<Message> receive(milliseconds patience = std::chrono::hours(1));
    /// @returns what arrives within @p time, without parsing it.
    std::string receiveRaw(milliseconds time);
    /// Ends the sending direction.
    void shutDown() const;
    /// Closes the channel at the end of its use with a reset.
    void reset() const;
    [[nodiscard]] int socket() const;

private:
    bool fill(Clock::time_point until);
    bool takeLine(std::string &line, Clock::time_point until);
    bool takeBytes(std::size_t count, std::string &out, Clock::time_point until);
    bool takeChunks(std::string &out, Clock::time_point until);

    int descriptor;
    std::string input;
    bool ended = false;
    bool isReset = false;
};

/// Listens on a free loopback port and serves each connection in a thread.
class Listener
{
public:
    using Serve = std::function<void(Channel &)>;

    explicit Listener(Serve serve, int receiveBuffer = 0);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    [[nodiscard]] int port() const;
    [[nodiscard]] std::string address() const;
    /// Closes all connections and listens no more.
    void close();

private:
    void accept();

    Serve serve;
    int descriptor;
    int boundPort = 0;
    std::thread acceptor;
    std::mutex mutex;
    std::list<std::thread> threads;
    std::list<std::weak_ptr<Channel>> channels;
    std::atomic<bool> closing = false;
};

/// Stand-in of the platform's store.
class Store
{
public:
    Store();

    /// Writes a record of a keyed topic; an empty value drops the key.
    void put(const std::string &topic, const std::string &key, const std::string &value);
    [[nodiscard]] std::string address() const;
    /// While set, calls get no answer.
    std::atomic<bool> silent = false;

private:
    struct Topic {
        std::vector<std::string> records;
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
    };

    void serve(Channel &channel);
    std::string answer(const Message &call);
    std::string readNewest(const Message &call);
    std::string read(const Message &call);
    std::string append(const Message &call);
    std::uint64_t add(const std::string &topic, const std::string &content);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Topic> topics;
    Listener listener; // The last member: its threads use the others.
};

/// Stand-in of a runner. It writes its entry about every 1.2 s.
class Runner
{
public:
    /// Answers one request.
    using Handler = std::function<void(Channel &, const Message &)>;

    /// @param model Empty for a plain server.
    Runner(
        Store &store, std::string id, std::string service, std::string model, Handler handler, int receiveBuffer = 0);
    ~Runner();
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    [[nodiscard]] std::string address() const;
    /// @returns the entry that this runner writes next.
    [[nodiscard]] std::string entry();
    void beat();

    const std::string id;

private:
    void serve(Channel &channel);

    Store &store;
    std::string service;
    std::string model;
    Handler handler;
    std::uint64_t born;
    std::atomic<std::uint64_t> sequence = 0;
    std::mutex mutex;
    std::condition_variable wake;
    bool ended = false;
    Listener listener;
    std::thread beats;
};

/// One process of the program under test.
class Host
{
public:
    struct Options {
        std::string name = "host-1";
        std::string zone = "z1";
        int memoryMiB = 182;
        bool isFirstStart = true; ///< The whole system starts for the first time.
        int weightsMs = 10000; ///< Bound on the use of older weights.
    };

    Host(const Store &store, Options options);
    ~Host();
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    /// @returns whether the host counts itself as ready within @p patience.
    bool awaitReady(milliseconds patience = std::chrono::seconds(20)) const;
    void signal(int number) const;
    /// Waits for the end of the process, and removes its files.
    void awaitEnd();
    /// @returns whether the process still runs.
    bool isRunning();
    /// @returns how the process ended, for the record.
    std::string ending();
    /// @returns the largest resident memory of the process so far in bytes; 0 when it has ended.
    [[nodiscard]] std::size_t peakMemory() const;
    [[nodiscard]] int callerPort() const;

private:
    void start(const Store &store);

    Options options;
    std::string folder;
    pid_t process = 0;
    int status = 0;
    bool hasEnded = false;
    int callers = 0;
    int readiness = 0;
};

/// Writes the lines of record.txt.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex mutex;
    std::ofstream file;
    Clock::time_point began = Clock::now();
};

/// @returns a channel to a loopback port; nothing when it cannot be opened.
std::unique_ptr<Channel> connectTo(int port, int receiveBuffer = 0);

int freePort();

/// @returns whether the disruption is played; not with TROUBLE=0.
bool hasTrouble();

/// @returns a complete answer of a runner to @p request, with its seal.
std::string sealed(const Message &request, int status, const std::string &body, const std::string &fields = "");

std::string answerText(int status, const std::string &body, const std::string &fields = "");

/// The parts of a configuration.
struct ConfigRoute {
    std::string prefix;
    std::string type; ///< idempotent, non_idempotent or streaming.
    std::string service;
    int timeoutMs = 10000;
    int attempts = 1;
    bool resumable = false;
    bool isPublic = false;
};

struct ConfigTenant {
    std::string name;
    std::string key;
    bool isolated = false;
};

/// @returns a configuration with the given routes, the services that they name and the tenants.
/// @param engines Services that are engines.
std::string config(int version,
                   const std::vector<ConfigRoute> &routes,
                   const std::vector<ConfigTenant> &tenants,
                   const std::vector<std::string> &engines = {});

/// @returns the head of a request of a client.
std::string requestHead(const std::string &method,
                        const std::string &path,
                        const std::string &id,
                        const std::string &key,
                        int deadlineMs,
                        const std::string &fields = "");

} // namespace rig
