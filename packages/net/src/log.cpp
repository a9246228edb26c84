#include <endivespan/log.h>

#include <cstddef>
#include <cstdio>
#include <poll.h>
#include <unistd.h>

namespace endivespan {

namespace {

// A pipe that polls as writable takes PIPE_BUF bytes at once, which is longer than any line.
bool writeNow(std::string_view line)
{
    pollfd stream {STDERR_FILENO, POLLOUT, 0};
    if (poll(&stream, 1, 0) != 1 || (stream.revents & POLLOUT) == 0) {
        return false;
    }
    return write(STDERR_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

} // namespace

void writeLogLine(std::string_view line) noexcept
{
    static std::size_t droppedLines = 0;
    if (droppedLines > 0) {
        char text[64];
        const int size = std::snprintf(text, sizeof(text), "log: %zu lines could not be written\n", droppedLines);
        if (writeNow({text, static_cast<std::size_t>(size)})) {
            droppedLines = 0;
        }
    }
    if (droppedLines > 0 || !writeNow(line)) {
        ++droppedLines;
    }
}

} // namespace endivespan
