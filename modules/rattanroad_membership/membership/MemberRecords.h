#pragma once

#include "rattanroad_membership/membership/MemberTable.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattanroad {

/** What is known of one host id, alive or dead. */
struct MemberRecord {
    Member member;
    bool isAlive { false };
    /** Highest heartbeat sequence of the incarnation; older ones arrive late and are ignored. */
    std::uint64_t sequence { 0 };
    /** Newest sign of life that this failure domain's hosts are known to share. */
    TimePoint sharedInside;
};

/** Decides which host ids and incarnations are alive. Knows no messages and sends nothing; MemberTable feeds it. */
class MemberRecords {
public:
    MemberRecords(const MemberTable::Settings& settings, const Clock& clock);
    MemberRecords(const MemberRecords&) = delete;
    MemberRecords& operator=(const MemberRecords&) = delete;

    /** What a message told about its sender. */
    enum class News {
        Ignored,
        SignOfLife,
        /** The host was unknown, dead, or another incarnation before. */
        Joined,
        /** A mark or an address of a live member changed. */
        Changed,
        /** A newer incarnation took over the host id, but has not described itself yet. */
        Replaced,
    };

    /** A heartbeat from the member itself. */
    News heartbeat(const protocol::MemberState& state, std::uint64_t sequence);
    /** A heartbeat without the description of its sender, which the sender gave before. */
    News briefHeartbeat(const HostId& host, Incarnation incarnation, std::uint64_t sequence, bool isDraining);
    /** Any other message from the member itself. */
    News message(const HostId& host, Incarnation incarnation);

    /** Another member's word about @p state. Returns the address to contact when the word cannot be taken as a sign
        of life, or an empty string.
    */
    std::string hearsay(const protocol::MemberState& state, bool isFromInside, bool& hasChanged);

    /** Marks members as dead whose timeout has passed; returns how many. */
    std::size_t expire();
    /** Gives all live members at least @p grace from now, after this host itself was paused. */
    void extendAfterPause();
    /** Returns when the next live member would time out. */
    TimePoint nextExpiry() const;

    bool isInside(const Member& member) const;
    std::map<HostId, MemberRecord>& all() { return m_records; }
    const std::map<HostId, MemberRecord>& all() const { return m_records; }

private:
    bool isOutdated(const MemberRecord& record, Incarnation incarnation) const;
    void markReplaced(const Member& member);
    Duration timeoutOf(const Member& member) const;

    const MemberTable::Settings& m_settings;
    const Clock& m_clock;
    std::map<HostId, MemberRecord> m_records;
    /** Incarnations that a newer one replaced; a paused one may still send when it resumes. */
    std::set<std::pair<HostId, Incarnation>> m_replaced;
};

}
