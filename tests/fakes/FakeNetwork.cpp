#include "fakes/FakeNetwork.h"

namespace rattanroad {

FakeNetwork::FakeNetwork(EventQueue& queue, RandomSource& random, Latencies latencies)
    : m_queue(queue)
    , m_random(random)
    , m_latencies(latencies)
{
}

void FakeNetwork::attach(const std::string& address, Place place, Receiver receiver)
{
    m_endpoints[address] = { std::move(place), std::move(receiver) };
}

void FakeNetwork::detach(const std::string& address)
{
    // The place stays known: messages underway to the address and replies to it still take their time.
    m_endpoints[address].receiver = nullptr;
}

void FakeNetwork::send(const std::string& from, const std::string& to, protocol::Envelope&& envelope)
{
    m_counters.messages++;
    m_counters.bytes += envelope.ByteSizeLong();
    if (tap)
        tap(from, to, envelope);
    const auto sender = m_endpoints.find(from);
    const auto receiver = m_endpoints.find(to);
    const bool isLost = sender == m_endpoints.end() || receiver == m_endpoints.end()
        || isCut(sender->second.place.failureDomain, receiver->second.place.failureDomain)
        || (m_disturbance.lost > 0 && m_random.uniform() < m_disturbance.lost);
    if (isLost) {
        m_counters.lost++;
        return;
    }
    const Duration latency = m_latencies.between(sender->second.place, receiver->second.place);
    const auto shared = std::make_shared<const protocol::Envelope>(std::move(envelope));
    deliverAfter(latency + extraDelay(), to, shared);
    if (m_disturbance.duplicated > 0 && m_random.uniform() < m_disturbance.duplicated)
        deliverAfter(latency + extraDelay(), to, shared);
}

void FakeNetwork::deliverAfter(
    Duration delay, const std::string& to, std::shared_ptr<const protocol::Envelope> envelope)
{
    m_queue.after(delay, [this, to, envelope = std::move(envelope)] {
        const Endpoint& endpoint = m_endpoints.at(to);
        if (endpoint.receiver)
            endpoint.receiver(*envelope);
    });
}

Duration FakeNetwork::extraDelay()
{
    if (m_disturbance.delayed <= 0 || m_random.uniform() >= m_disturbance.delayed)
        return Duration::zero();
    return Duration(
        static_cast<std::int64_t>(m_random.uniform() * static_cast<double>(m_disturbance.longestDelay.count())));
}

}
