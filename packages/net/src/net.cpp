#include "net_p.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace endivespan {

std::pair<std::string, int> splitAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return {address, 0};
    }
    int port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    return {address.substr(0, colon), port};
}

int localPort(int socket)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

HttpHeaders readHeaders(const evkeyvalq *fields)
{
    HttpHeaders headers;
    for (const evkeyval *entry = fields->tqh_first; entry != nullptr; entry = entry->next.tqe_next) {
        std::string name = entry->key;
        std::transform(
            name.begin(), name.end(), name.begin(), [](unsigned char letter) { return std::tolower(letter); });
        headers[name] = entry->value;
    }
    return headers;
}

std::string takeBuffer(evbuffer *buffer)
{
    std::string bytes(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, bytes.data(), bytes.size());
    return bytes;
}

std::string_view viewOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

timeval toTimeval(Duration time)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
    const std::chrono::microseconds rest = time - seconds;
    return {static_cast<time_t>(seconds.count()), static_cast<suseconds_t>(rest.count())};
}

} // namespace endivespan
