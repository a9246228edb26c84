#pragma once

#include <chrono>
#include <string>
#include <string_view>

/// A blocking TCP connection that sends exactly the bytes it is told.
namespace endivespan::tests {

class RawSocket
{
public:
    /// Connects to 127.0.0.1.
    explicit RawSocket(int port);
    ~RawSocket();
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    void send(std::string_view bytes) const;

    /// Sends one byte after the other, each in a packet of its own.
    void sendSlowly(std::string_view bytes) const;

    /// @returns what comes until @p end has come, the connection ends or @p patience is over.
    std::string readUntil(std::string_view end, std::chrono::milliseconds patience = std::chrono::seconds(5));

    /// @returns one whole answer with a length, or what came of it.
    std::string readAnswer();

    /// @returns whether the other side has closed within @p patience.
    bool isClosed(std::chrono::milliseconds patience = std::chrono::seconds(5));

private:
    bool receive(std::chrono::milliseconds patience);

    int socket;
    bool ended = false;
    std::string unread;
};

/// @returns the status of an answer, 0 for none.
int statusOf(std::string_view answer);

} // namespace endivespan::tests
