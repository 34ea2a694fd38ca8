#include "rattanroad_ledger/ledger/LedgerEffects.h"

namespace rattanroad {

LedgerEffects::LedgerEffects(const SubmissionLedger::Settings& settings, SubmissionLedger::Hooks hooks)
    : m_settings(settings)
    , m_hooks(std::move(hooks))
{
}

void LedgerEffects::send(const HostId& host, protocol::Envelope&& envelope)
{
    envelope.set_version(protocol::protocolVersion);
    envelope.set_from_host(m_settings.self.value());
    envelope.set_from_incarnation(m_settings.incarnation.value());
    call([this, host, message = std::move(envelope)]() mutable { m_hooks.sendToPeer(host, std::move(message)); });
}

void LedgerEffects::changeView(const ViewChange& change)
{
    call([this, change] { m_hooks.changeView(change); });
}

void LedgerEffects::recovered(RecoveredSubmission&& submission)
{
    if (!m_hooks.recovered)
        return;
    // std::function needs a copyable callable; the pointer avoids copying the job.
    auto shared = std::make_shared<RecoveredSubmission>(std::move(submission));
    call([this, shared] { m_hooks.recovered(std::move(*shared)); });
}

void LedgerEffects::superseded(const SegmentKey& segment, const SegmentView& view)
{
    if (m_hooks.superseded)
        call([this, segment, view] { m_hooks.superseded(segment, view); });
}

void LedgerEffects::standingChanged(const SegmentKey& segment)
{
    if (m_hooks.standingChanged)
        call([this, segment] { m_hooks.standingChanged(segment); });
}

void LedgerEffects::call(std::function<void()> callback) { m_queue.push_back(std::move(callback)); }

void LedgerEffects::run()
{
    if (m_isRunning)
        return;
    m_isRunning = true;
    while (!m_queue.empty()) {
        const auto effect = std::move(m_queue.front());
        m_queue.pop_front();
        effect();
    }
    m_isRunning = false;
}

}
