#pragma once

#include "shared_link.h"
#include "standin.h"

namespace endivespan::standins {

/// A store host for cache pieces: pieces become visible when sealed, over one shared link.
class StoreStandIn : public StandIn
{
public:
    StoreStandIn(Loop &loop, const std::string &name);

    [[nodiscard]] json counts() const override;

protected:
    void handle(const ExchangePtr &exchange) override;
    void dropWork() override;

private:
    struct Piece {
        std::uint64_t generation = 0;
        std::uint64_t bytes = 0; ///< Bytes that the piece stands for.
        std::string body;
        std::string checksum;
        bool sealed = false;
        TimePoint sealedAt;
        TimePoint pinnedUntil;
    };

    void handlePiece(const ExchangePtr &exchange, const std::string &name);
    void put(const ExchangePtr &exchange, const std::string &name);
    void seal(const ExchangePtr &exchange, const std::string &name, std::uint64_t generation);
    void get(const ExchangePtr &exchange, const std::string &name, std::uint64_t generation);
    void sendPiece(const ExchangePtr &exchange, const std::string &name, std::uint64_t generation);
    void remove(const ExchangePtr &exchange, const std::string &name, std::uint64_t generation);
    void pin(const ExchangePtr &exchange);
    void list(const ExchangePtr &exchange);
    void cutTransfers();
    void freePiece(const std::string &name);
    Piece *sealedPiece(const std::string &name, std::uint64_t generation);

    std::map<std::string, Piece> pieces;
    std::map<std::uint64_t, ExchangePtr> transfers; ///< Under way on the link.
    std::uint64_t nextTransfer = 0;
    std::uint64_t lastGeneration = 0;
    std::uint64_t capacityBytes = 64'000'000'000;
    std::uint64_t usedBytes = 0;
    Duration listLag {};
    SharedLink link;
    std::uint64_t keepPercent = 0; ///< Share of the pieces that a restart leaves.
    std::uint64_t corruptReads = 0; ///< So many next reads get bytes that do not match the checksum.
    std::uint64_t puts = 0;
    std::uint64_t gets = 0;
    std::uint64_t deletes = 0;
    std::uint64_t full = 0;
    std::uint64_t halfWritten = 0;
    std::uint64_t unsealedReads = 0;
    std::uint64_t missingReads = 0;
    std::uint64_t freedWhileRead = 0;
};

} // namespace endivespan::standins
