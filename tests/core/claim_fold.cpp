#include <endivespan/claim.h>
#include <endivespan/claim_codec.h>
#include <endivespan/invariant.h>

#include <doctest/doctest.h>

#include <rapidcheck.h>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

constexpr auto Window = 1000ms;
const ClaimLimits SmallLimits {Window, 1000, 1000};

Claim claimOf(std::uint64_t attempt, const std::string &key, std::chrono::milliseconds runLimit = 100ms)
{
    return {{1, attempt}, "puu", key, requestFingerprint("POST", "/order", "{}"), "host-a", runLimit};
}

ClaimAbandon abandonOf(std::uint64_t attempt, const std::string &key)
{
    return {{1, attempt}, claimName("puu", key)};
}

ClaimOutcome outcomeOf(std::uint64_t attempt, const std::string &key)
{
    return {{1, attempt}, claimName("puu", key), OutcomeKind::Answered, {200, {{"x", "y"}}, "done"}};
}

LogTime logTime(std::int64_t milliseconds)
{
    return LogTime(std::chrono::milliseconds(milliseconds));
}

// Applies a record at the fold's position, as a log without gaps does.
ClaimEffect feed(ClaimFold &fold, std::int64_t at, const ClaimRecord &record)
{
    return fold.apply({fold.position(), logTime(at), {}, record});
}

ClaimView look(const ClaimFold &fold, const std::string &key, std::int64_t now)
{
    return fold.lookUp(claimName("puu", key), requestFingerprint("POST", "/order", "{}"), logTime(now));
}

// Returns a stream of random records. Keys and attempts are few, so that conflicts are frequent; each attempt always
// claims the same key.
std::vector<ClaimLogRecord> randomStream()
{
    const auto size = *rc::gen::inRange<std::size_t>(0, 60);
    std::vector<ClaimLogRecord> stream;
    std::int64_t at = 0;
    for (std::size_t i = 0; i < size; ++i) {
        at += *rc::gen::element(0, 1, 40, 300);
        const auto attempt = *rc::gen::inRange<std::uint64_t>(0, 12);
        const std::string key = "key-" + std::to_string(attempt % 3);
        const auto kind = *rc::gen::inRange(0, 10);
        ClaimRecord record = claimOf(attempt, key);
        if (kind >= 6) {
            record = abandonOf(attempt, key);
        }
        if (kind == 9) {
            record = std::monostate {};
        }
        stream.push_back({i, logTime(at), {1, i}, record});
    }
    return stream;
}

// Reference implementation of the fold's rule. It keeps no state but searches the whole stream for each record.
class ReferenceFold
{
public:
    explicit ReferenceFold(const std::vector<ClaimLogRecord> &stream)
        : stream(stream)
    {
        for (std::size_t i = 0; i < stream.size(); ++i) {
            this->won.push_back(this->wins(i));
        }
    }

    std::vector<bool> won;

private:
    [[nodiscard]] bool isInWindow(std::size_t earlier, std::size_t now) const
    {
        return this->stream[earlier].at + Window > this->stream[now].at;
    }

    [[nodiscard]] const Claim *claimAt(std::size_t i) const
    {
        return std::get_if<Claim>(&this->stream[i].record);
    }

    [[nodiscard]] bool abandonedBetween(const AttemptId &attempt, std::size_t from, std::size_t to) const
    {
        for (std::size_t i = from; i < to; ++i) {
            const auto *abandon = std::get_if<ClaimAbandon>(&this->stream[i].record);
            if (abandon != nullptr && abandon->attempt == attempt) {
                return true;
            }
        }
        return false;
    }

    // Whether the attempt of this claim already holds its key.
    [[nodiscard]] bool repeats(std::size_t now) const
    {
        const Claim *claim = this->claimAt(now);
        for (std::size_t i = 0; i < now; ++i) {
            if (this->won[i] && this->isInWindow(i, now) && this->claimAt(i)->attempt == claim->attempt
                && !this->abandonedBetween(claim->attempt, i, now)) {
                return true;
            }
        }
        return false;
    }

    [[nodiscard]] bool blocks(std::size_t earlier, std::size_t now) const
    {
        const Claim *claim = this->claimAt(now);
        const auto *abandon = std::get_if<ClaimAbandon>(&this->stream[earlier].record);
        if (abandon != nullptr) {
            return abandon->attempt == claim->attempt;
        }
        const Claim *other = this->claimAt(earlier);
        if (other == nullptr || other->key != claim->key) {
            return false;
        }
        if (other->attempt == claim->attempt) {
            return !this->repeats(earlier);
        }
        return this->won[earlier] && !this->abandonedBetween(other->attempt, earlier, now);
    }

    [[nodiscard]] bool wins(std::size_t now) const
    {
        if (this->claimAt(now) == nullptr) {
            return false;
        }
        for (std::size_t i = 0; i < now; ++i) {
            if (this->isInWindow(i, now) && this->blocks(i, now)) {
                return false;
            }
        }
        return true;
    }

    const std::vector<ClaimLogRecord> &stream;
};

} // namespace

TEST_CASE("a claim wins in the fold exactly when it wins in the reference implementation")
{
    CHECK(rc::check("fold equals reference", [] {
        const auto stream = randomStream();
        const ReferenceFold rule(stream);
        ClaimFold fold(SmallLimits);
        for (std::size_t i = 0; i < stream.size(); ++i) {
            RC_ASSERT((fold.apply(stream[i]) == ClaimEffect::Won) == rule.won[i]);
        }
    }));
}

TEST_CASE("an attempt that lost never wins, not even after the holder has been abandoned")
{
    ClaimFold fold(SmallLimits);
    CHECK(feed(fold, 0, claimOf(1, "k")) == ClaimEffect::Won);
    CHECK(feed(fold, 1, claimOf(2, "k")) == ClaimEffect::Lost);
    CHECK(feed(fold, 2, abandonOf(1, "k")) == ClaimEffect::Freed);
    CHECK(look(fold, "k", 3).state == ClaimState::Free);
    CHECK(feed(fold, 3, claimOf(2, "k")) == ClaimEffect::Void);
    CHECK(feed(fold, 4, claimOf(3, "k")) == ClaimEffect::Won);
    CHECK(feed(fold, 5, claimOf(1, "k")) == ClaimEffect::Void);
}

TEST_CASE("an abandonment that is logged before its claim voids the claim")
{
    ClaimFold fold(SmallLimits);
    CHECK(feed(fold, 0, abandonOf(1, "k")) == ClaimEffect::None);
    CHECK(feed(fold, 1, claimOf(1, "k")) == ClaimEffect::Void);
    CHECK(feed(fold, 2, claimOf(2, "k")) == ClaimEffect::Won);
}

TEST_CASE("the state of a claimed name changes from in progress to recorded or to outcome unknown")
{
    ClaimFold fold(SmallLimits);
    feed(fold, 0, claimOf(1, "a"));
    feed(fold, 0, claimOf(2, "b"));
    CHECK(look(fold, "a", 50).state == ClaimState::InProgress);
    CHECK(look(fold, "a", 50).remaining == 50ms);
    CHECK(look(fold, "a", 100).state == ClaimState::OutcomeUnknown);
    feed(fold, 60, outcomeOf(1, "a"));
    const ClaimView recorded = look(fold, "a", 500);
    CHECK(recorded.state == ClaimState::Recorded);
    REQUIRE(recorded.answer);
    CHECK(recorded.answer->body == "done");
    CHECK(fold.lookUp(claimName("puu", "a"), requestFingerprint("POST", "/order", "{1}"), logTime(1)).state
          == ClaimState::KeyReused);
    CHECK(fold.lookUp(claimName("other", "a"), requestFingerprint("POST", "/order", "{}"), logTime(1)).state
          == ClaimState::Free);
    feed(fold, 70, ClaimOutcome {{1, 2}, claimName("puu", "b"), OutcomeKind::Unknown, {}});
    CHECK(look(fold, "b", 70).state == ClaimState::OutcomeUnknown);
}

TEST_CASE("memory is bounded: claims beyond the limit are refused and old answers are evicted")
{
    ClaimFold fold({Window, 2, 6});
    CHECK(feed(fold, 0, claimOf(1, "a")) == ClaimEffect::Won);
    CHECK(feed(fold, 0, claimOf(2, "b")) == ClaimEffect::Won);
    CHECK(feed(fold, 0, claimOf(3, "c")) == ClaimEffect::Full);
    feed(fold, 1, abandonOf(4, "d"));
    CHECK(fold.stats().voids == 0);
    feed(fold, 2, outcomeOf(1, "a"));
    feed(fold, 3, outcomeOf(2, "b"));
    CHECK(look(fold, "a", 4).state == ClaimState::AnswerNotKept);
    CHECK(look(fold, "b", 4).state == ClaimState::Recorded);
    CHECK(feed(fold, 1000, claimOf(5, "c")) == ClaimEffect::Won);
    CHECK(fold.stats().answerBytes == 0);
}

TEST_CASE("a fold that starts from a snapshot reaches the state of one that read the whole stream")
{
    CHECK(rc::check("snapshot equals whole stream", [] {
        const auto stream = randomStream();
        const auto cut = *rc::gen::inRange<std::size_t>(0, stream.size() + 1);
        ClaimFold whole(SmallLimits);
        std::vector<ClaimLogRecord> log;
        const auto append = [&log](LogTime at, const ClaimRecord &record) {
            const auto [written, decoded] = decodeClaimRecord(encodeClaimRecord({9, log.size()}, record));
            log.push_back({log.size(), at, written, decoded});
        };
        std::uint64_t through = 0;
        for (std::size_t i = 0; i <= stream.size(); ++i) {
            if (i == cut) {
                through = whole.position();
                for (const auto &chunk : whole.snapshot({7, 7}, 300)) {
                    append(whole.time(), chunk);
                    whole.apply(log.back());
                }
            }
            if (i < stream.size()) {
                append(stream[i].at, stream[i].record);
                whole.apply(log.back());
            }
        }
        RC_PRE(through > 0);
        const auto oldest = *rc::gen::inRange<std::uint64_t>(1, through + 1);
        ClaimFold late(SmallLimits);
        late.restart(oldest);
        while (late.position() < log.size()) {
            late.apply(log[late.position()]);
        }
        RC_ASSERT(late.isComplete());
        RC_ASSERT(late.position() == whole.position());
        RC_ASSERT(late.digest() == whole.digest());
    }));
}

TEST_CASE("a fold that starts late is incomplete until it has read a whole snapshot from its start offset or later")
{
    ClaimFold source(SmallLimits);
    feed(source, 0, claimOf(1, "a"));
    feed(source, 0, claimOf(2, "b"));
    const auto chunks = source.snapshot({7, 7}, 10);
    REQUIRE(chunks.size() == 2);
    ClaimFold late(SmallLimits);
    late.restart(3);
    CHECK(feed(late, 5, claimOf(3, "a")) == ClaimEffect::None);
    CHECK_FALSE(late.isComplete());
    CHECK(late.snapshot({7, 8}, 10).empty());
    feed(late, 6, chunks[0]);
    feed(late, 6, chunks[1]);
    CHECK_FALSE(late.isComplete());
    late.restart(1);
    feed(late, 6, claimOf(3, "a"));
    feed(late, 6, chunks[1]);
    CHECK_FALSE(late.isComplete());
    feed(late, 6, chunks[0]);
    CHECK(late.isComplete());
    CHECK(late.position() == 2);
    CHECK(late.digest() == source.digest());
}

TEST_CASE("records are unchanged by encoding and decoding, and arbitrary bytes can be decoded")
{
    const Claim claim = claimOf(5, "k");
    const auto [written, record] = decodeClaimRecord(encodeClaimRecord({~0ULL, 17}, claim));
    CHECK(written == AttemptId {~0ULL, 17});
    CHECK(std::get<Claim>(record) == claim);
    const ClaimOutcome outcome = outcomeOf(5, "k");
    CHECK(std::get<ClaimOutcome>(decodeClaimRecord(encodeClaimRecord({}, outcome)).second) == outcome);
    const ClaimAbandon abandon = abandonOf(5, "k");
    CHECK(std::get<ClaimAbandon>(decodeClaimRecord(encodeClaimRecord({}, abandon)).second) == abandon);
    CHECK(rc::check("any bytes can be decoded", [](const std::string &bytes) {
        const std::string cut = encodeClaimRecord({1, 2}, claimOf(5, "k")).substr(0, bytes.size());
        decodeClaimRecord(bytes);
        decodeClaimRecord(cut + bytes);
    }));
}

namespace {

// Faulty fold: a later claim takes the name from its holder.
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

std::uint64_t violated(Invariant invariant)
{
    return invariantCount(invariant).violated;
}

} // namespace

TEST_CASE("the invariant checks of the fold detect a second winner, a void attempt that ran and an abandoned run")
{
    const auto winsBefore = violated(Invariant::OneWinningClaim);
    LastClaimWinsFold faultyFold(SmallLimits);
    feed(faultyFold, 0, claimOf(1, "k"));
    CHECK(feed(faultyFold, 1, claimOf(2, "k")) == ClaimEffect::Won);
    CHECK(violated(Invariant::OneWinningClaim) == winsBefore + 1);

    const auto runsBefore = violated(Invariant::AtMostOneRun);
    ClaimFold fold(SmallLimits);
    feed(fold, 0, claimOf(1, "k"));
    feed(fold, 1, claimOf(2, "k"));
    feed(fold, 2, outcomeOf(2, "k"));
    CHECK(violated(Invariant::AtMostOneRun) == runsBefore + 1);

    const auto notRunBefore = violated(Invariant::NotRunIsTrue);
    feed(fold, 3, outcomeOf(1, "k"));
    feed(fold, 4, abandonOf(1, "k"));
    CHECK(violated(Invariant::NotRunIsTrue) == notRunBefore + 1);
    CHECK(look(fold, "k", 5).state == ClaimState::Recorded);
}
