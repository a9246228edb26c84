#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <string>
#include <vector>

/// Errors in files that operators write.
namespace endivespan {

/// One error and its position in the file.
struct Problem {
    std::string file;
    int line = 0; ///< Starts at 1.
    int column = 0; ///< Starts at 1.
    std::string reason;

    bool operator==(const Problem &) const = default;
};

/// A value of type @p T, or all problems that prevent it from being read.
template<typename T>
using Checked = boost::outcome_v2::basic_result<T, std::vector<Problem>, boost::outcome_v2::policy::terminate>;

/// @returns "file:line:column: reason".
std::string problemText(const Problem &problem);

/// @returns the texts of all @p problems, one per line.
std::string problemTexts(const std::vector<Problem> &problems);

} // namespace endivespan
