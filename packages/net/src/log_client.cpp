#include <endivespan/base64.h>
#include <endivespan/call_group.h>
#include <endivespan/config.h>
#include <endivespan/log_client.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace endivespan {

namespace {

using nlohmann::json;

LogTime logTime(const json &value)
{
    return LogTime(std::chrono::milliseconds(value.get<std::int64_t>()));
}

Result<LogAppendAck> parseAck(const HttpAnswer &answer)
{
    if (answer.status == 429 || answer.status == 503) {
        return Error {ErrorKind::LogUnavailable,
                      "log refused the append with HTTP status " + std::to_string(answer.status)};
    }
    const json body = json::parse(answer.body, nullptr, false);
    if (answer.status != 200 || !body.is_object() || !body.contains("first") || !body.contains("at_ms")) {
        return Error {ErrorKind::OutcomeUnknown, "log answered with HTTP status " + std::to_string(answer.status)};
    }
    return LogAppendAck {body["first"].get<std::uint64_t>(), logTime(body["at_ms"])};
}

Result<LogBatch> parseBatch(const HttpAnswer &answer)
{
    const json body = json::parse(answer.body, nullptr, false);
    if (!body.is_object() || (answer.status != 200 && answer.status != 410)) {
        return Error {ErrorKind::LogUnavailable, "log answered with HTTP status " + std::to_string(answer.status)};
    }
    try {
        LogBatch batch;
        batch.oldest = body.at("oldest").get<std::uint64_t>();
        if (answer.status == 410) {
            batch.trimmed = true;
            return batch;
        }
        batch.next = body.at("next").get<std::uint64_t>();
        batch.end = body.at("end").get<std::uint64_t>();
        for (const json &entry : body.at("records")) {
            auto bytes = fromBase64(entry.at("data").get_ref<const std::string &>());
            if (!bytes) {
                return bytes.error();
            }
            batch.records.push_back(
                {entry.at("offset").get<std::uint64_t>(), logTime(entry.at("at_ms")), std::move(bytes.value())});
        }
        return batch;
    } catch (const json::exception &problem) {
        return Error {ErrorKind::LogUnavailable, problem.what()};
    }
}

class HttpLogClient : public LogClient
{
public:
    HttpLogClient(Loop &loop, std::string address)
        : address(std::move(address))
        , calls(loop)
    {
    }

    void append(const std::string &stream,
                const std::vector<std::string> &records,
                std::function<void(Result<LogAppendAck>)> done) override
    {
        json encoded = json::array();
        for (const std::string &record : records) {
            encoded.push_back(toBase64(record));
        }
        HttpCall call = this->callTo("POST", "/streams/" + stream + "/append");
        call.body = json {{"records", encoded}}.dump();
        this->calls.start(call, [done](const auto &answer, const auto &failure) {
            if (answer) {
                done(parseAck(*answer));
                return;
            }
            const ErrorKind kind = failure->requestSent ? ErrorKind::OutcomeUnknown : ErrorKind::LogUnavailable;
            done(Error {kind, failure->error.detail});
        });
    }

    void read(const std::string &stream,
              std::uint64_t from,
              std::size_t maxRecords,
              std::chrono::milliseconds wait,
              std::function<void(Result<LogBatch>)> done) override
    {
        HttpCall call = this->callTo("GET",
                                     "/streams/" + stream + "/read?from=" + std::to_string(from) + "&max="
                                         + std::to_string(maxRecords) + "&wait_ms=" + std::to_string(wait.count()));
        call.silenceTimeout += wait;
        this->calls.start(call, [done](const auto &answer, const auto &failure) {
            if (answer) {
                done(parseBatch(*answer));
            } else {
                done(Error {ErrorKind::LogUnavailable, failure->error.detail});
            }
        });
    }

private:
    [[nodiscard]] HttpCall callTo(const std::string &method, const std::string &target) const
    {
        HttpCall call;
        call.address = this->address;
        call.method = method;
        call.target = target;
        call.connectTimeout = config::ConnectTimeout;
        call.silenceTimeout = config::LogCallTimeout;
        return call;
    }

    std::string address;
    CallGroup calls;
};

} // namespace

std::unique_ptr<LogClient> LogClient::create(Loop &loop, const std::string &address)
{
    return std::make_unique<HttpLogClient>(loop, address);
}

} // namespace endivespan
