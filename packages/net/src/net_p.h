#pragma once

#include <endivespan/clock.h>
#include <endivespan/http_server.h>

#include <boost/beast/core/string.hpp>
#include <sys/time.h>

#include <string>
#include <string_view>
#include <utility>

struct evbuffer;
struct evkeyvalq;

/// Internal helpers of this package.
namespace endivespan {

/// @returns the host and port of "host:port"; port 0 when none is given.
std::pair<std::string, int> splitAddress(const std::string &address);

/// @returns the port that a bound socket listens on.
int localPort(int socket);

/// @returns all header fields, names in lower case.
HttpHeaders readHeaders(const evkeyvalq *fields);

/// Removes the content of @p buffer and returns it.
std::string takeBuffer(evbuffer *buffer);

std::string_view viewOf(boost::beast::string_view text);

timeval toTimeval(Duration time);

} // namespace endivespan
