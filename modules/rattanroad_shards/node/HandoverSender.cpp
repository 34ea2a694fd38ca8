#include "rattanroad_shards/node/HandoverSender.h"

namespace rattanroad::shards {

HandoverSender::HandoverSender(Settings settings, Timers timers, const Clock& clock, Send send)
    : m_settings(settings)
    , m_timers(std::move(timers))
    , m_clock(clock)
    , m_send(std::move(send))
{
}

void HandoverSender::send(const std::string& address, const protocol::Envelope& message)
{
    send(address, message, m_clock.now());
}

void HandoverSender::send(const std::string& address, const protocol::Envelope& message, TimePoint since)
{
    if (m_send(address, message) || m_clock.now() - since >= m_settings.retryTime)
        return;
    m_timers.after(m_settings.retryPause, [this, address, message, since, builtAt = m_clock.now()] {
        protocol::Envelope later = message;
        const auto elapsed = std::chrono::ceil<std::chrono::milliseconds>(m_clock.now() - builtAt);
        for (protocol::JobHandover& job : *later.mutable_shard_handover()->mutable_jobs()) {
            job.set_waited_ms(job.waited_ms() + static_cast<std::uint32_t>(elapsed.count()));
            job.set_silent_ms(job.silent_ms() + static_cast<std::uint32_t>(elapsed.count()));
        }
        send(address, later, since);
    });
}

}
