#include "rattanroad_ledger/ledger/BackupStream.h"

namespace rattanroad {

namespace {

    // Keeps one message below the size at which it would delay the heartbeats on the same link.
    constexpr std::size_t maximumBatchBytes = 524288;
    constexpr int maximumBatchRecords = 1024;

}

BackupStream::BackupStream(HostId host, Incarnation incarnation, LedgerEffects& effects, Duration retryInterval)
    : m_host(std::move(host))
    , m_incarnation(incarnation)
    , m_effects(effects)
    , m_retryInterval(retryInterval)
{
}

void BackupStream::openReply(Incarnation from, bool isAccepted, TimePoint now)
{
    if (from != m_incarnation || m_isAccepted)
        return;
    m_isAccepted = isAccepted;
    m_isRefused = !isAccepted;
    m_waitingSince.reset();
    m_lastSend = now;
}

void BackupStream::acknowledge(std::uint64_t position, TimePoint now)
{
    const auto number = m_epochBase + position;
    if (number <= m_acknowledged)
        return;
    m_acknowledged = number;
    m_sent = std::max(m_sent, number);
    m_isProbing = false;
    m_lastSend = now;
    m_waitingSince.reset();
    if (m_sent > m_acknowledged)
        m_waitingSince = now;
}

void BackupStream::beginEpoch()
{
    m_epochBase = m_acknowledged;
    m_sent = m_acknowledged;
    m_isProbing = false;
}

void BackupStream::flush(const Header& header, const RecordLog& log, TimePoint now)
{
    if (m_isRefused)
        return;
    const bool isDue = !m_lastSend || now >= *m_lastSend + m_retryInterval;
    if (!m_isAccepted) {
        if (isDue)
            sendOpen(header, now);
        return;
    }
    if (m_sent > m_acknowledged && isDue) {
        m_sent = m_acknowledged;
        m_isProbing = true;
    }
    while (m_sent < log.last()) {
        if (m_isProbing && m_sent > m_acknowledged)
            return;
        sendBatch(header, log, now);
    }
}

void BackupStream::sendOpen(const Header& header, TimePoint now)
{
    protocol::Envelope envelope;
    auto& open = *envelope.mutable_segment_open();
    *open.mutable_segment() = protocol::toMessage(header.segment);
    for (const auto& member : header.view.members)
        open.add_members(member.value());
    open.set_receiver_incarnation(m_incarnation.value());
    m_effects.send(m_host, std::move(envelope));
    sent(now);
}

protocol::Envelope BackupStream::appendEnvelope(const Header& header) const
{
    protocol::Envelope envelope;
    auto& append = *envelope.mutable_journal_append();
    *append.mutable_segment() = protocol::toMessage(header.segment);
    append.set_epoch(header.view.epoch.value());
    append.set_first_position(m_sent - m_epochBase + 1);
    append.set_low_water_sequence(header.lowWater.value());
    return envelope;
}

void BackupStream::sendBatch(const Header& header, const RecordLog& log, TimePoint now)
{
    auto envelope = appendEnvelope(header);
    auto& append = *envelope.mutable_journal_append();
    std::size_t bytes = 0;
    while (m_sent < log.last() && append.records_size() < maximumBatchRecords && bytes < maximumBatchBytes) {
        const auto& record = log.at(m_sent + 1);
        bytes += record.ByteSizeLong();
        *append.add_records() = record;
        ++m_sent;
    }
    m_effects.send(m_host, std::move(envelope));
    sent(now);
}

void BackupStream::flushRelease(const Header& header, TimePoint now)
{
    if (m_lastSend && m_waitingSince && now < *m_lastSend + m_retryInterval)
        return;
    auto envelope = appendEnvelope(header);
    envelope.mutable_journal_append()->set_release(true);
    m_effects.send(m_host, std::move(envelope));
    sent(now);
}

void BackupStream::sent(TimePoint now)
{
    m_lastSend = now;
    if (!m_waitingSince)
        m_waitingSince = now;
}

bool BackupStream::isStalled(TimePoint now, Duration limit) const
{
    return !m_isRefused && m_waitingSince && now >= *m_waitingSince + limit;
}

TimePoint BackupStream::nextWakeup() const
{
    if (m_isRefused || !m_waitingSince || !m_lastSend)
        return TimePoint::max();
    return *m_lastSend + m_retryInterval;
}

}
