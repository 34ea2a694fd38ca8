#include "rattanroad_ledger/ledger/PendingDecisions.h"

namespace rattanroad {

void PendingDecisions::Decision::finish(bool isGranted)
{
    // Moved out first: the callback may lead back here.
    const auto startCallback = std::exchange(start, nullptr);
    const auto sealCallback = std::exchange(seal, nullptr);
    if (startCallback)
        startCallback(isGranted ? SubmissionLedger::StartVerdict::Permitted : SubmissionLedger::StartVerdict::Refused);
    if (sealCallback)
        sealCallback(isGranted);
}

void PendingDecisions::addStart(std::uint64_t record, SequenceNumber sequence, SubmissionLedger::StartCallback callback)
{
    m_waiting.push_back(std::make_shared<Decision>(Decision { record, sequence, std::move(callback), nullptr }));
}

void PendingDecisions::addSeal(std::uint64_t record, SequenceNumber sequence, SubmissionLedger::SealCallback callback)
{
    m_waiting.push_back(std::make_shared<Decision>(Decision { record, sequence, nullptr, std::move(callback) }));
}

void PendingDecisions::grantUpTo(std::uint64_t record)
{
    while (!m_granted.empty() && !m_granted.front()->isOpen())
        m_granted.pop_front();
    while (!m_waiting.empty() && m_waiting.front()->record <= record) {
        auto decision = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (!decision->isOpen())
            continue;
        m_effects.call([decision] { decision->finish(true); });
        m_granted.push_back(std::move(decision));
    }
}

void PendingDecisions::refuse(Decision& decision)
{
    auto refused = std::make_shared<Decision>();
    refused->start = std::exchange(decision.start, nullptr);
    refused->seal = std::exchange(decision.seal, nullptr);
    m_effects.call([refused] { refused->finish(false); });
}

std::size_t PendingDecisions::refuseStarts(std::optional<SequenceNumber> sequence)
{
    std::size_t count = 0;
    for (auto* decisions : { &m_granted, &m_waiting }) {
        for (const auto& decision : *decisions) {
            if (!decision->start || (sequence && decision->sequence != *sequence))
                continue;
            refuse(*decision);
            ++count;
        }
    }
    return count;
}

std::size_t PendingDecisions::refuseAll()
{
    std::size_t count = 0;
    for (auto* decisions : { &m_granted, &m_waiting }) {
        for (const auto& decision : *decisions) {
            count += decision->start ? 1 : 0;
            if (decision->isOpen())
                refuse(*decision);
        }
        decisions->clear();
    }
    return count;
}

}
