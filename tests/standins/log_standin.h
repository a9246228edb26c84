#pragma once

#include "standin.h"

#include <chrono>
#include <deque>

namespace endivespan::standins {

/// The platform's log service: append-only streams with limited retention, a rate limit and outages.
class LogStandIn : public StandIn
{
public:
    LogStandIn(Loop &loop, const std::string &name);

    [[nodiscard]] json counts() const override;

protected:
    void handle(const ExchangePtr &exchange) override;
    void dropWork() override;

private:
    struct Record {
        std::int64_t atMs;
        std::string data; ///< Base64, as received.
    };

    struct Stream {
        std::uint64_t oldest = 0;
        std::int64_t lastMs = 0;
        std::deque<Record> records;

        [[nodiscard]] std::uint64_t end() const
        {
            return this->oldest + this->records.size();
        }
    };

    struct Reader {
        std::string stream;
        std::uint64_t from;
        std::size_t max;
        ExchangePtr exchange;
    };

    bool refuseInOutage(const ExchangePtr &exchange);
    bool takeRate();
    void append(const std::string &stream, const ExchangePtr &exchange);
    void read(const std::string &stream, const ExchangePtr &exchange);
    void answerRead(const Reader &reader);
    void wakeReaders(const std::string &stream);
    void trim(Stream &stream) const;

    std::map<std::string, Stream> streams;
    std::map<std::uint64_t, Reader> readers;
    std::uint64_t nextReader = 0;
    std::uint64_t retainRecords = 1'000'000;
    Duration retainFor = std::chrono::hours(24);
    double appendsPerSecond = 500;
    double rateTokens = 0;
    TimePoint rateRefilled {};
    std::string outage = "none";
    std::int64_t loseAnswers = 0;
    std::uint64_t appends = 0;
    std::uint64_t appendedRecords = 0;
    std::uint64_t refusedByRate = 0;
    std::uint64_t refusedInOutage = 0;
    std::uint64_t lostAnswers = 0;
    std::uint64_t reads = 0;
};

} // namespace endivespan::standins
