#pragma once

#include <endivespan/lease.h>
#include <endivespan/log_client.h>
#include <endivespan/loop.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// Acquires, renews and releases the leases of this host, and tracks the leases of all hosts.
namespace endivespan {

/// Tails the log stream "leases" and appends the lease records of this host to it.
class LeaseTask
{
public:
    /// @param loop Runs the task. Both @p loop and @p log must outlive the task.
    /// @param owner Host and incarnation that the leases are acquired for.
    LeaseTask(Loop &loop, LogClient &log, LeaseOwner owner);

    void start();

    /// Sets the resources that this host should hold leases of.
    void want(std::set<std::string> resources);

    /// Appends the next lease record that is due, once the stream has been read to its end.
    void tick(TimePoint now);

    /// @returns the host that holds the lease of @p resource according to the records read so far, or nothing.
    [[nodiscard]] std::optional<std::string> holderOf(const std::string &resource) const;

    /// @returns true when the current lease of @p resource is the first one that was ever granted for it.
    [[nodiscard]] bool isFirst(const std::string &resource) const;

    /// @returns the fence of each lease that this host holds at @p now, by resource.
    [[nodiscard]] std::map<std::string, std::uint64_t> held(TimePoint now) const;

    /// Checks the invariant that this host holds the lease of @p resource with @p fence; call it right before and
    /// right after each use.
    /// @returns false when it is not held; the use must then be abandoned, or its outcome not be relied on.
    [[nodiscard]] bool checkUse(const std::string &resource, std::uint64_t fence) const;

private:
    void findStart();
    void read();
    void onRead(const Result<LogBatch> &batch);
    void restart(std::uint64_t from, bool complete);
    void append(const LeaseRecord &record);

    Loop &loop;
    LogClient &log;
    LeaseFold fold;
    LeaseHolder holder;
    std::uint64_t next = 0;
    bool caughtUp = false;
    std::unique_ptr<Timer> readTimer;
};

} // namespace endivespan
