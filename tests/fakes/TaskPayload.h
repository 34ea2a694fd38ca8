#pragma once

#include "rattanroad_core/time/Clock.h"

#include <optional>
#include <string>

namespace rattanroad {

/** Payload of a simulated task: the caller's name of the submission, the task's number and the work to do. It lets a
    target report what it runs without trusting what the system says about it.
*/
struct TaskPayload {
    std::string submission;
    std::uint32_t task { 0 };
    Duration work { 0 };

    /** Returns "<submission>|<task>|<work in microseconds>". */
    std::string text() const;
    static std::optional<TaskPayload> parse(const std::string& text);
};

}
