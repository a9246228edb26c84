#include <endivespan/text.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <sstream>

namespace endivespan {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
    return lower;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace endivespan
