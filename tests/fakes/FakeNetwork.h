#pragma once

#include "fakes/EventQueue.h"
#include "fakes/Latencies.h"
#include "rattanroad_core/random/RandomSource.h"
#include "rattanroad_protocol/rattanroad_protocol.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace rattanroad {

/** Carries envelopes between addresses with latencies by place. Without a disturbance messages of one direction arrive
    in order, as over one connection. Cuts separate places, in one or both directions; what is sent into a cut is lost.
*/
class FakeNetwork {
public:
    using Receiver = std::function<void(const protocol::Envelope&)>;

    /** Shares of messages, 0 to 1. */
    struct Disturbance {
        double lost { 0 };
        double duplicated { 0 };
        /** These messages are late by up to @p longestDelay, so that later ones overtake them. */
        double delayed { 0 };
        Duration longestDelay { std::chrono::milliseconds(20) };
    };

    struct Counters {
        std::uint64_t messages { 0 };
        std::uint64_t bytes { 0 };
        std::uint64_t lost { 0 };
    };

    FakeNetwork(EventQueue& queue, RandomSource& random, Latencies latencies);
    FakeNetwork(const FakeNetwork&) = delete;
    FakeNetwork& operator=(const FakeNetwork&) = delete;

    void attach(const std::string& address, Place place, Receiver receiver);
    void detach(const std::string& address);
    void send(const std::string& from, const std::string& to, protocol::Envelope&& envelope);

    void setDisturbance(Disturbance disturbance) { m_disturbance = disturbance; }
    /** Cuts one direction between two failure domains. */
    void cut(const FailureDomainId& from, const FailureDomainId& to) { m_cuts.insert({ from, to }); }
    void healAll() { m_cuts.clear(); }
    bool isCut(const FailureDomainId& from, const FailureDomainId& to) const { return m_cuts.count({ from, to }) > 0; }

    /** Sees every message that is sent, before loss. May be empty. */
    std::function<void(const std::string& from, const std::string& to, const protocol::Envelope&)> tap;

    const Latencies& latencies() const { return m_latencies; }
    const Counters& counters() const { return m_counters; }

private:
    struct Endpoint {
        Place place;
        Receiver receiver;
    };
    void deliverAfter(Duration delay, const std::string& to, std::shared_ptr<const protocol::Envelope> envelope);
    Duration extraDelay();

    EventQueue& m_queue;
    RandomSource& m_random;
    Latencies m_latencies;
    Disturbance m_disturbance;
    std::map<std::string, Endpoint> m_endpoints;
    std::set<std::pair<FailureDomainId, FailureDomainId>> m_cuts;
    Counters m_counters;
};

}
