#include <endivespan/standard_streams.h>

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <unistd.h>

using namespace endivespan;

namespace {

/// Runs in a process of its own. @returns whether a socket that is opened after openStandardStreams() takes the place
/// of no standard stream.
bool socketIsNoStream(bool closeInput, bool closeOutput, bool closeError)
{
    const pid_t child = fork();
    if (child == 0) {
        for (const auto &[closed, stream] :
             {std::pair(closeInput, STDIN_FILENO), {closeOutput, STDOUT_FILENO}, {closeError, STDERR_FILENO}}) {
            if (closed) {
                close(stream);
            }
        }
        const bool opened = openStandardStreams().has_value();
        _exit(opened && socket(AF_INET, SOCK_STREAM, 0) > STDERR_FILENO ? 0 : 1);
    }
    int status = 0;
    return waitpid(child, &status, 0) == child && WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

} // namespace

// Guards against log lines that are sent to a caller whose connection has the number of a closed standard stream.
TEST_CASE("no socket takes the place of a closed standard stream")
{
    for (const bool input : {false, true}) {
        for (const bool output : {false, true}) {
            for (const bool error : {false, true}) {
                CAPTURE(input);
                CAPTURE(output);
                CAPTURE(error);
                CHECK(socketIsNoStream(input, output, error));
            }
        }
    }
}
