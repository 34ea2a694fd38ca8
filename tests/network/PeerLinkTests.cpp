#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_network/loop/EventLoop.h"
#include "rattanroad_network/peers/PeerLink.h"

#include <catch2/catch.hpp>
#include <zmq.hpp>

using namespace rattanroad;
using namespace std::chrono_literals;

namespace {

/** Two links on one loop; the second counts what it receives. */
struct PeerFixture {
    SteadyClock clock;
    EventLoop loop { clock };
    std::vector<std::uint64_t> received;
    PeerLink sender { loop, {}, [](const protocol::Envelope&) {} };
    PeerLink receiver { loop, {},
        [this](const protocol::Envelope& envelope) { received.push_back(envelope.heartbeat().sequence()); } };
    std::string address { "127.0.0.1:" + std::to_string(*receiver.bind("127.0.0.1:0")) };

    static protocol::Envelope heartbeat(std::uint64_t sequence)
    {
        protocol::Envelope envelope;
        envelope.set_version(protocol::protocolVersion);
        envelope.set_from_host("sender");
        envelope.mutable_heartbeat()->set_sequence(sequence);
        return envelope;
    }

    /** Messages before the connection is open are dropped, so the first one is repeated until it arrives. */
    void connect()
    {
        REQUIRE(loop.runUntil(
            [&] {
                sender.send(address, heartbeat(0));
                return !received.empty();
            },
            3s));
        loop.runUntil([] { return false; }, 50ms);
        received.clear();
    }
};

}

// Guards against lost wakeups of the edge-triggered descriptor: every message of a burst arrives, in order.
TEST_CASE_METHOD(PeerFixture, "a burst of messages arrives whole and in order", "[peers]")
{
    connect();
    constexpr std::uint64_t count = 5000;
    for (std::uint64_t i = 1; i <= count; ++i)
        sender.send(address, heartbeat(i));
    REQUIRE(loop.runUntil([&] { return received.size() == count; }, 5s));
    for (std::uint64_t i = 0; i < count; ++i)
        REQUIRE(received[i] == i + 1);
}

// Guards against a crash or a wrong reading of what a newer version or a foreign program sends.
TEST_CASE_METHOD(PeerFixture, "malformed messages and unknown versions are counted and dropped", "[peers]")
{
    connect();
    auto other = heartbeat(1);
    other.set_version(protocol::protocolVersion + 1);
    sender.send(address, other);
    zmq::context_t context(1);
    zmq::socket_t foreign(context, zmq::socket_type::dealer);
    foreign.set(zmq::sockopt::linger, 0);
    foreign.connect("tcp://" + address);
    foreign.send(zmq::buffer("\xff\xff\xff", 3), zmq::send_flags::none);
    const auto isCounted
        = [&] { return receiver.statistics().unknownVersions == 1 && receiver.statistics().malformedMessages == 1; };
    REQUIRE(loop.runUntil(isCounted, 3s));
    CHECK(received.empty());
    sender.send(address, heartbeat(2));
    REQUIRE(loop.runUntil([&] { return received.size() == 1; }, 3s));
}

// Guards against failure tests that pass only because the link was never cut.
TEST_CASE_METHOD(PeerFixture, "blocked links drop messages in both directions until they are healed", "[peers]")
{
    connect();
    sender.setBlocked({ address }, {});
    sender.send(address, heartbeat(1));
    sender.setBlocked({}, {});
    receiver.setBlocked({}, { HostId("sender") });
    sender.send(address, heartbeat(2));
    REQUIRE(loop.runUntil([&] { return receiver.statistics().messagesBlocked == 1; }, 3s));
    receiver.setBlocked({}, {});
    sender.send(address, heartbeat(3));
    REQUIRE(loop.runUntil([&] { return !received.empty(); }, 3s));
    CHECK(received == std::vector<std::uint64_t> { 3 });
    CHECK(sender.statistics().messagesBlocked == 1);
}

// Guards against a sender that waits for a peer that is gone.
TEST_CASE_METHOD(PeerFixture, "sending to an absent peer drops at once", "[peers]")
{
    const TimePoint begin = clock.now();
    for (std::uint64_t i = 0; i < 1000; ++i)
        sender.send("127.0.0.1:1", heartbeat(i));
    CHECK(clock.now() - begin < 500ms);
    CHECK(sender.statistics().messagesDropped == 1000);
}

// Guards against a handover that is lost because the link to a host that has just started is opened a second later.
TEST_CASE("a link to a process that has just started is opened at once", "[peers]")
{
    SteadyClock clock;
    EventLoop loop(clock);
    PeerLink sender(loop, {}, [](const protocol::Envelope&) {});
    std::size_t received = 0;
    const auto count = [&received](const protocol::Envelope&) { ++received; };
    auto receiver = std::make_unique<PeerLink>(loop, PeerLink::Settings(), count);
    const int port = *receiver->bind("127.0.0.1:0");
    const std::string address = "127.0.0.1:" + std::to_string(port);
    const auto sendUntilReceived = [&](Duration limit) {
        const TimePoint end = clock.now() + limit;
        while (received == 0 && clock.now() < end) {
            sender.send(address, PeerFixture::heartbeat(1));
            loop.runUntil([&] { return received > 0; }, 5ms);
        }
        return received > 0;
    };
    REQUIRE(sendUntilReceived(3s));
    receiver.reset();
    // The pauses between attempts grow to their longest.
    loop.runUntil([] { return false; }, 2500ms);
    receiver = std::make_unique<PeerLink>(loop, PeerLink::Settings(), count);
    REQUIRE(receiver->bind(address));
    received = 0;
    sender.reopen(address);
    REQUIRE(sendUntilReceived(100ms));
}
