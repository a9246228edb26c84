#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <string>
#include <vector>

/// Problems found in files that operators write.
namespace endivespan {

/// One problem and where it stands.
struct Problem {
    std::string file;
    int line = 0; ///< From 1.
    int column = 0; ///< From 1.
    std::string reason;

    bool operator==(const Problem &) const = default;
};

/// A value of type @p T, or every problem that keeps it from being read.
template<typename T>
using Checked = boost::outcome_v2::basic_result<T, std::vector<Problem>, boost::outcome_v2::policy::terminate>;

/// @returns "file:line:column: reason".
std::string problemText(const Problem &problem);

/// @returns the text of all @p problems, one a line.
std::string problemTexts(const std::vector<Problem> &problems);

} // namespace endivespan
