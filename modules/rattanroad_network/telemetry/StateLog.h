#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace rattanroad {

class Clock;

/** Log of changes of state, one JSON object a line: {"time","host","event",...}. Events that happen per request belong
    in the metrics instead.
*/
class StateLog {
public:
    using Fields = std::vector<std::pair<const char*, std::string>>;

    /** @p file is empty for the standard error stream and "-" for the standard output. */
    StateLog(const Clock& clock, std::string host, const std::string& file);
    ~StateLog();
    StateLog(const StateLog&) = delete;
    StateLog& operator=(const StateLog&) = delete;

    void write(const char* event, const Fields& fields);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/** Returns @p time in the form of RFC 3339, in UTC with milliseconds. */
std::string rfc3339(std::chrono::system_clock::time_point time);

}
