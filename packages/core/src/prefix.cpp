#include <endivespan/config.h>
#include <endivespan/digest.h>
#include <endivespan/prefix.h>

#include <algorithm>
#include <cstring>
#include <functional>

namespace endivespan {

namespace {

int hexDigit(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    return -1;
}

} // namespace

std::string PieceKey::hex() const
{
    Digest digest {};
    std::copy(this->bytes.begin(), this->bytes.end(), digest.begin());
    return digestHex(digest).substr(0, this->bytes.size() * 2);
}

PieceKey PieceKey::fromHex(std::string_view text)
{
    PieceKey key;
    if (text.size() != key.bytes.size() * 2) {
        return {};
    }
    for (std::size_t i = 0; i < key.bytes.size(); ++i) {
        const int high = hexDigit(text[2 * i]);
        const int low = hexDigit(text[2 * i + 1]);
        if (high < 0 || low < 0) {
            return {};
        }
        key.bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return key;
}

std::vector<PieceKey> pieceChain(const PieceScope &scope, std::string_view prompt)
{
    CanonicalEncoder seed;
    seed.add(scope.organisation).add(scope.model).add(scope.version).add(scope.adapter);
    Digest link = sha256(seed.bytes());
    std::vector<PieceKey> keys;
    const std::size_t pieces = std::min(prompt.size() / config::PieceBytes, config::MaxPieces);
    keys.reserve(pieces);
    for (std::size_t i = 0; i < pieces; ++i) {
        std::string block(link.begin(), link.end());
        block += prompt.substr(i * config::PieceBytes, config::PieceBytes);
        link = sha256(block);
        PieceKey key;
        std::copy_n(link.begin(), key.bytes.size(), key.bytes.begin());
        keys.push_back(key);
    }
    return keys;
}

std::string sha256Hex(std::string_view text)
{
    return digestHex(sha256(text));
}

} // namespace endivespan

std::size_t std::hash<endivespan::PieceKey>::operator()(const endivespan::PieceKey &key) const noexcept
{
    std::size_t value = 0;
    std::memcpy(&value, key.bytes.data(), sizeof(value));
    return value;
}
