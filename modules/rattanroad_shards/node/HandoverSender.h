#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <functional>
#include <string>

namespace rattanroad::shards {

/** Sends the handover of a shard to its next holder, again until the link to that host is open. */
class HandoverSender {
public:
    struct Settings {
        std::chrono::milliseconds retryPause { 10 };
        /** A handover that could not be sent for this long is dropped. */
        std::chrono::milliseconds retryTime { 300 };
    };
    /** Sends a message; returns false when it was not sent. */
    using Send = std::function<bool(const std::string& address, const protocol::Envelope&)>;

    HandoverSender(Settings settings, Timers timers, const Clock& clock, Send send);
    HandoverSender(const HandoverSender&) = delete;
    HandoverSender& operator=(const HandoverSender&) = delete;

    void send(const std::string& address, const protocol::Envelope& message);

private:
    void send(const std::string& address, const protocol::Envelope& message, TimePoint since);

    Settings m_settings;
    Timers m_timers;
    const Clock& m_clock;
    Send m_send;
};

}
