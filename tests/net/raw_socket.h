#pragma once

#include <chrono>
#include <string>
#include <string_view>

/// A blocking TCP connection that sends bytes exactly as given, so that tests can send malformed HTTP.
namespace endivespan::tests {

class RawSocket
{
public:
    /// Connects to 127.0.0.1.
    explicit RawSocket(int port);
    ~RawSocket();
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    [[nodiscard]] bool isConnected() const;

    /// @returns whether the other side has reset the connection, as far as reading has shown.
    [[nodiscard]] bool isReset() const;

    void send(std::string_view bytes) const;

    /// Sends the bytes one at a time, each in a packet of its own.
    void sendSlowly(std::string_view bytes) const;

    /// Closes the sending direction; answers can still be read.
    void endSending() const;

    /// @returns the bytes up to and including @p end; if the connection ends or nothing arrives for @p patience, the
    /// bytes received so far.
    std::string readUntil(std::string_view end, std::chrono::milliseconds patience = std::chrono::seconds(5));

    /// @returns one complete answer with a Content-Length, or the part of it that was received.
    std::string readAnswer();

    /// Reads and keeps bytes until the connection ends or nothing arrives for @p patience.
    /// @returns whether the other side has closed the connection.
    bool isClosed(std::chrono::milliseconds patience = std::chrono::seconds(5));

private:
    bool receive(std::chrono::milliseconds patience);

    int socket;
    bool ended = false;
    bool failed = false; ///< It ended with an error instead of in order.
    std::string unread;
};

/// @returns the status code of an answer; 0 if it has no status line.
int statusOf(std::string_view answer);

} // namespace endivespan::tests
