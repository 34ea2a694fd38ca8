#include "SimulatedFleet.h"

using namespace rattanroad;
using namespace std::chrono_literals;

namespace {

constexpr Duration suspicionTime = 800ms;

}

void SimulatedFleet::send(std::size_t from, std::size_t to, const std::function<void(Process&)>& deliver)
{
    if (!m_isHealed && isChance(4))
        return;
    const int copies = !m_isHealed && isChance(4) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        // The copy of a repeated message is often late, as it is the sender's retry or a queue that drains.
        const bool isLate = !m_isHealed && isChance(copy > 0 ? 50 : 3);
        const auto delay = isLate ? milliseconds(10, 2000) : milliseconds(1, 4);
        at(delay, [this, from, to, deliver] {
            // As with a queueing transport, whoever runs at the address now gets the message.
            if (!m_isCut[from][to] && m_hosts[to])
                turn(*m_hosts[to], deliver);
        });
    }
}

void SimulatedFleet::pollMembers(Process& process)
{
    std::vector<std::pair<HostId, Incarnation>> live;
    for (std::size_t step = 1; step < hostCount; ++step) {
        const auto peer = (process.host + step) % hostCount;
        const auto* target = m_hosts[peer].get();
        const bool isHeard = target && !target->isFrozen && !m_isCut[peer][process.host];
        if (isHeard && (m_isHealed || !isChance(2))) {
            process.lastHeard[peer] = m_clock.now();
            process.heardIncarnation[peer] = target->incarnation;
        }
        if (m_clock.now() - process.lastHeard[peer] < suspicionTime)
            live.emplace_back(hostName(peer), process.heardIncarnation[peer]);
    }
    if (!m_isHealed && isChance(1))
        live.clear();
    process.ledger->setLivePeers(live);
}

void SimulatedFleet::changeView(Process& process, const ViewChange& change)
{
    const auto answer = [this, &process](Duration delay, const ViewChangeResult& result) {
        inProcess(process, delay, [result](Process& self) { self.ledger->viewChangeResult(result); });
    };
    const ViewChangeResult unavailable { change.segment, ViewChangeResult::Kind::Unavailable, {} };
    if (m_store == StoreState::Down || m_isCutFromStore[process.host]) {
        answer(100ms, unavailable);
        return;
    }
    const auto delay = m_store == StoreState::Slow ? milliseconds(100, 2000) : milliseconds(1, 10);
    const auto fault = m_isHealed ? 100 : below(100);
    if (fault < 15) { // the answer is lost, and the write may take effect later than the caller gives up
        at(delay, [this, change] { executeAtStore(change); });
        answer(isChance(50) ? 20ms : 300ms, unavailable);
        return;
    }
    at(delay, [this, change, host = process.host, incarnation = process.incarnation] {
        const auto result = executeAtStore(change);
        auto* target = m_hosts[host].get();
        if (target && target->incarnation == incarnation)
            inProcess(*target, milliseconds(1, 10), [result](Process& self) { self.ledger->viewChangeResult(result); });
    });
}

ViewChangeResult SimulatedFleet::executeAtStore(const ViewChange& change)
{
    auto& view = m_views[change.segment];
    const bool isWon = view.epoch == change.expectedEpoch;
    if (isWon)
        view = change.next;
    trace("store: " + change.segment.text() + " epoch " + std::to_string(change.next.epoch.value()) + " for "
        + change.next.owner.value() + (isWon ? " won" : " lost"));
    return { change.segment, isWon ? ViewChangeResult::Kind::Won : ViewChangeResult::Kind::Lost, view };
}

void SimulatedFleet::faultLoop()
{
    if (m_isHealed)
        return;
    injectFault();
    at(milliseconds(50, 600), [this] { faultLoop(); });
}

void SimulatedFleet::injectFault()
{
    const auto host = below(hostCount);
    const auto kind = below(10);
    if (kind == 0 || kind == 1) {
        kill(host);
    } else if (kind <= 4 && m_hosts[host]) {
        freeze(*m_hosts[host]);
    } else if (kind <= 7) {
        cutLinks(host);
    } else if (kind == 8) {
        m_store = static_cast<StoreState>(below(3));
        trace("store state " + std::to_string(static_cast<int>(m_store)));
    } else if (m_hosts[host] && !m_hosts[host]->isFrozen) {
        auto& process = *m_hosts[host];
        for (const auto& job : process.jobs) {
            if (!job.second.isSealed)
                return;
        }
        trace("release " + hostName(host).value());
        turn(process, [](Process& self) { self.ledger->releaseAll(); });
    }
}

void SimulatedFleet::kill(std::size_t host)
{
    trace("kill " + hostName(host).value());
    m_hosts[host].reset();
    // Failures come together: often another host stops soon after this one is back.
    const auto downtime = isChance(40) ? milliseconds(5, 100) : milliseconds(100, 3000);
    if (isChance(40)) {
        at(downtime + milliseconds(10, 400), [this] {
            auto& other = m_hosts[below(hostCount)];
            if (other && !other->isFrozen && !m_isHealed)
                freeze(*other);
        });
    }
    at(downtime, [this, host] {
        if (!m_hosts[host])
            startProcess(host);
    });
}

void SimulatedFleet::freeze(Process& process)
{
    trace("freeze " + hostName(process.host).value());
    process.isFrozen = true;
    at(milliseconds(100, 4000), [this, host = process.host, incarnation = process.incarnation] {
        if (m_hosts[host] && m_hosts[host]->incarnation == incarnation)
            thaw(*m_hosts[host]);
    });
}

void SimulatedFleet::thaw(Process& process)
{
    trace("thaw " + hostName(process.host).value());
    process.isFrozen = false;
    for (auto inbox = std::exchange(process.inbox, {}); !inbox.empty(); inbox.pop_front())
        inbox.front()();
    process.ledger->flush();
}

void SimulatedFleet::cutLinks(std::size_t host)
{
    const auto kind = below(4);
    const auto other = below(hostCount);
    trace("cut " + hostName(host).value() + " kind " + std::to_string(kind) + " " + hostName(other).value());
    for (std::size_t peer = 0; peer < hostCount; ++peer) {
        if (kind == 3 || peer == other) {
            m_isCut[host][peer] = true;
            m_isCut[peer][host] = m_isCut[peer][host] || kind >= 1;
        }
    }
    m_isCutFromStore[host] = kind == 3 && isChance(50);
    at(milliseconds(100, 4000), [this, host] {
        for (std::size_t peer = 0; peer < hostCount; ++peer)
            m_isCut[host][peer] = m_isCut[peer][host] = false;
        m_isCutFromStore[host] = false;
    });
}

void SimulatedFleet::heal()
{
    trace("heal");
    m_isHealed = true;
    m_store = StoreState::Up;
    m_isCut = {};
    m_isCutFromStore = {};
    for (std::size_t host = 0; host < hostCount; ++host) {
        if (!m_hosts[host])
            startProcess(host);
        else if (m_hosts[host]->isFrozen)
            thaw(*m_hosts[host]);
    }
}

void SimulatedFleet::checkProgress()
{
    for (const auto& process : m_hosts) {
        if (process->openVerdicts > 0)
            violation(hostName(process->host).value() + " has decisions that never ended");
        for (const auto& id : m_ids) {
            if (process->ledger->standing(id).kind == Standing::Kind::Pending)
                violation(text(id, 0) + " stays pending at " + hostName(process->host).value());
        }
    }
}
