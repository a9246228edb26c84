#include "context.h"

#include <fmt/format.h>

namespace endivespan {

std::string makeId(std::mt19937_64 &random)
{
    return fmt::format("{:016x}", random());
}

} // namespace endivespan
