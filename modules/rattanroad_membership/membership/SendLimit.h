#pragma once

#include "rattanroad_core/time/Clock.h"

#include <map>
#include <string>

namespace rattanroad {

/** Admits at most one message per address and interval. */
class SendLimit {
public:
    explicit SendLimit(Duration interval)
        : m_interval(interval)
    {
    }

    /** Returns whether a message to @p address may be sent now, and counts it as sent. */
    bool admits(const std::string& address, TimePoint now)
    {
        for (auto entry = m_sent.begin(); entry != m_sent.end();)
            entry = now - entry->second >= m_interval ? m_sent.erase(entry) : std::next(entry);
        return m_sent.emplace(address, now).second;
    }

private:
    Duration m_interval;
    std::map<std::string, TimePoint> m_sent;
};

}
