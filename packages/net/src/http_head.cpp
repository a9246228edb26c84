#include "http_head_p.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>

namespace endivespan {

StatusMeaning meaningOf(int status)
{
    constexpr int SwitchingProtocols = 101;
    if (status >= 200 && status <= 599) {
        return StatusMeaning::Final;
    }
    const bool isInterim = status >= 100 && status <= 199 && status != SwitchingProtocols;
    return isInterim ? StatusMeaning::Interim : StatusMeaning::Invalid;
}

bool hasThreeDigitStatus(std::string_view bytes)
{
    constexpr std::size_t Start = std::string_view("HTTP/1.1 ").size();
    const std::string_view status = bytes.substr(Start, 3);
    const char after = bytes[StatusLineBytes - 1];
    return bytes[Start - 1] == ' ' && (after == ' ' || after == '\r' || after == '\n')
        && std::all_of(status.begin(), status.end(), [](char byte) { return byte >= '0' && byte <= '9'; });
}

std::size_t unacknowledgedBytes(int socket)
{
    int bytes = 0;
    return ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

std::optional<std::string_view> headBytesProblem(std::string_view bytes)
{
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const char byte = bytes[i];
        if (byte == '\0') {
            return "NUL byte in the request head";
        }
        if (byte == '\n' && (i == 0 || bytes[i - 1] != '\r')) {
            return "line feed without carriage return in the request head";
        }
        if (byte == '\r' && i + 1 < bytes.size() && bytes[i + 1] != '\n') {
            return "carriage return without line feed in the request head";
        }
        if (byte == '\n' && i + 1 < bytes.size() && (bytes[i + 1] == ' ' || bytes[i + 1] == '\t')) {
            return "folded header line in the request head";
        }
    }
    return std::nullopt;
}

} // namespace endivespan
