#include "rattanroad_dispatch/engine/AnswerCache.h"

namespace rattanroad {

namespace {

    // Estimate for the table entry, the order entry and the strings of two ids; results come on top.
    constexpr std::uint64_t bytesPerAnswer = 480;
    constexpr std::uint64_t bytesPerResult = 32;

}

AnswerCache::AnswerCache(Clock& clock, Duration retention, ByteCount maximumSize)
    : m_clock(clock)
    , m_retention(retention)
    , m_maximumBytes(maximumSize.value())
{
}

std::uint64_t AnswerCache::sizeOf(const JobAnswer& answer)
{
    std::uint64_t bytes = bytesPerAnswer;
    for (const auto& result : answer.results)
        bytes += bytesPerResult + result.size();
    return bytes;
}

void AnswerCache::insert(const SubmissionId& id, JobAnswer answer)
{
    const auto bytes = sizeOf(answer);
    if (!m_answers.emplace(id, std::move(answer)).second)
        return;
    m_bytes += bytes;
    m_order.push_back({ id, m_clock.now() });
    while (m_bytes > m_maximumBytes && m_order.size() > 1)
        removeOldest();
}

const JobAnswer* AnswerCache::find(const SubmissionId& id) const
{
    const auto found = m_answers.find(id);
    return found == m_answers.end() ? nullptr : &found->second;
}

void AnswerCache::expire()
{
    const auto limit = m_clock.now() - m_retention;
    while (!m_order.empty() && m_order.front().insertedAt < limit)
        removeOldest();
}

void AnswerCache::removeOldest()
{
    const auto found = m_answers.find(m_order.front().id);
    if (found != m_answers.end()) {
        m_bytes -= sizeOf(found->second);
        m_answers.erase(found);
    }
    m_order.pop_front();
}

}
