#include <endivespan/claim_keeper.h>
#include <endivespan/invariant.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <rapidcheck.h>
#include <set>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

constexpr ClaimLimits ModelLimits {1h, 10'000, 100'000};

ClaimKeeperLimits keeperLimits()
{
    ClaimKeeperLimits limits = defaultClaimKeeperLimits();
    limits.appendGap = 10ms;
    limits.waitLimit = 300ms;
    limits.grantLimit = 200ms;
    limits.retryDelay = 50ms;
    limits.readPeriod = 100ms;
    limits.snapshotPeriod = 400ms;
    return limits;
}

/// Which faults may occur, and which component is deliberately faulty.
struct ModelOptions {
    bool deaths = true; ///< Hosts are killed and started again.
    bool faults = true; ///< Appends and reads fail, grants are released and backend servers refuse requests.
    bool trimUncovered = false; ///< The log drops records even when no snapshot covers them.
    bool slow = false; ///< Time advances fast in relation to the operations, so that many time out.
    bool lastClaimWins = false; ///< See LastClaimWinsFold.
    bool sendsAfterRefusal = false; ///< The host sends a request although startRun() returned false.
};

/// Faulty fold: a later claim takes the name from its holder.
class LastClaimWinsFold : public ClaimFold
{
public:
    using ClaimFold::ClaimFold;

protected:
    bool keepsName(const ClaimEntry &) const override
    {
        return false;
    }
};

/// An append or a read that the log has not answered yet.
struct Operation {
    std::size_t host = 0;
    std::uint64_t writer = 0; ///< Incarnation that sent it; a later incarnation gets no answer.
    ClaimAction action;
};

/// What has become of one ticket.
struct Run {
    std::string key;
    bool started = false;
    bool executed = false; ///< The backend server has executed the request.
    bool refused = false; ///< The caller has been told that the request has not run.
};

struct Host {
    std::unique_ptr<ClaimKeeper> keeper;
    std::uint64_t writer = 0;
    std::vector<ClaimTicket> granted;
    std::vector<ClaimTicket> running;
};

/// Model of several hosts, one log stream and one backend server. Random choices drive it.
class ClaimModel
{
public:
    ClaimModel(std::uint32_t seed, const ModelOptions &options)
        : options(options)
        , random(seed)
    {
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            this->startHost(i);
        }
    }

    void step()
    {
        this->now += this->chance(this->options.slow ? 3 : 12) ? std::chrono::milliseconds(this->pickBelow(150)) : 1ms;
        switch (this->pickBelow(14)) {
        case 0:
            this->beginRandomRequest();
            break;
        case 1:
            this->useGrant(this->pickBelow(this->hosts.size()));
            break;
        case 2:
            this->endRun(this->pickBelow(this->hosts.size()));
            break;
        case 3:
            this->tickAll();
            break;
        case 4:
            this->injectFault();
            break;
        default:
            this->deliverOne(); // Most steps deliver, so that requests are completed.
        }
    }

    /// Runs without faults, long enough for all outcomes and abandonments to be logged and read back.
    void runWithoutFaults()
    {
        this->options.faults = false;
        this->options.deaths = false;
        this->outage = false;
        for (int i = 0; i < 120; ++i) {
            this->now += 20ms;
            for (std::size_t host = 0; host < this->hosts.size(); ++host) {
                this->useGrant(host);
                this->endRun(host);
            }
            this->tickAll();
            while (!this->operations.empty()) {
                this->deliverOne();
            }
            this->applyLateAppends();
        }
    }

    /// @returns the decision on a new request with @p key; Refused if none is given in time.
    ClaimDecision probe(const std::string &key)
    {
        const ClaimTicket ticket = this->begin(0, key);
        for (int i = 0; i < 20 && this->verdicts.count(ticket) == 0; ++i) {
            this->now += 20ms;
            this->tickAll();
            while (!this->operations.empty()) {
                this->deliverOne();
            }
        }
        return this->verdicts.count(ticket) == 0 ? ClaimDecision::Refused : this->verdicts.at(ticket);
    }

    [[nodiscard]] std::size_t executions(const std::string &key) const
    {
        return static_cast<std::size_t>(std::count_if(this->runs.begin(), this->runs.end(), [&key](const auto &entry) {
            return entry.second.key == key && entry.second.executed;
        }));
    }

    [[nodiscard]] bool ranAfterRefusal() const
    {
        return std::any_of(this->runs.begin(), this->runs.end(), [](const auto &entry) {
            return entry.second.executed && entry.second.refused;
        });
    }

    [[nodiscard]] std::size_t mostExecutions() const
    {
        std::size_t most = 0;
        for (const std::string &key : this->keys) {
            most = std::max(most, this->executions(key));
        }
        return most;
    }

    /// @returns false when two complete folds at the same position are in different states.
    [[nodiscard]] bool digestsAgree() const
    {
        std::map<std::uint64_t, std::string> digests;
        for (const Host &host : this->hosts) {
            const ClaimFold &fold = host.keeper->fold();
            if (fold.isComplete() && digests.emplace(fold.position(), fold.digest()).first->second != fold.digest()) {
                return false;
            }
        }
        return true;
    }

    /// @returns how many verdicts had this decision.
    [[nodiscard]] std::size_t verdictCount(ClaimDecision decision) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->verdicts.begin(), this->verdicts.end(), [decision](const auto &entry) {
                return entry.second == decision;
            }));
    }

    /// @returns true when no host has a complete fold: the log dropped records before they were read or in a snapshot.
    [[nodiscard]] bool historyLost() const
    {
        return std::none_of(
            this->hosts.begin(), this->hosts.end(), [](const Host &host) { return host.keeper->fold().isComplete(); });
    }

    bool wrongAnswer = false;
    std::set<std::string> keys; ///< All keys that were requested.

private:
    std::size_t pickBelow(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(this->random);
    }

    bool chance(std::size_t oneIn)
    {
        return this->pickBelow(oneIn) == 0;
    }

    LogTime logTime() const
    {
        return LogTime(std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch() + 1000s));
    }

    void startHost(std::size_t index)
    {
        Host &host = this->hosts[index];
        host = {};
        host.writer = ++this->lastWriter;
        std::unique_ptr<ClaimFold> fold = this->options.lastClaimWins ? std::make_unique<LastClaimWinsFold>(ModelLimits)
                                                                      : std::make_unique<ClaimFold>(ModelLimits);
        host.keeper = std::make_unique<ClaimKeeper>(
            "host-" + std::to_string(index), host.writer, keeperLimits(), std::move(fold));
    }

    ClaimTicket begin(std::size_t index, const std::string &key)
    {
        const ClaimTicket ticket = ++this->lastTicket;
        this->runs[ticket].key = key;
        const ClaimRequest ask {"puu", key, requestFingerprint("POST", "/order", key), 2000ms};
        this->handleActions(index, this->hosts[index].keeper->begin(ticket, ask, this->now));
        return ticket;
    }

    void beginRandomRequest()
    {
        // The range of keys moves on, so that each key is requested a few times.
        const std::string key = "key-" + std::to_string(this->lastTicket / 6 + this->pickBelow(3));
        this->keys.insert(key);
        this->begin(this->pickBelow(this->hosts.size()), key);
    }

    void handleActions(std::size_t index, ClaimActions actions)
    {
        Host &host = this->hosts[index];
        for (ClaimAction &action : actions) {
            if (const auto *verdict = std::get_if<ClaimVerdict>(&action)) {
                this->handleVerdict(host, *verdict);
            } else {
                this->operations.push_back({index, host.writer, std::move(action)});
            }
        }
    }

    void handleVerdict(Host &host, const ClaimVerdict &verdict)
    {
        this->verdicts[verdict.ticket] = verdict.decision;
        if (verdict.decision == ClaimDecision::Granted) {
            host.granted.push_back(verdict.ticket);
        }
        this->runs[verdict.ticket].refused = verdict.decision == ClaimDecision::Refused;
        if (verdict.decision == ClaimDecision::Recorded) {
            const std::string key = this->runs[verdict.ticket].key;
            this->wrongAnswer = this->wrongAnswer || verdict.answer->body != "answer to " + key;
        }
    }

    void useGrant(std::size_t index)
    {
        Host &host = this->hosts[index];
        if (host.granted.empty() || (this->options.faults && this->chance(3))) {
            return;
        }
        const ClaimTicket ticket = host.granted.back();
        host.granted.pop_back();
        Run &run = this->runs[ticket];
        if (this->options.faults && this->chance(5)) {
            run.refused = true;
            this->handleActions(index, host.keeper->release(ticket, this->now));
            return;
        }
        run.started = host.keeper->startRun(ticket, this->now);
        run.refused = !run.started;
        if (run.started || this->options.sendsAfterRefusal) {
            host.running.push_back(ticket);
        }
    }

    void endRun(std::size_t index)
    {
        Host &host = this->hosts[index];
        if (host.running.empty()) {
            return;
        }
        const ClaimTicket ticket = host.running.back();
        host.running.pop_back();
        Run &run = this->runs[ticket];
        // The backend server refuses some requests without executing them.
        if (this->options.faults && this->chance(5)) {
            run.refused = true;
            this->handleActions(index, host.keeper->release(ticket, this->now));
            return;
        }
        run.executed = true;
        const ClaimAnswer answer {200, {}, "answer to " + run.key};
        const auto kind = this->options.faults && this->chance(4) ? OutcomeKind::Unknown : OutcomeKind::Answered;
        this->handleActions(
            index,
            host.keeper->finish(ticket, kind, kind == OutcomeKind::Answered ? answer : ClaimAnswer {}, this->now));
    }

    void tickAll()
    {
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            this->handleActions(i, this->hosts[i].keeper->tick(this->now));
        }
    }

    void injectFault()
    {
        if (this->options.faults && this->chance(this->outage ? 3 : 10)) {
            this->outage = !this->outage;
        }
        this->applyLateAppends();
        this->trim();
        if (this->options.deaths && this->chance(8)) {
            const std::size_t index = this->pickBelow(this->hosts.size());
            // The backend server may execute a request that the host had already sent.
            for (const ClaimTicket ticket : this->hosts[index].running) {
                this->runs[ticket].executed = this->runs[ticket].executed || this->chance(2);
            }
            this->startHost(index);
        }
    }

    void trim()
    {
        if (this->options.trimUncovered && this->chance(4) && !this->log.empty()) {
            this->oldest = std::max<std::uint64_t>(this->oldest, this->pickBelow(this->log.size() + 1));
        }
        while (this->oldest < this->log.size() && this->log[this->oldest].at + 3s < this->logTime()) {
            ++this->oldest;
        }
    }

    void applyLateAppends()
    {
        for (const ClaimAppend &append : std::exchange(this->lateAppends, {})) {
            this->write(append);
        }
    }

    std::uint64_t write(const ClaimAppend &append)
    {
        const std::uint64_t first = this->log.size();
        for (const auto &[written, record] : append.records) {
            this->log.push_back({this->log.size(), this->logTime(), written, record});
        }
        return first;
    }

    void deliverOne()
    {
        if (this->operations.empty()) {
            return;
        }
        const std::size_t index = this->pickBelow(this->operations.size());
        const Operation operation = this->operations[index];
        this->operations.erase(this->operations.begin() + static_cast<std::ptrdiff_t>(index));
        if (const auto *append = std::get_if<ClaimAppend>(&operation.action)) {
            const Result<ClaimAck> result = this->simulateAppend(*append);
            if (Host &host = this->hosts[operation.host]; host.writer == operation.writer) {
                this->handleActions(operation.host, host.keeper->onAppended(append->id, result, this->now));
            }
        } else if (Host &host = this->hosts[operation.host]; host.writer == operation.writer) {
            const Result<ClaimBatch> result = this->simulateRead(std::get<ClaimRead>(operation.action).from);
            this->handleActions(operation.host, host.keeper->onRead(result, this->now));
        }
    }

    Result<ClaimAck> simulateAppend(const ClaimAppend &append)
    {
        const Error lost {ErrorKind::OutcomeUnknown, "answer lost"};
        if (this->outage) {
            return this->chance(2) ? lost : Error {ErrorKind::LogUnavailable, "outage"};
        }
        switch (this->options.faults ? this->pickBelow(20) : 19) {
        case 0:
            return Error {ErrorKind::LogUnavailable, "refused"};
        case 1:
            return lost;
        case 2:
            this->lateAppends.push_back(append);
            return lost;
        case 3:
        case 4:
            this->write(append);
            return lost;
        default:
            return ClaimAck {this->write(append), this->logTime()};
        }
    }

    Result<ClaimBatch> simulateRead(std::uint64_t from)
    {
        if (this->outage || (this->options.faults && this->chance(12))) {
            return Error {ErrorKind::LogUnavailable, "outage"};
        }
        ClaimBatch batch;
        batch.end = this->log.size();
        batch.oldest = this->oldest;
        batch.trimmed = from < this->oldest;
        if (batch.trimmed) {
            return batch;
        }
        const std::uint64_t most = from + (this->options.faults ? 1 + this->pickBelow(30) : 1000);
        for (std::uint64_t i = from; i < std::min<std::uint64_t>(most, this->log.size()); ++i) {
            batch.records.push_back(this->log[i]);
        }
        return batch;
    }

    ModelOptions options;
    std::mt19937 random;
    TimePoint now {10s};
    std::array<Host, 3> hosts;
    std::uint64_t lastWriter = 0;
    ClaimTicket lastTicket = 0;
    std::map<ClaimTicket, Run> runs;
    std::map<ClaimTicket, ClaimDecision> verdicts;
    std::vector<Operation> operations;
    std::vector<ClaimAppend> lateAppends;
    std::vector<ClaimLogRecord> log;
    std::uint64_t oldest = 0;
    bool outage = false;
};

ClaimModel randomModel(const ModelOptions &options)
{
    ClaimModel model(*rc::gen::arbitrary<std::uint32_t>(), options);
    const auto steps = *rc::gen::inRange(0, 1500);
    for (int i = 0; i < steps; ++i) {
        model.step();
        RC_ASSERT(model.digestsAgree());
    }
    return model;
}

std::uint64_t violated(Invariant invariant)
{
    return invariantCount(invariant).violated;
}

} // namespace

TEST_CASE("under faults no request runs twice, and no request that was reported as not run has run")
{
    const std::uint64_t before = invariantViolations();
    CHECK(rc::check("at most one run", [] {
        ModelOptions options;
        options.trimUncovered = *rc::gen::arbitrary<bool>();
        options.slow = *rc::gen::arbitrary<bool>();
        ClaimModel model = randomModel(options);
        RC_ASSERT(model.mostExecutions() <= 1U);
        RC_ASSERT_FALSE(model.ranAfterRefusal());
        RC_ASSERT_FALSE(model.wrongAnswer);
        RC_CLASSIFY(model.mostExecutions() > 0, "ran");
        RC_CLASSIFY(model.verdictCount(ClaimDecision::Recorded) > 0, "recorded");
        RC_CLASSIFY(model.verdictCount(ClaimDecision::Granted) > 2, "granted more than twice");
        RC_CLASSIFY(model.verdictCount(ClaimDecision::Refused) > 0, "refused");
        RC_CLASSIFY(model.verdictCount(ClaimDecision::InProgress) > 0, "in progress");
        RC_CLASSIFY(model.verdictCount(ClaimDecision::OutcomeUnknown) > 0, "outcome unknown");
        model.runWithoutFaults();
        RC_ASSERT(model.mostExecutions() <= 1U);
        RC_ASSERT_FALSE(model.ranAfterRefusal());
        RC_ASSERT_FALSE(model.wrongAnswer);
    }));
    CHECK(invariantViolations() == before);
}

TEST_CASE("after the faults, a request that has not run is granted and one that has run is answered")
{
    CHECK(rc::check("no key stays blocked", [] {
        ModelOptions options;
        options.deaths = false;
        options.slow = *rc::gen::arbitrary<bool>();
        ClaimModel model = randomModel(options);
        model.runWithoutFaults();
        RC_CLASSIFY(model.historyLost(), "history lost");
        for (const std::string &key : std::set<std::string>(model.keys)) {
            const bool ran = model.executions(key) > 0;
            const ClaimDecision decision = model.probe(key);
            if (model.historyLost()) {
                RC_ASSERT(decision == ClaimDecision::Refused);
                continue;
            }
            const bool answered = decision == ClaimDecision::Recorded || decision == ClaimDecision::OutcomeUnknown;
            RC_ASSERT((ran ? answered : decision == ClaimDecision::Granted));
        }
    }));
}

TEST_CASE("a host answers a repeated request from its own run before the outcome is in the log")
{
    ClaimKeeper keeper("host-a", 1, keeperLimits(), std::make_unique<ClaimFold>(ModelLimits));
    TimePoint now {10s};
    const ClaimRequest ask {"puu", "k", requestFingerprint("POST", "/order", "{}"), 2000ms};
    keeper.tick(now);
    keeper.onRead(ClaimBatch {}, now);
    const ClaimActions claimed = keeper.begin(1, ask, now);
    REQUIRE(std::get<ClaimAppend>(claimed.front()).records.front().first == AttemptId {1, 1});
    ClaimBatch batch;
    batch.end = 1;
    batch.records.push_back({0, LogTime(1s), {1, 1}, Claim {{1, 1}, "puu", "k", ask.fingerprint, "host-a", 2000ms}});
    keeper.onAppended(0, ClaimAck {0, LogTime(1s)}, now);
    const ClaimActions granted = keeper.onRead(batch, now);
    REQUIRE(std::get<ClaimVerdict>(granted.front()).decision == ClaimDecision::Granted);
    REQUIRE(keeper.startRun(1, now));
    keeper.finish(1, OutcomeKind::Answered, {200, {}, "done"}, now);
    const ClaimActions again = keeper.begin(2, ask, now);
    const auto &verdict = std::get<ClaimVerdict>(again.front());
    CHECK(verdict.decision == ClaimDecision::Recorded);
    CHECK(verdict.answer->body == "done");
    CHECK_FALSE(keeper.isIdle());
}

TEST_CASE("the model detects two runs when the fold lets a second claim win")
{
    const std::uint64_t before = violated(Invariant::OneWinningClaim);
    bool found = false;
    for (std::uint32_t seed = 0; seed < 50 && !found; ++seed) {
        ModelOptions options;
        options.lastClaimWins = true;
        ClaimModel model(seed, options);
        for (int i = 0; i < 1500; ++i) {
            model.step();
        }
        found = model.mostExecutions() > 1;
    }
    CHECK(found);
    CHECK(violated(Invariant::OneWinningClaim) > before);
}

TEST_CASE("the model detects a run after a refusal when the host sends a request whose grant is void")
{
    const std::uint64_t before = violated(Invariant::AtMostOneRun);
    bool found = false;
    for (std::uint32_t seed = 0; seed < 50 && !found; ++seed) {
        ModelOptions options;
        options.sendsAfterRefusal = true;
        ClaimModel model(seed, options);
        for (int i = 0; i < 1500; ++i) {
            model.step();
        }
        found = model.ranAfterRefusal();
    }
    CHECK(found);
    CHECK(violated(Invariant::AtMostOneRun) >= before);
}
