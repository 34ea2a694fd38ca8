#pragma once

#include "rattanroad_ledger/ledger/LedgerEffects.h"
#include "rattanroad_ledger/ledger/RecordLog.h"

#include <optional>

namespace rattanroad {

/** Replication of one segment's records to one backup, as the owner sees it.

    The segment is opened at one process of the backup only. Opening it again at a later process is not safe even when
   no reply was seen: the first one may have accepted, taken over, started tasks and died.
*/
class BackupStream {
public:
    /** What the messages to the backup say about the segment. */
    struct Header {
        SegmentKey segment;
        SegmentView view;
        SequenceNumber lowWater;
    };

    BackupStream(HostId host, Incarnation incarnation, LedgerEffects& effects, Duration retryInterval);

    const HostId& host() const { return m_host; }
    Incarnation incarnation() const { return m_incarnation; }
    /** Whether the backup holds the segment under its present incarnation. */
    bool isAccepted() const { return m_isAccepted; }
    /** Whether the backup will never acknowledge again in this view. */
    bool isRefused() const { return m_isRefused; }
    /** Number of the newest record that the backup holds, over all epochs. */
    std::uint64_t acknowledged() const { return m_acknowledged; }

    void openReply(Incarnation from, bool isAccepted, TimePoint now);
    /** Takes a position within the current epoch; older positions change nothing. */
    void acknowledge(std::uint64_t position, TimePoint now);
    void setRefused() { m_isRefused = true; }
    /** Numbers the records that are not acknowledged from 1 again. */
    void beginEpoch();

    /** Sends what is new or due again. */
    void flush(const Header& header, const RecordLog& log, TimePoint now);
    /** Sends the release of the segment when it is due. @pre everything is acknowledged */
    void flushRelease(const Header& header, TimePoint now);
    /** Returns whether the backup has not made progress for @p limit although something was sent. */
    bool isStalled(TimePoint now, Duration limit) const;
    TimePoint nextWakeup() const;

private:
    void sendOpen(const Header& header, TimePoint now);
    void sendBatch(const Header& header, const RecordLog& log, TimePoint now);
    protocol::Envelope appendEnvelope(const Header& header) const;
    void sent(TimePoint now);

    HostId m_host;
    Incarnation m_incarnation;
    LedgerEffects& m_effects;
    Duration m_retryInterval;
    bool m_isAccepted { false };
    bool m_isRefused { false };
    /** After a retry one batch goes out at a time, so that a dead backup is not sent the whole backlog each time. */
    bool m_isProbing { false };
    std::uint64_t m_epochBase { 0 };
    std::uint64_t m_acknowledged { 0 };
    std::uint64_t m_sent { 0 };
    std::optional<TimePoint> m_lastSend;
    std::optional<TimePoint> m_waitingSince;
};

}
