#include "emulator/EmulatedStore.h"
#include "emulator/EmulatedTargets.h"
#include "rattanroad_shards/holding/StoreKeys.h"
#include "rattanroad_shards/jobs/JobCodec.h"
#include "rattanroad_shards/jobs/ShardDispatcher.h"

#include <catch2/catch.hpp>

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

/** One holder of a shard with its store and one target, without an election. */
class LoneHolder {
public:
    LoneHolder()
        : m_queue(m_clock)
        , m_store(m_queue)
        , m_targets(m_queue)
        , m_storeCalls(m_store.callsOf(host))
        , m_targetCalls(m_targets.callsOf(host))
        , m_dispatcher(settings(), m_storeCalls, m_targetCalls,
              { [this](Duration delay, std::function<void()> action) { m_queue.after(delay, std::move(action)); } },
              m_clock, hooks())
    {
        TargetReport report;
        report.id = TargetId("target");
        report.service = ServiceId("quotes");
        report.failureDomain = FailureDomainId(shard.value());
        report.address = "target";
        report.capacity = { 32000, 65536, 0 };
        report.bornMs = 1;
        m_targets.add(report);
        m_dispatcher.targetListed(report);
    }

    /** Writes the record of an open job of one task of 60 ms. */
    void storeRecord(const std::string& job, std::uint64_t generation)
    {
        protocol::JobRecord record;
        record.set_shard(shard.value());
        record.set_generation(generation);
        protocol::PlacedJob* const description = record.mutable_job();
        description->set_id(job);
        description->set_payload(taskPayload(60ms, { 14000, 1024, 0 }));
        description->mutable_rule()->set_service("quotes");
        description->mutable_rule()->set_maximum_attempts(3);
        protocol::PhaseDescription* const phase = description->add_phases();
        phase->set_count(1);
        phase->set_millicores(14000);
        phase->set_memory_mb(1024);
        phase->set_estimated_ms(60);
        m_store.put(storekeys::job(JobId(job)), record.SerializeAsString());
    }

    void begin(std::uint64_t generation)
    {
        m_dispatcher.begin({ FencingToken(generation), Generation(generation), false });
    }
    void run(Duration duration) { m_queue.runUntil(m_clock.now() + duration); }

    ShardDispatcher& dispatcher() { return m_dispatcher; }
    EmulatedTargets& targets() { return m_targets; }
    bool wasDisplaced() const { return m_wasDisplaced; }

private:
    static ShardDispatcher::Settings settings()
    {
        ShardDispatcher::Settings settings;
        settings.shard = shard;
        return settings;
    }

    ShardDispatcher::Hooks hooks()
    {
        ShardDispatcher::Hooks hooks;
        hooks.jobEnded = [](const ShardJob&) {};
        hooks.keyChanged = [] {};
        // As the election does it.
        hooks.displaced = [this] {
            m_wasDisplaced = true;
            m_dispatcher.end();
        };
        hooks.log = [](const char*, const JobId&, const std::string&) {};
        return hooks;
    }

    static inline const HostId host { "host" };
    static inline const ShardId shard { "north" };
    VirtualClock m_clock;
    EventQueue m_queue;
    EmulatedStore m_store;
    EmulatedTargets m_targets;
    KeyValueStore m_storeCalls;
    TargetCalls m_targetCalls;
    ShardDispatcher m_dispatcher;
    bool m_wasDisplaced { false };
};

}

TEST_CASE("a holder goes on with the jobs of earlier generations")
{
    LoneHolder holder;
    holder.storeRecord("a", 1);
    holder.begin(2);
    holder.run(20s);
    REQUIRE(!holder.wasDisplaced());
    REQUIRE(holder.dispatcher().state(JobId("a")) == JobState::Done);
    REQUIRE(holder.targets().runs().size() == 1);
}

TEST_CASE("a holder that reads a record of a later generation knows that it was replaced")
{
    // It stood still between taking the shard and reading the records; the later holder may have a start on the way.
    LoneHolder holder;
    holder.storeRecord("a", 1);
    holder.storeRecord("b", 3);
    holder.storeRecord("c", 1);
    holder.begin(2);
    holder.run(20s);
    REQUIRE(holder.targets().runs().empty());
    REQUIRE(!holder.dispatcher().isHolding());
    REQUIRE(holder.wasDisplaced());
}
