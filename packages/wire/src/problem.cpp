#include <endivespan/problem.h>

namespace endivespan {

std::string problemText(const Problem &problem)
{
    return problem.file + ":" + std::to_string(problem.line) + ":" + std::to_string(problem.column) + ": "
        + problem.reason;
}

std::string problemTexts(const std::vector<Problem> &problems)
{
    std::string text;
    for (const Problem &problem : problems) {
        text += problemText(problem) + "\n";
    }
    return text;
}

} // namespace endivespan
