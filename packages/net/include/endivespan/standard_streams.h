#pragma once

#include <endivespan/error.h>

namespace endivespan {

/// Opens /dev/null in the place of each standard stream that is closed. To be called first in a program: otherwise a
/// socket gets the number of the stream, and log lines are sent to whoever is connected to it.
/// @returns ConnectionFailed when /dev/null cannot be opened.
Result<void> openStandardStreams();

} // namespace endivespan
