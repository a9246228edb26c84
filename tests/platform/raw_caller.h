#pragma once

#include "raw_socket.h"
#include "world.h"

#include <chrono>
#include <string>

/// Callers that send the bytes of a request themselves, to a host of a world.
namespace endivespan::tests {

/// The last chunk of an answer.
inline const std::string StreamEnd = "0\r\n\r\n";

/// @returns the bytes of a request without a body, with @p fields as further lines of its header.
inline std::string rawRequest(const std::string &path,
                              const std::string &id,
                              std::chrono::milliseconds deadline,
                              const std::string &fields = "")
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Endivespan-Request-Id: " + id
        + "\r\nX-Endivespan-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\nApi-Key: key\r\n" + fields
        + "Content-Length: 0\r\n\r\n";
}

/// Runs the world until the caller has received @p end, its connection is closed or @p time has passed.
/// @returns what it has received.
inline std::string readAll(World &world, RawSocket &caller, const std::string &end, std::chrono::milliseconds time)
{
    using std::chrono::milliseconds;
    std::string got;
    world.until(
        [&] {
            got += caller.readUntil(end, milliseconds(1));
            return got.ends_with(end) || caller.isClosed(milliseconds(1));
        },
        time);
    return got;
}

} // namespace endivespan::tests
