#include "json_call_p.h"

#include <endivespan/store_client.h>

namespace endivespan {

namespace {

using nlohmann::json;

StorePage parsePage(const json &body, std::size_t maxPieces)
{
    StorePage page;
    page.incarnation = body.at("incarnation").get<std::string>();
    const json &pieces = body.at("pieces");
    for (const json &entry : pieces) {
        const auto &name = entry.at("piece").get_ref<const std::string &>();
        page.pieces.push_back({PieceKey::fromHex(name),
                               entry.at("generation").get<std::uint64_t>(),
                               entry.at("bytes").get<std::uint64_t>()});
        page.last = name;
    }
    if (pieces.size() < maxPieces) {
        page.last.clear();
    }
    return page;
}

StoreLoad parseStoreLoad(const json &body)
{
    StoreLoad load;
    load.incarnation = body.at("incarnation").get<std::string>();
    load.capacityBytes = body.value("capacity_bytes", std::uint64_t {0});
    load.usedBytes = body.value("used_bytes", std::uint64_t {0});
    load.linkBytesPerSecond = body.value("link_bytes_per_s", 0.0);
    load.linkQueuedBytes = body.value("link_queued_bytes", std::uint64_t {0});
    return load;
}

class HttpStoreClient : public StoreClient
{
public:
    explicit HttpStoreClient(Loop &loop)
        : calls(loop)
    {
    }

    void list(const std::string &address,
              const std::string &after,
              std::size_t maxPieces,
              std::function<void(Result<StorePage>)> done) override
    {
        const std::string target = "/pieces?after=" + after + "&max=" + std::to_string(maxPieces);
        askJson(this->calls, address, "GET", target, {}, [done, maxPieces](const Result<json> &body) {
            passParsed(
                body, [maxPieces](const json &fields) { return parsePage(fields, maxPieces); }, done);
        });
    }

    void load(const std::string &address, std::function<void(Result<StoreLoad>)> done) override
    {
        askJson(this->calls, address, "GET", "/load", {}, [done](const Result<json> &body) {
            passParsed(body, &parseStoreLoad, done);
        });
    }

    void pin(const std::string &address,
             const PieceKey &piece,
             std::uint64_t generation,
             std::chrono::milliseconds time,
             std::function<void(Result<void>)> done) override
    {
        const json order {{"piece", piece.hex()}, {"generation", generation}, {"ms", time.count()}};
        askJson(
            this->calls, address, "POST", "/pin", order, [done](const Result<json> &body) { passVoid(body, done); });
    }

    void remove(const std::string &address,
                const PieceKey &piece,
                std::uint64_t generation,
                std::function<void(Result<void>)> done) override
    {
        const std::string target = "/pieces/" + piece.hex() + "?generation=" + std::to_string(generation);
        askJson(this->calls, address, "DELETE", target, {}, [done](const Result<json> &body) { passVoid(body, done); });
    }

private:
    CallGroup calls;
};

} // namespace

std::unique_ptr<StoreClient> StoreClient::create(Loop &loop)
{
    return std::make_unique<HttpStoreClient>(loop);
}

} // namespace endivespan
