#include <endivespan/config.h>
#include <endivespan/process_memory.h>

#include <malloc.h>

namespace endivespan {

// Without a fixed threshold glibc raises it to the size of the largest block that was freed, and later blocks of that
// size stay in the heap.
void returnFreedMemory()
{
    mallopt(M_MMAP_THRESHOLD, static_cast<int>(config::BodyBlockBytes));
    mallopt(M_TRIM_THRESHOLD, static_cast<int>(2 * config::BodyBlockBytes));
}

} // namespace endivespan
