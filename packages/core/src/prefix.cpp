#include <endivespan/config.h>
#include <endivespan/prefix.h>

#include <openssl/sha.h>

#include <algorithm>
#include <cstring>
#include <functional>

namespace endivespan {

namespace {

using Digest = std::array<std::uint8_t, SHA256_DIGEST_LENGTH>;

Digest sha256(std::string_view text)
{
    Digest digest;
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    return digest;
}

std::string toHex(const std::uint8_t *bytes, std::size_t size)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text.push_back(Digits[bytes[i] >> 4U]);
        text.push_back(Digits[bytes[i] & 15U]);
    }
    return text;
}

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

// Each field goes in with its length, so that ("ab", "c") and ("a", "bc") differ.
void appendField(std::string &buffer, std::string_view field)
{
    buffer += std::to_string(field.size());
    buffer += ':';
    buffer += field;
}

} // namespace

std::string PieceKey::hex() const
{
    return toHex(this->bytes.data(), this->bytes.size());
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
    std::string seed;
    appendField(seed, scope.organisation);
    appendField(seed, scope.model);
    appendField(seed, scope.version);
    appendField(seed, scope.adapter);
    Digest link = sha256(seed);
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
    const Digest digest = sha256(text);
    return toHex(digest.data(), digest.size());
}

} // namespace endivespan

std::size_t std::hash<endivespan::PieceKey>::operator()(const endivespan::PieceKey &key) const noexcept
{
    std::size_t value = 0;
    std::memcpy(&value, key.bytes.data(), sizeof(value));
    return value;
}
