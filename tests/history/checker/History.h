#pragma once

#include "history/checker/HistoryEvent.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace rattanroad {

/** Events in the order of their time. File form: JSON lines, one object an event with the keys "kind", "time_us",
    "host", "request", "submission", "task", "target", "revision", "task_count", "repeat", "complete", "run_state",
    "code", "results", "success", "result"; keys at their default value may be left out.
*/
class History {
public:
    void add(HistoryEvent event) { m_events.push_back(std::move(event)); }
    const std::vector<HistoryEvent>& events() const { return m_events; }

    /** Sorts by time; events of several processes are written to one file in any order. */
    void sortByTime();

    void write(std::ostream& stream) const;
    /** Reads until the end of the stream. On a malformed line returns nothing and sets @p fault. */
    static std::optional<History> read(std::istream& stream, std::string& fault);

private:
    std::vector<HistoryEvent> m_events;
};

}
