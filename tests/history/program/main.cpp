#include "history/checker/HistoryChecker.h"

#include <cstdio>
#include <fstream>
#include <iostream>

// Judges a history file (JSON lines, "-" for standard input). Exit status: 0 all guarantees kept, 1 violations, 2 the
// history cannot be read.
int main(int argumentCount, char** arguments)
{
    if (argumentCount != 2) {
        std::fprintf(stderr, "usage: rattanroad_check_history FILE\n");
        return 2;
    }
    const std::string path = arguments[1];
    std::ifstream file;
    if (path != "-") {
        file.open(path);
        if (!file) {
            std::fprintf(stderr, "cannot read %s\n", path.c_str());
            return 2;
        }
    }
    std::string fault;
    const auto history = rattanroad::History::read(path == "-" ? std::cin : file, fault);
    if (!history) {
        std::fprintf(stderr, "%s: %s\n", path.c_str(), fault.c_str());
        return 2;
    }
    const auto violations = rattanroad::HistoryChecker::check(*history);
    for (const rattanroad::Violation& violation : violations)
        std::printf("guarantee %d at %.6f s: %s\n", static_cast<int>(violation.guarantee),
            static_cast<double>(violation.timeUs) / 1e6, violation.reason.c_str());
    std::printf("%zu events, %zu violations\n", history->events().size(), violations.size());
    return violations.empty() ? 0 : 1;
}
