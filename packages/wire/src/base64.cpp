#include <endivespan/base64.h>

#include <openssl/evp.h>

#include <algorithm>

namespace endivespan {

std::string toBase64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                     reinterpret_cast<const unsigned char *>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

Result<std::string> fromBase64(std::string_view text)
{
    std::string bytes(text.size() / 4 * 3 + 3, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    if (size < 0 || text.size() % 4 != 0) {
        return Error {ErrorKind::ProtocolError, "invalid base64"};
    }
    const auto padding = static_cast<std::size_t>(std::count(
        text.end() - std::min<std::ptrdiff_t>(2, static_cast<std::ptrdiff_t>(text.size())), text.end(), '='));
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

} // namespace endivespan
