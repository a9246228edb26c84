#include "engine_control.h"
#include "keyed_log_client.h"
#include "record_codec.h"
#include "request_codec.h"

#include <doctest/doctest.h>

#include <rapidcheck.h>

using namespace endivespan;
using namespace endivespan::platform;
using namespace std::chrono_literals;

namespace {

HttpRequest promptRequest()
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/puxa400/2f?x=1";
    request.headers = {{"host", "pule25.example"},
                       {"x-endivespan-request-id", "9c41"},
                       {"x-endivespan-model", "daka"},
                       {"x-endivespan-token-count", "1460,80"},
                       {"x-endivespan-prompt-prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250"},
                       {"x-endivespan-deadline-ms", "12000"},
                       {"api-key", "secret"},
                       {"connection", "keep-alive, X-Hop"},
                       {"x-hop", "1"},
                       {"x-other", "2"},
                       {"x-endivespan-tenant", "forged"},
                       {"x-endivespan-kv-fetch", "10.0.0.1:1"},
                       {"x-endivespan-hold", "h"},
                       {"kv-from", "f"},
                       {"x-endivespan-cache-salt", "s"}};
    return request;
}

std::string entry(const std::string &changed = "")
{
    return R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":64,"state":"ready",)"
           R"("cold_ms":250.5,"stage":"prefill_decode","models":[{"name":"m","version":3,"adapters":[]}],"seq":4,)"
           R"("born":1700000000000)"
        + changed + "}";
}

} // namespace

TEST_CASE("decoding a request reads its fields and drops the headers that only the system may set")
{
    const RequestCodec codec;
    const auto decoded = codec.decodeRequest(promptRequest());
    REQUIRE(decoded);
    const ForwardRequest &request = decoded.value();
    CHECK(request.id == "9c41");
    CHECK(request.host == "pule25.example");
    CHECK(request.path == "/puxa400/2f");
    CHECK(request.key == "secret");
    CHECK(request.deadline == 12000ms);
    CHECK(request.answerTokens == 80);
    REQUIRE(request.parts.size() == 3);
    CHECK(request.parts[1].id == "91bd3f06");
    CHECK(request.parts[1].tokens == 410);
    ForwardDispatch dispatch;
    dispatch.server = "i-1";
    dispatch.organisation = "real";
    dispatch.timeLeft = 900ms;
    dispatch.priority = 12;
    dispatch.cacheScope = "m/3/";
    dispatch.weights = 3;
    dispatch.transfers.fetch = {"10.0.0.2:2", ""};
    dispatch.transfers.save = {"", "10.0.0.3:3"};
    dispatch.transfers.fetchUntil = 777ms;
    const HttpHeaders sent = codec.encodeDispatch(request, dispatch);
    const HttpHeaders wanted {{"host", "pule25.example"},
                              {"x-endivespan-request-id", "9c41"},
                              {"x-endivespan-model", "daka"},
                              {"x-endivespan-token-count", "1460,80"},
                              {"x-endivespan-prompt-prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250"},
                              {"x-other", "2"},
                              {"x-endivespan-deadline-ms", "900"},
                              {"x-endivespan-expect-instance", "i-1"},
                              {"x-endivespan-tenant", "real"},
                              {"x-endivespan-request-priority", "9"},
                              {"x-endivespan-cache-salt", "m/3/"},
                              {"x-endivespan-expect-version", "3"},
                              {"x-endivespan-kv-fetch", "10.0.0.2:2,-,-"},
                              {"x-endivespan-kv-save", "-,10.0.0.3:3,-"},
                              {"x-endivespan-kv-until", "777"}};
    CHECK(sent == wanted);
}

TEST_CASE("requests with malformed header fields are rejected")
{
    const RequestCodec codec;
    for (const auto &field :
         std::vector<std::pair<std::string, std::string>> {{"x-endivespan-request-id", ""},
                                                           {"x-endivespan-deadline-ms", "soon"},
                                                           {"x-endivespan-deadline-ms", "-5"},
                                                           {"x-endivespan-deadline-ms", "nan"},
                                                           {"x-endivespan-token-count", "5"},
                                                           {"x-endivespan-token-count", "5,x"},
                                                           {"x-endivespan-prompt-prefix", "a"},
                                                           {"x-endivespan-prompt-prefix", "a:1,,b:2"},
                                                           {"x-endivespan-prompt-prefix", "a:-1"}}) {
        CAPTURE(field.first);
        CAPTURE(field.second);
        HttpRequest request = promptRequest();
        request.headers[field.first] = field.second;
        CHECK_FALSE(codec.decodeRequest(request));
    }
}

TEST_CASE("an answer counts as not run only if the server says so, and as genuine only with the server's seal")
{
    const RequestCodec codec;
    CHECK(codec.decodeAnswer(503, {{"x-endivespan-not-executed", "1"}}).notRun);
    CHECK(codec.decodeAnswer(421, {{"x-endivespan-instance-id", "i-2"}}).notRun);
    CHECK(codec.decodeAnswer(421, {{"x-endivespan-instance-id", "i-2"}}).server == "i-2");
    CHECK_FALSE(codec.decodeAnswer(503, {}).notRun);
    CHECK_FALSE(codec.decodeAnswer(500, {}).notRun);
    CHECK(codec.decodeAnswer(200, {{"x-endivespan-server-seal", "s"}}).genuine);
    CHECK_FALSE(codec.decodeAnswer(200, {}).genuine);
    CHECK_FALSE(codec.decodeAnswer(200, {{"x-endivespan-server-seal", "s"}, {"content-encoding", "gzip"}}).genuine);
    CHECK(codec.decodeAnswer(200, {{"x-endivespan-server-load", "3,1,8"}}).load->waiting == 1);
    CHECK_FALSE(codec.decodeAnswer(200, {{"x-endivespan-server-load", "3,x,8"}}).load);
    CHECK_FALSE(codec.decodeAnswer(200, {{"x-endivespan-server-load", ""}}).load);
    CHECK(codec.belongs("a", {{"x-endivespan-request-id", "a"}}));
    CHECK_FALSE(codec.belongs("a", {{"x-endivespan-request-id", "b"}}));
    CHECK(codec.encodeRetryAfter(1250ms) == "1.250");
}

// Guards against the loss of the whole load report at servers that report their pace as a fourth figure: then no engine
// ever counts as full.
TEST_CASE("a load report has three or four figures, and a bad fourth one is ignored")
{
    const platform::RequestCodec codec;
    const auto load = [&codec](const std::string &text) {
        return codec.decodeAnswer(200, {{"x-endivespan-server-load", text}}).load;
    };
    REQUIRE(load("3,1,8,250"));
    CHECK(load("3,1,8,250")->running == 3);
    CHECK(load("3,1,8,250")->waiting == 1);
    CHECK(load("3,1,8,250")->slots == 8);
    CHECK(load("3,1,8,250")->pace == 2.5);
    CHECK(load("3, 1, 8, 87.5")->pace == 0.875);
    CHECK(load("3,1,8,1")->pace == 0.01);
    CHECK(load("3,1,8,10000")->pace == 100);
    for (const char *pace : {"", "x", "0", "0.9", "-100", "10001", "nan", "inf", "1e999", "100%"}) {
        CAPTURE(pace);
        const auto report = load(std::string("3,1,8,") + pace);
        REQUIRE(report);
        CHECK(report->slots == 8);
        CHECK_FALSE(report->pace);
    }
    REQUIRE(load("3,1,8"));
    CHECK_FALSE(load("3,1,8")->pace);
    for (const char *text : {"3,1", "3,1,8,100,5", "3,x,8,100", "-3,1,8,100", ",1,8,100", "3,1,,100"}) {
        CAPTURE(text);
        CHECK_FALSE(load(text));
    }
}

TEST_CASE("the cold time in an answer is read only if it is a number, and is capped")
{
    const platform::RequestCodec codec;
    const auto coldFor = [&codec](const std::string &text) {
        return codec.decodeAnswer(200, {{"x-endivespan-cold-ms", text}}).coldFor;
    };
    CHECK_FALSE(codec.decodeAnswer(200, {}).coldFor);
    CHECK(coldFor("0") == 0ms);
    CHECK(coldFor("1499.5") == 1500ms);
    CHECK(coldFor("1e300") == config::ColdMost);
    for (const char *text : {"", "-1", "nan", "soon", "5, 5", "1 s"}) {
        CAPTURE(text);
        CHECK_FALSE(coldFor(text));
    }
}

TEST_CASE("malformed server entries are rejected")
{
    const StoreRecordCodec codec;
    const auto good = codec.decodeServer("i-1", entry());
    REQUIRE(good);
    CHECK(good.value().coldFor == 250500us);
    CHECK(good.value().weights.at("m") == 3);
    CHECK(good.value().born == 1700000000000);
    for (const std::string &bad : {std::string("{"),
                                   std::string("[]"),
                                   std::string("\xff\xfe"),
                                   std::string(R"({"service":"s"})"),
                                   entry(R"(,"state":"asleep")"),
                                   entry(R"(,"born":"x")"),
                                   entry(R"(,"born":1.5)"),
                                   entry(R"(,"seq":-1)"),
                                   entry(R"(,"slots":"many")"),
                                   entry(R"(,"cold_ms":null)"),
                                   entry(R"(,"address":7)"),
                                   entry(R"(,"models":[{"name":"m"}])"),
                                   entry(R"(,"models":[{"name":"m","version":-1}])"),
                                   entry(R"(,"models":[{"name":"m","version":1.5}])"),
                                   entry(R"(,"slots":4294967296)"),
                                   entry(R"(,"born":1e400)"),
                                   entry(R"(,"seq":18446744073709551616)"),
                                   entry(R"(,"cold_ms":-1)"),
                                   entry(R"(,"address":"10.0.0.9")"),
                                   entry(R"(,"address":"10.0.0.9:")"),
                                   entry(R"(,"address":"10.0.0.9:0")"),
                                   entry(R"(,"address":"10.0.0.9:-1")"),
                                   entry(R"(,"address":"10.0.0.9:65536")"),
                                   entry(R"(,"address":"10.0.0.9:80x")"),
                                   entry(R"(,"address":":80")"),
                                   entry(R"(,"address":"host:80")"),
                                   entry(R"(,"service":"")"),
                                   std::string(100'000, '['),
                                   entry(R"(,"models":)" + std::string(100'000, '[') + std::string(100'000, ']')),
                                   entry(R"(,"other":)" + std::string(100'000, '9'))}) {
        CAPTURE(bad.substr(0, 200));
        const auto decoded = codec.decodeServer("i-1", bad);
        CHECK_FALSE(decoded);
        CHECK((decoded || decoded.error().detail.size() < 300));
    }
    CHECK(codec.decodeServer("i-1", entry(R"(,"cold_ms":1e300)")).value().coldFor == config::ColdMost);
}

TEST_CASE("configuration, evacuation and weights records of operators are decoded")
{
    const StoreRecordCodec codec;
    const auto config = codec.decodeOperator("config", R"({"version":7,"routes":[
        {"name":"a","host":"h","path_prefix":"/a/","type":"streaming","timeout_ms":10000,"aim_ms":400,"priority":1,
         "service":"s","max_attempts":2,"public":false,"sticky":true,"resumable":true,"target_gap_ms":400},
        {"name":"b","host":"h","path_prefix":"/a/b/","type":"non_idempotent","timeout_ms":1000,"priority":2,
         "split":[{"service":"s","weight":90},{"service":"t","weight":10}],"max_attempts":1}],
        "services":[{"name":"s","cold_s":3.0,"cold_per_s":16.0,"engine":{"slots":64,"kv_capacity_tokens":131659}},
        {"name":"k","kv_store_addr":"172.20.0.6:8006","zone":"z","kv_capacity_tokens":372838}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":[{"name":"o","api_keys":["k1","k2"],"priority":1},{"name":"p","api_keys":["k3"],"isolated":true}]})");
    REQUIRE(config);
    const auto &decoded = *std::get<std::shared_ptr<const ForwardConfig>>(config.value());
    CHECK(decoded.version == 7);
    CHECK(decoded.route("h", "/a/x")->name == "a");
    CHECK(decoded.route("h", "/a/b/x")->name == "b");
    CHECK(decoded.route("h", "/ab") == nullptr);
    CHECK(decoded.route("g", "/a/x") == nullptr);
    CHECK(decoded.routes[0].repeat == RepeatRule::Resumable);
    CHECK(decoded.routes[1].repeat == RepeatRule::Once);
    CHECK(decoded.organisationOfKey("k2")->name == "o");
    CHECK(decoded.organisationOfKey("k3")->isolated);
    CHECK(decoded.organisationOfKey("k4") == nullptr);
    CHECK(decoded.stores.size() == 1);
    CHECK(decoded.limits.idleTimeout == 15s);
    CHECK_FALSE(codec.decodeOperator("config", R"({"version":"x"})"));
    const auto evacuation = codec.decodeOperator("evacuate/z", "{}");
    CHECK(std::get<EvacuationRecord>(evacuation.value()).inForce);
    CHECK_FALSE(std::get<EvacuationRecord>(codec.decodeOperator("evacuate/z", std::nullopt).value()).inForce);
    CHECK(std::get<WeightsRecord>(codec.decodeOperator("version/m", R"({"model":"m","version":2})").value()).version
          == 2);
    CHECK(std::holds_alternative<std::monostate>(codec.decodeOperator("other", "x").value()));
}

TEST_CASE("bodies of log reads are decoded, with deleted keys, with gaps and truncated at any byte")
{
    const std::string head = std::string(7, '\0') + "\x05" + std::string(7, '\0') + "\x02";
    const std::string records = encodeRecord(encodeKeyed("k", "value")) + encodeRecord(encodeKeyed("gone", ""));
    const auto batch = decodeRecords(head + records, 3, true);
    REQUIRE(batch);
    CHECK(batch.value().end == 5);
    CHECK(batch.value().next == 5);
    CHECK_FALSE(batch.value().gap);
    CHECK(batch.value().records[0].value == "value");
    CHECK_FALSE(batch.value().records[1].value);
    CHECK(decodeRecords(head, 1, true).value().gap);
    for (std::size_t size = 0; size < head.size() + records.size(); ++size) {
        const auto cut = decodeRecords((head + records).substr(0, size), 3, true);
        const bool atRecord = size == head.size() || size == head.size() + records.size() / 2 + 1;
        CAPTURE(size);
        CHECK((!cut || atRecord || cut.value().next < 5));
    }
}

TEST_CASE("arbitrary bytes are decoded or rejected without a crash")
{
    CHECK(rc::check([](const std::string &bytes, std::uint64_t from) {
        (void)decodeRecords(bytes, from, true);
        (void)decodeRecords(bytes, from, false);
        (void)decodeState(bytes);
        (void)decodeEvents(bytes);
        (void)decodeList(bytes);
        const StoreRecordCodec records;
        (void)records.decodeServer("i", bytes);
        (void)records.decodeOperator("config", bytes);
        (void)records.decodeOperator("version/m", bytes);
        HttpRequest request = promptRequest();
        request.headers["x-endivespan-prompt-prefix"] = bytes;
        request.headers["x-endivespan-token-count"] = bytes;
        const RequestCodec codec;
        (void)codec.decodeRequest(request);
        (void)codec.decodeAnswer(200, {{"x-endivespan-server-load", bytes}, {"connection", bytes}});
    }));
}

TEST_CASE("events and lists of stores and states of engines are decoded")
{
    const auto events = decodeEvents(
        R"({"epoch":77120,"next":120,"lost":false,"clock_ms":5000.5,"events":[[119,"+","s1","5c",800,"m"],[120,"-","s1","91",128,"m"]]})");
    REQUIRE(events);
    CHECK_FALSE(events.value().gap);
    CHECK(decodeEvents(R"({"epoch":1,"next":2,"lost":true,"events":[]})").value().gap);
    CHECK(decodeList(R"({"epoch":1,"next":2,"held":[["s1","5c",800,"m"]]})").value().events[0].tokens == 800);
    CHECK(events.value().clock == 5000ms);
    CHECK(events.value().events[0].stored);
    CHECK_FALSE(events.value().events[1].stored);
    const auto state = decodeState(R"({"stage":"p","models":[{"name":"m","version":1}],"busy":true,"seq":2})");
    REQUIRE(state);
    CHECK(state.value().busy);
    CHECK(state.value().ordersAccepted == 2);
}
