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

/// The task that keeps this host's leases and knows those of the others.
namespace endivespan {

/// Tails the stream "leases" and appends this host's records to it.
class LeaseTask
{
public:
    /// @param loop Runs the task; it and @p log outlive the task.
    LeaseTask(Loop &loop, LogClient &log, LeaseOwner owner);

    void start();

    /// Sets what this host should own.
    void want(std::set<std::string> resources);

    /// Appends what is due.
    void tick(TimePoint now);

    /// @returns the host that holds @p resource as far as the log says, or nothing.
    [[nodiscard]] std::optional<std::string> holderOf(const std::string &resource) const;

    /// @returns true when this host's lease of @p resource is the first one ever.
    [[nodiscard]] bool isFirst(const std::string &resource) const;

    /// @returns what this host holds, with fences.
    [[nodiscard]] std::map<std::string, std::uint64_t> held(TimePoint now) const;

    /// Asserts around a use that the lease is held.
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
