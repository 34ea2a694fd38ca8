#pragma once

#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_protocol/rattanroad_protocol.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace rattanroad {

/** Delivers envelopes between addresses on a virtual clock, with latency, loss and one-way cuts. */
class VirtualNetwork {
public:
    using Receiver = std::function<void(const protocol::Envelope&)>;
    using Cut = std::function<bool(const std::string& from, const std::string& to)>;

    VirtualNetwork(VirtualClock& clock, RandomSource& random)
        : m_clock(clock)
        , m_random(random)
    {
    }

    Duration latency { std::chrono::milliseconds(2) };
    /** Share of lost messages. */
    double loss { 0 };
    /** Returns whether messages from one address to the other are lost. */
    Cut isCut;

    void attach(const std::string& address, Receiver receiver) { m_receivers[address] = std::move(receiver); }
    void detach(const std::string& address) { m_receivers.erase(address); }

    void send(const std::string& from, const std::string& to, protocol::Envelope envelope)
    {
        const bool isLost = (isCut && isCut(from, to)) || m_random.uniform() < loss;
        if (!isLost)
            m_underway.emplace(m_clock.now() + latency, std::make_pair(to, std::move(envelope)));
    }

    TimePoint nextDelivery() const { return m_underway.empty() ? TimePoint::max() : m_underway.begin()->first; }

    void deliverDue()
    {
        while (!m_underway.empty() && m_underway.begin()->first <= m_clock.now()) {
            const auto [to, envelope] = m_underway.begin()->second;
            m_underway.erase(m_underway.begin());
            const auto receiver = m_receivers.find(to);
            if (receiver != m_receivers.end())
                receiver->second(envelope);
        }
    }

private:
    VirtualClock& m_clock;
    RandomSource& m_random;
    std::map<std::string, Receiver> m_receivers;
    std::multimap<TimePoint, std::pair<std::string, protocol::Envelope>> m_underway;
};

}
