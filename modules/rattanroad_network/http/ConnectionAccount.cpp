#include "rattanroad_network/http/ConnectionAccount.h"

#include <algorithm>

namespace rattanroad {

namespace {
    /** Part of the memory of a process that requests and answers may occupy. The base of a process takes up to 32 MB,
        kernel buffers and the requests that arrive within one turn of the loop need room beside it. */
    constexpr std::uint64_t heldShareOfMemory = 4;
    /** Descriptors that the platform reserves for files; a fifth where there are few. */
    constexpr std::size_t descriptorsForFiles = 200;
    constexpr std::size_t minimumConnections = 16;
    /** Room for a few bodies of the largest size. */
    constexpr std::uint64_t minimumHeldBytes = 4U << 20U;
    /** What an idle connection costs in the process and in the kernel. Counts a connection that holds nothing as
        holding something, so that idle ones are comparable with others. */
    constexpr std::size_t costOfConnection = 8192;

    struct Candidate {
        CallerConnectionId connection;
        std::size_t heldBytes;
        double score;
    };
}

HttpLimits HttpLimits::of(MebibyteCount memory, std::size_t descriptors)
{
    HttpLimits limits;
    if (memory.value() != 0)
        limits.maximumHeldBytes = ByteCount(std::max(minimumHeldBytes, (memory.value() << 20U) / heldShareOfMemory));
    if (descriptors != 0) {
        // The other half is for targets, the store and other hosts: a query of a caller may open a connection to each.
        const std::size_t files = std::min(descriptorsForFiles, descriptors / 5);
        limits.maximumConnections = std::max(minimumConnections, (descriptors - files) / 2);
    }
    return limits;
}

void ConnectionAccount::closed(CallerConnectionId connection)
{
    const auto found = m_connections.find(connection.value());
    if (found == m_connections.end())
        return;
    m_heldBytes -= found->second.heldBytes;
    m_connections.erase(found);
}

void ConnectionAccount::update(
    CallerConnectionId connection, ConnectionStage stage, std::size_t heldBytes, bool hasProgressed, TimePoint now)
{
    const auto found = m_connections.find(connection.value());
    if (found == m_connections.end())
        return;
    Connection& known = found->second;
    m_heldBytes += heldBytes - known.heldBytes;
    known.heldBytes = heldBytes;
    if (known.stage != stage) {
        known.stage = stage;
        known.stageSince = now;
    }
    if (hasProgressed)
        known.changedAt = now;
}

std::vector<ConnectionAccount::Closing> ConnectionAccount::excess(TimePoint now) const
{
    std::size_t excessConnections = m_connections.size() - std::min(m_connections.size(), m_limits.maximumConnections);
    std::size_t excessBytes = m_heldBytes - std::min<std::size_t>(m_heldBytes, m_limits.maximumHeldBytes.value());
    std::vector<Closing> closings;
    if (excessConnections == 0 && excessBytes == 0)
        return closings;
    std::vector<Candidate> candidates;
    for (const auto& [id, connection] : m_connections) {
        if (connection.stage == ConnectionStage::Serving)
            continue;
        const double idleMs = std::chrono::duration<double, std::milli>(now - connection.changedAt).count();
        const double cost = static_cast<double>(connection.heldBytes + costOfConnection);
        candidates.push_back({ CallerConnectionId(id), connection.heldBytes, cost * (idleMs + 1) });
    }
    const auto isBefore = [](const Candidate& left, const Candidate& right) { return left.score < right.score; };
    std::make_heap(candidates.begin(), candidates.end(), isBefore);
    while (!candidates.empty() && (excessConnections > 0 || excessBytes > 0)) {
        std::pop_heap(candidates.begin(), candidates.end(), isBefore);
        const Candidate candidate = candidates.back();
        candidates.pop_back();
        // Closing a connection that holds nothing does not free bytes.
        if (excessConnections == 0 && candidate.heldBytes == 0)
            continue;
        closings.push_back(
            { candidate.connection, excessBytes > 0 ? CloseCause::AccountFull : CloseCause::TooManyConnections });
        excessConnections -= std::min<std::size_t>(excessConnections, 1);
        excessBytes -= std::min(excessBytes, candidate.heldBytes);
    }
    return closings;
}

std::vector<ConnectionAccount::Closing> ConnectionAccount::expired(TimePoint now) const
{
    std::vector<Closing> closings;
    for (const auto& [id, connection] : m_connections) {
        const CallerConnectionId name(id);
        const Duration inStage = now - connection.stageSince;
        switch (connection.stage) {
        case ConnectionStage::Idle:
            if (now - connection.changedAt > m_limits.idleTimeout)
                closings.push_back({ name, CloseCause::Idle });
            break;
        case ConnectionStage::ReadingHead:
            if (inStage > m_limits.headTimeout)
                closings.push_back({ name, CloseCause::SlowHead });
            break;
        case ConnectionStage::ReadingBody:
            if (inStage > m_limits.bodyTimeout)
                closings.push_back({ name, CloseCause::SlowBody });
            break;
        case ConnectionStage::Serving:
            break;
        case ConnectionStage::Answering:
            if (inStage > m_limits.answerTimeout)
                closings.push_back({ name, CloseCause::SlowReader });
            break;
        }
    }
    return closings;
}

const char* eventName(CloseCause cause)
{
    switch (cause) {
    case CloseCause::AccountFull:
        return "http_account_full";
    case CloseCause::TooManyConnections:
        return "http_too_many_connections";
    case CloseCause::LongHead:
        return "http_head_too_large";
    case CloseCause::SlowHead:
        return "http_head_too_slow";
    case CloseCause::SlowBody:
        return "http_body_too_slow";
    case CloseCause::SlowReader:
        return "http_answer_not_taken";
    case CloseCause::Idle:
        return "http_idle";
    case CloseCause::RequestRefused:
        return "http_request_refused";
    case CloseCause::LargeBody:
        return "http_body_too_large";
    }
    return "http_idle";
}

}
