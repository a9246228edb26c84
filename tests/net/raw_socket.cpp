#include "raw_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cstdlib>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace endivespan::tests {

RawSocket::RawSocket(int port)
    : socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in place {};
    place.sin_family = AF_INET;
    place.sin_port = htons(static_cast<std::uint16_t>(port));
    place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int on = 1;
    setsockopt(this->socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    this->ended = connect(this->socket, reinterpret_cast<const sockaddr *>(&place), sizeof(place)) != 0;
}

RawSocket::~RawSocket()
{
    close(this->socket);
}

bool RawSocket::isConnected() const
{
    return !this->ended;
}

bool RawSocket::isReset() const
{
    return this->failed;
}

void RawSocket::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
}

void RawSocket::sendSlowly(std::string_view bytes) const
{
    for (const char &byte : bytes) {
        this->send({&byte, 1});
    }
}

void RawSocket::endSending() const
{
    shutdown(this->socket, SHUT_WR);
}

bool RawSocket::receive(std::chrono::milliseconds patience)
{
    pollfd waiting {this->socket, POLLIN, 0};
    if (this->ended || poll(&waiting, 1, static_cast<int>(patience.count())) <= 0) {
        return false;
    }
    char buffer[65536];
    const ssize_t got = recv(this->socket, buffer, sizeof(buffer), 0);
    if (got <= 0) {
        this->ended = true;
        this->failed = got < 0;
        return false;
    }
    this->unread.append(buffer, static_cast<std::size_t>(got));
    return true;
}

std::string RawSocket::readUntil(std::string_view end, std::chrono::milliseconds patience)
{
    while (this->unread.find(end) == std::string::npos) {
        if (!this->receive(patience)) {
            return std::exchange(this->unread, {});
        }
    }
    const std::size_t size = this->unread.find(end) + end.size();
    std::string taken = this->unread.substr(0, size);
    this->unread.erase(0, size);
    return taken;
}

std::string RawSocket::readAnswer()
{
    std::string answer = this->readUntil("\r\n\r\n");
    const std::size_t field = answer.find("Content-Length: ");
    if (field == std::string::npos) {
        return answer;
    }
    const std::size_t size = std::strtoul(answer.c_str() + field + 16, nullptr, 10);
    while (this->unread.size() < size && this->receive(std::chrono::seconds(5))) { }
    answer += this->unread.substr(0, size);
    this->unread.erase(0, size);
    return answer;
}

bool RawSocket::isClosed(std::chrono::milliseconds patience)
{
    while (this->receive(patience)) { }
    return this->ended;
}

int statusOf(std::string_view answer)
{
    constexpr std::string_view Version = "HTTP/1.1 ";
    return answer.starts_with(Version) ? std::atoi(std::string(answer.substr(Version.size(), 3)).c_str()) : 0;
}

} // namespace endivespan::tests
