#pragma once

/// Memory of the process.
namespace endivespan {

/// Lets the process give freed memory of request size back to the system at once, so that the requests of one moment
/// do not determine what it holds from then on. To be called once at the start.
void returnFreedMemory();

} // namespace endivespan
