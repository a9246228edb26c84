#include <endivespan/log.h>

#include <doctest/doctest.h>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace endivespan;

namespace {

const auto IgnoredPipe = std::signal(SIGPIPE, SIG_IGN); ///< As the programs do.

/// Puts a pipe in the place of standard error.
class StderrPipe
{
public:
    StderrPipe()
        : saved(dup(STDERR_FILENO))
    {
        REQUIRE(pipe(this->ends.data()) == 0);
        dup2(this->ends[1], STDERR_FILENO);
    }

    ~StderrPipe()
    {
        dup2(this->saved, STDERR_FILENO);
        close(this->saved);
        close(this->ends[1]);
        this->closeReader();
    }

    StderrPipe(const StderrPipe &) = delete;
    StderrPipe &operator=(const StderrPipe &) = delete;

    void closeReader()
    {
        if (this->ends[0] >= 0) {
            close(this->ends[0]);
            this->ends[0] = -1;
        }
    }

    /// Fills the pipe. @param nonBlocking Whether it stays non-blocking, as when standard output is the same pipe.
    void fill(bool nonBlocking)
    {
        fcntl(this->ends[1], F_SETFL, O_NONBLOCK);
        const std::string bytes(4096, 'x');
        while (write(this->ends[1], bytes.data(), bytes.size()) > 0) { }
        fcntl(this->ends[1], F_SETFL, nonBlocking ? O_NONBLOCK : 0);
    }

    /// @returns all bytes that the pipe holds.
    std::string drain()
    {
        std::string all;
        std::array<char, 65536> buffer {};
        fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        for (ssize_t got = 0; (got = read(this->ends[0], buffer.data(), buffer.size())) > 0;) {
            all.append(buffer.data(), static_cast<std::size_t>(got));
        }
        return all;
    }

private:
    int saved;
    std::array<int, 2> ends {};
};

} // namespace

// Guards against a process that ends, or stands still, because nobody reads its standard error.
TEST_CASE("a log line that cannot be written neither ends nor blocks the process")
{
    for (const bool nonBlocking : {true, false}) {
        CAPTURE(nonBlocking);
        StderrPipe stream;
        stream.fill(nonBlocking);
        CHECK_NOTHROW(logLine("test", "first line"));
        CHECK_NOTHROW(logLine("test", "second line"));
        stream.drain();
        CHECK_NOTHROW(logLine("test", "third line"));
        CHECK(stream.drain() == "log: 2 lines could not be written\ntest: third line\n");
    }
    bool threw = false;
    {
        StderrPipe stream;
        stream.closeReader();
        try {
            logLine("test", "line");
        } catch (...) {
            threw = true;
        }
    }
    CHECK_FALSE(threw);
}
