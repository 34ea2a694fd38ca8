#include "history/checker/HistoryChecker.h"

#include "history/checker/JobChecker.h"
#include "history/checker/OperationsChecker.h"

#include <algorithm>

namespace rattanroad {

std::vector<Violation> HistoryChecker::check(const History& history)
{
    std::vector<Violation> violations = JobChecker(history).check();
    std::vector<Violation> operations = OperationsChecker(history).check();
    violations.insert(violations.end(), operations.begin(), operations.end());
    std::stable_sort(violations.begin(), violations.end(),
        [](const Violation& left, const Violation& right) { return left.guarantee < right.guarantee; });
    return violations;
}

}
