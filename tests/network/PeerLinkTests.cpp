#include "rattanroad_core/rattanroad_core.h"
#include "rattanroad_network/loop/EventLoop.h"
#include "rattanroad_network/peers/PeerLink.h"

#include <catch2/catch.hpp>
#include <zmq.hpp>

using namespace rattanroad;
using namespace std::chrono_literals;

namespace {

/** A sending and a receiving link on one event loop. The receiver records the sequence numbers of heartbeats. */
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

    /** Opens the connection. Messages sent before it is open are dropped, so one is resent until it arrives. */
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

// Guards against lost wakeups of ZeroMQ's edge-triggered descriptor, which would leave messages of a burst unread.
TEST_CASE_METHOD(PeerFixture, "a burst of messages arrives complete and in order", "[peers]")
{
    connect();
    constexpr std::uint64_t count = 5000;
    for (std::uint64_t i = 1; i <= count; ++i)
        sender.send(address, heartbeat(i));
    REQUIRE(loop.runUntil([&] { return received.size() == count; }, 5s));
    for (std::uint64_t i = 0; i < count; ++i)
        REQUIRE(received[i] == i + 1);
}

// Guards against a crash on, or misinterpretation of, messages from a newer version or an unrelated program.
TEST_CASE_METHOD(PeerFixture, "malformed messages and unknown versions are counted and dropped", "[peers]")
{
    connect();
    auto newerVersion = heartbeat(1);
    newerVersion.set_version(protocol::protocolVersion + 1);
    sender.send(address, newerVersion);
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

// Guards against failure tests that pass only because setBlocked() did not cut the link.
TEST_CASE_METHOD(PeerFixture, "blocked links drop messages in both directions until they are unblocked", "[peers]")
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

// Guards against a sender that blocks on an unreachable peer.
TEST_CASE_METHOD(PeerFixture, "messages to an unreachable peer are dropped without blocking", "[peers]")
{
    const TimePoint begin = clock.now();
    for (std::uint64_t i = 0; i < 1000; ++i)
        sender.send("127.0.0.1:1", heartbeat(i));
    CHECK(clock.now() - begin < 500ms);
    CHECK(sender.statistics().messagesDropped == 1000);
}

// Guards against losing a handover because the link to a restarted host reconnects only after a delay of up to a
// second.
TEST_CASE("reopen() connects to a restarted process without delay", "[peers]")
{
    SteadyClock clock;
    EventLoop loop(clock);
    PeerLink sender(loop, {}, [](const protocol::Envelope&) {});
    std::size_t received = 0;
    const auto count = [&received](const protocol::Envelope&) { ++received; };
    auto receiver = std::make_unique<PeerLink>(loop, PeerLink::Settings(), count);
    const int port = *receiver->bind("127.0.0.1:0");
    const std::string address = "127.0.0.1:" + std::to_string(port);
    const auto sendUntilReceived = [&](Duration timeLimit) {
        const TimePoint deadline = clock.now() + timeLimit;
        while (received == 0 && clock.now() < deadline) {
            sender.send(address, PeerFixture::heartbeat(1));
            loop.runUntil([&] { return received > 0; }, 5ms);
        }
        return received > 0;
    };
    REQUIRE(sendUntilReceived(3s));
    receiver.reset();
    // Lets the reconnect interval grow to its maximum.
    loop.runUntil([] { return false; }, 2500ms);
    receiver = std::make_unique<PeerLink>(loop, PeerLink::Settings(), count);
    REQUIRE(receiver->bind(address));
    received = 0;
    sender.reopen(address);
    REQUIRE(sendUntilReceived(100ms));
}
