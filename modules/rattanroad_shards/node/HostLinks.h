#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"
#include "rattanroad_shards/types/ShardTypes.h"

#include <map>

namespace rattanroad::shards {

/** Sends messages to other hosts and keeps the links open that are needed. A link carries nothing until it is open, and
    is closed when it was not used for a while; an empty message opens one, and another keeps it open.
*/
class HostLinks {
public:
    struct Settings {
        /** Address of this host. */
        std::string address;
        /** A link gets an empty message when nothing was sent on it for this long: unused links are closed after 60 s.
         */
        std::chrono::seconds refresh { 20 };
    };
    struct Hooks {
        /** Sends a message to another host; it may get lost. Returns false when it was not sent because no link is
           open, and then opens one. */
        std::function<bool(const std::string& address, const protocol::Envelope&)> send;
        /** Opens a link at once instead of after the retry interval. */
        std::function<void(const std::string& address)> reopen;
        /** Returns an envelope from this host without a body. */
        std::function<protocol::Envelope()> envelope;
    };

    HostLinks(Settings settings, const Clock& clock, Hooks hooks);
    HostLinks(const HostLinks&) = delete;
    HostLinks& operator=(const HostLinks&) = delete;

    /** Sends a message. Returns false when it was not sent. */
    bool send(const std::string& address, const protocol::Envelope& message);
    /** Opens the link to another host unless it was used recently. Ignores the address of this host. */
    void open(const std::string& address);
    /** A new process has started at an address. */
    void hostStarted(const std::string& address);
    /** Forgets links that were not used for long. Called at intervals. */
    void removeUnused();

private:
    struct Link {
        TimePoint lastTried { distantPast };
        TimePoint lastSent { distantPast };
    };

    Settings m_settings;
    const Clock& m_clock;
    Hooks m_hooks;
    std::map<std::string, Link> m_links;
};

}
