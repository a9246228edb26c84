#include <endivespan/digest.h>

#include <openssl/sha.h>

#include <cstddef>

namespace endivespan {

namespace {

using Words = std::array<std::uint64_t, 4>;

Words toWords(const Digest &digest)
{
    Words words {};
    for (std::size_t i = 0; i < digest.size(); ++i) {
        words[i / 8] |= static_cast<std::uint64_t>(digest[i]) << (8 * (i % 8));
    }
    return words;
}

} // namespace

Digest sha256(std::string_view bytes)
{
    static_assert(std::tuple_size_v<Digest> == SHA256_DIGEST_LENGTH);
    Digest digest;
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data());
    return digest;
}

std::string hexText(std::span<const std::uint8_t> bytes)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const std::uint8_t byte : bytes) {
        text.push_back(Digits[byte >> 4U]);
        text.push_back(Digits[byte & 15U]);
    }
    return text;
}

std::string digestHex(const Digest &digest)
{
    return hexText(digest);
}

CanonicalEncoder &CanonicalEncoder::add(std::string_view field)
{
    this->buffer += std::to_string(field.size());
    this->buffer += ':';
    this->buffer += field;
    return *this;
}

CanonicalEncoder &CanonicalEncoder::add(std::uint64_t number)
{
    return this->add(std::string_view(std::to_string(number)));
}

const std::string &CanonicalEncoder::bytes() const
{
    return this->buffer;
}

void SetDigest::add(const Digest &entry)
{
    const Words other = toWords(entry);
    std::uint64_t carry = 0;
    for (std::size_t i = 0; i < this->words.size(); ++i) {
        const std::uint64_t partial = this->words[i] + carry;
        const std::uint64_t sum = partial + other[i];
        carry = (partial < carry ? 1U : 0U) + (sum < other[i] ? 1U : 0U);
        this->words[i] = sum;
    }
}

void SetDigest::remove(const Digest &entry)
{
    const Words other = toWords(entry);
    std::uint64_t borrow = 0;
    for (std::size_t i = 0; i < this->words.size(); ++i) {
        const std::uint64_t partial = this->words[i] - borrow;
        const std::uint64_t rest = partial - other[i];
        borrow = (partial > this->words[i] ? 1U : 0U) + (rest > partial ? 1U : 0U);
        this->words[i] = rest;
    }
}

Digest SetDigest::value() const
{
    Digest digest;
    for (std::size_t i = 0; i < digest.size(); ++i) {
        digest[i] = static_cast<std::uint8_t>(this->words[i / 8] >> (8 * (i % 8)));
    }
    return digest;
}

} // namespace endivespan
