#include "rattanroad_membership/membership/MemberRecords.h"

#include <algorithm>

namespace rattanroad {

namespace {

    // Added to the age on each hop of a digest entry. It is longer than any planned one-way latency, so a report that
    // goes round in circles only ages and cannot keep a dead member alive.
    constexpr Duration hopAllowance = std::chrono::milliseconds(150);
    // A report must be newer by this much, so that latencies above the allowance cannot refresh it in small steps.
    constexpr Duration leastImprovement = std::chrono::milliseconds(250);
    // Dead hosts stay known for this long, so that a healed partition is noticed without seeds.
    constexpr Duration deadRetention = std::chrono::minutes(10);
    // 46 restarts a day over all hosts are planned for; this holds several days of them.
    constexpr size_t maximumReplaced = 256;

    Member memberOf(const protocol::MemberState& state, TimePoint heard)
    {
        return { HostId(state.host()), Incarnation(state.incarnation()), FailureDomainId(state.failure_domain()),
            RegionId(state.region()), RackId(state.rack()), state.address(), state.draining(), heard };
    }

    bool isSameDescription(const Member& left, const Member& right)
    {
        return left.failureDomain == right.failureDomain && left.region == right.region && left.rack == right.rack
            && left.address == right.address && left.isDraining == right.isDraining;
    }

}

MemberRecords::MemberRecords(const MemberTable::Settings& settings, const Clock& clock)
    : m_settings(settings)
    , m_clock(clock)
{
}

bool MemberRecords::isInside(const Member& member) const
{
    return member.failureDomain == m_settings.self.failureDomain;
}

Duration MemberRecords::timeoutOf(const Member& member) const
{
    return isInside(member) ? m_settings.innerTimeout : m_settings.outerTimeout;
}

bool MemberRecords::isOutdated(const MemberRecord& record, Incarnation incarnation) const
{
    if (m_replaced.count({ record.member.host, incarnation }))
        return true;
    if (incarnation == record.member.incarnation)
        return false;
    // Incarnations begin with the time of the process start. A lower one is accepted only when the current one is
    // dead, which admits a replacement host whose wall clock is behind.
    return record.isAlive && incarnation < record.member.incarnation;
}

MemberRecords::News MemberRecords::heartbeat(const protocol::MemberState& state, std::uint64_t sequence)
{
    const HostId host(state.host());
    auto& record = m_records[host];
    const bool isKnown = !record.member.host.value().empty();
    if (isKnown && isOutdated(record, Incarnation(state.incarnation())))
        return News::Ignored;
    const bool isSameIncarnation = isKnown && record.member.incarnation == Incarnation(state.incarnation());
    if (isSameIncarnation && sequence <= record.sequence)
        return News::Ignored;
    if (isKnown && !isSameIncarnation)
        markReplaced(record.member);

    const auto described = memberOf(state, m_clock.now());
    const bool isJoining = !isSameIncarnation || !record.isAlive;
    const bool isChanged = !isSameDescription(record.member, described);
    record.member = described;
    record.isAlive = true;
    record.sequence = sequence;
    if (isJoining)
        return News::Joined;
    return isChanged ? News::Changed : News::SignOfLife;
}

MemberRecords::News MemberRecords::briefHeartbeat(
    const HostId& host, Incarnation incarnation, std::uint64_t sequence, bool isDraining)
{
    const auto found = m_records.find(host);
    const bool isDescribed = found != m_records.end() && found->second.member.incarnation == incarnation;
    if (isDescribed && sequence <= found->second.sequence)
        return News::Ignored;
    const auto news = message(host, incarnation);
    if (!isDescribed || news == News::Ignored)
        return news;
    auto& record = found->second;
    record.sequence = sequence;
    const bool isChanged = record.member.isDraining != isDraining;
    record.member.isDraining = isDraining;
    return isChanged && news == News::SignOfLife ? News::Changed : news;
}

MemberRecords::News MemberRecords::message(const HostId& host, Incarnation incarnation)
{
    const auto found = m_records.find(host);
    if (found == m_records.end() || isOutdated(found->second, incarnation))
        return News::Ignored;
    auto& record = found->second;
    if (record.member.incarnation == incarnation) {
        const bool wasAlive = record.isAlive;
        record.member.lastHeard = m_clock.now();
        record.isAlive = true;
        return wasAlive ? News::SignOfLife : News::Joined;
    }
    // The new process has not described itself yet, but the old one has ended.
    if (!record.isAlive)
        return News::Ignored;
    markReplaced(record.member);
    record.isAlive = false;
    return News::Replaced;
}

void MemberRecords::markReplaced(const Member& member)
{
    if (m_replaced.size() < maximumReplaced)
        m_replaced.emplace(member.host, member.incarnation);
}

std::string MemberRecords::hearsay(const protocol::MemberState& state, bool isFromInside, bool& hasChanged)
{
    const HostId host(state.host());
    const Incarnation incarnation(state.incarnation());
    if (host == m_settings.self.host || m_replaced.count({ host, incarnation }))
        return {};
    const auto found = m_records.find(host);
    if (found == m_records.end() || !found->second.isAlive)
        return state.address();
    auto& record = found->second;
    if (record.member.incarnation != incarnation)
        return isOutdated(record, incarnation) ? std::string() : state.address();
    // Hosts of the own failure domain are judged by their own heartbeats only.
    if (isInside(record.member))
        return {};

    const auto heard = m_clock.now() - std::chrono::milliseconds(state.age_ms()) - hopAllowance;
    if (isFromInside)
        record.sharedInside = std::max(record.sharedInside, heard);
    if (heard < record.member.lastHeard + leastImprovement)
        return {};
    record.member.lastHeard = heard;
    hasChanged = hasChanged || record.member.isDraining != state.draining();
    record.member.isDraining = state.draining();
    return {};
}

std::size_t MemberRecords::expire()
{
    std::size_t died = 0;
    for (auto entry = m_records.begin(); entry != m_records.end();) {
        auto& record = entry->second;
        const auto silence = m_clock.now() - record.member.lastHeard;
        if (record.isAlive && silence >= timeoutOf(record.member)) {
            record.isAlive = false;
            ++died;
        }
        entry = !record.isAlive && silence >= deadRetention ? m_records.erase(entry) : std::next(entry);
    }
    return died;
}

void MemberRecords::extendAfterPause()
{
    // Two intervals give a live member the time for two heartbeats.
    const auto latest = [&](const Member& member) {
        const auto interval = isInside(member) ? m_settings.innerInterval : m_settings.outerInterval;
        return m_clock.now() - timeoutOf(member) + 2 * interval;
    };
    for (auto& [host, record] : m_records) {
        if (record.isAlive)
            record.member.lastHeard = std::max(record.member.lastHeard, latest(record.member));
    }
}

TimePoint MemberRecords::nextExpiry() const
{
    auto next = TimePoint::max();
    for (const auto& [host, record] : m_records) {
        if (record.isAlive)
            next = std::min(next, record.member.lastHeard + timeoutOf(record.member));
    }
    return next;
}

}
