#include <endivespan/names.h>

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace endivespan {

namespace {

constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t Sha256HexDigits = 64;
constexpr std::uint32_t MaxPort = 65535;
constexpr std::uint32_t MaxOctet = 255;

// Unlike std::isalnum() independent of the locale.
bool isLetterOrDigit(char letter)
{
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9');
}

std::optional<std::uint32_t> parseDecimal(std::string_view text, std::uint32_t max)
{
    if (text.empty() || text.size() > 5 || (text.size() > 1 && text.front() == '0')) {
        return std::nullopt;
    }
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value > max) {
        return std::nullopt;
    }
    return value;
}

} // namespace

bool isName(std::string_view text)
{
    const auto allowed
        = [](char letter) { return isLetterOrDigit(letter) || letter == '.' || letter == '_' || letter == '-'; };
    return !text.empty() && text.size() <= MaxNameBytes && isLetterOrDigit(text.front())
        && std::all_of(text.begin(), text.end(), allowed);
}

bool isAddress(std::string_view text, bool allowPortZero)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const auto port = parseDecimal(text.substr(colon + 1), MaxPort);
    if (!port || (*port == 0 && !allowPortZero)) {
        return false;
    }
    std::string_view rest = text.substr(0, colon);
    for (int octet = 0; octet < 4; ++octet) {
        const std::size_t dot = octet < 3 ? rest.find('.') : rest.size();
        if (dot == std::string_view::npos || !parseDecimal(rest.substr(0, dot), MaxOctet)) {
            return false;
        }
        rest.remove_prefix(std::min(dot + 1, rest.size()));
    }
    return rest.empty();
}

bool isSha256Hex(std::string_view text)
{
    return text.size() == Sha256HexDigits && std::all_of(text.begin(), text.end(), [](char digit) {
               return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
           });
}

} // namespace endivespan
