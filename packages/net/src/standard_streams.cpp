#include <endivespan/standard_streams.h>

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace endivespan {

Result<void> openStandardStreams()
{
    for (const int stream : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        if (fcntl(stream, F_GETFD) >= 0 || errno != EBADF) {
            continue;
        }
        // The lowest free descriptor is this one, since those below it are open.
        if (open("/dev/null", O_RDWR) != stream) {
            return Error {ErrorKind::ConnectionFailed,
                          "cannot open /dev/null in the place of a closed standard stream"};
        }
    }
    return boost::outcome_v2::success();
}

} // namespace endivespan
