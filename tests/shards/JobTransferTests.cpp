#include "rattanroad_shards/holding/StoreKeys.h"
#include "shards/FleetChecks.h"

#include <algorithm>

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

/** Within this time a job whose last eligible target has left is in another shard: the delay of the transfer, a write,
    a notice and a read. */
constexpr auto transferTime = 6s;
/** The same when a holder is lost meanwhile: its lease ends, and its successor has to wait for earlier runs. */
constexpr auto takeoverTime = 25s;
constexpr std::uint32_t tasks = 6;

/** A fleet of two failure domains, each with one target that has the label that a stored job needs. Two tasks of the
   job run when the target of its shard leaves the target list; the others wait. */
class TransferFleet {
public:
    explicit TransferFleet(
        bool fails = false, std::uint32_t taskCount = tasks, std::chrono::milliseconds duration = 400ms)
    {
        for (const std::string& domain : m_domains)
            addTarget(domain, "special-" + domain, { 32000, 65536, 0 });
        m_fleet.startAll();
        m_call = &m_fleet.submit(HostId("north-0"), "job", taskCount, duration, false, fails);
        m_call->description.mutable_phases(0)->set_required_label("special");
        m_fleet.run(200ms);
        m_shard = record().shard();
        m_holder = m_fleet.holderOf(m_shard);
    }

    EmulatedFleet& fleet() { return m_fleet; }
    EmulatedFleet::Call& call() { return *m_call; }
    const std::string& shard() const { return m_shard; }
    std::string otherShard() const { return m_shard == m_domains[0] ? m_domains[1] : m_domains[0]; }
    const HostId& holder() const { return m_holder; }
    /** Adds a target to each failure domain that has the label and no room for a task of the job. */
    void addSmallTargets()
    {
        for (const std::string& domain : m_domains)
            addTarget(domain, "small-" + domain, { 4000, 65536, 0 });
        m_fleet.run(200ms);
    }
    void removeTarget() { m_fleet.unlistTarget(TargetId("special-" + m_shard)); }
    protocol::JobRecord record()
    {
        protocol::JobRecord record;
        record.ParseFromString(m_fleet.store().value(storekeys::job(JobId("job"))).value_or(""));
        return record;
    }
    /** Runs until the record of the job names the other shard. */
    void runUntilWritten()
    {
        REQUIRE(m_fleet.runUntil([this] { return record().shard() == otherShard(); }, transferTime));
    }
    void requireDone(Duration limit = transferTime)
    {
        m_fleet.runUntil([this] { return record().state() == static_cast<std::uint32_t>(JobState::Done); }, limit);
        showLog(m_fleet);
        REQUIRE(record().state() == static_cast<std::uint32_t>(JobState::Done));
        REQUIRE(m_fleet.startCount("job") == tasks);
        requireNoViolations(m_fleet);
    }

private:
    void addTarget(const std::string& domain, const std::string& name, Resources capacity)
    {
        TargetReport report = m_fleet.targets().reports().at(TargetId("target-" + domain + "-0"));
        report.id = TargetId(name);
        report.capacity = capacity;
        report.labels = { "special" };
        m_fleet.targets().add(report);
        m_fleet.listTarget(report.id);
    }

    const std::vector<std::string> m_domains { "north", "south" };
    EmulatedFleet m_fleet;
    EmulatedFleet::Call* m_call { nullptr };
    std::string m_shard;
    HostId m_holder;
};

}

TEST_CASE("a stored job that no target of its shard can run any more is done in another shard")
{
    TransferFleet transfer;
    REQUIRE(transfer.fleet().startCount("job") == 2);
    transfer.removeTarget();
    transfer.runUntilWritten();
    REQUIRE(transfer.record().transferred_from() == transfer.shard());
    transfer.requireDone();
    REQUIRE(stateOf(transfer.fleet(), HostId("north-0"), "job") == JobState::Done);
}

// Guards against a job that stays for good: its own shard has the label and is the cheapest one, and no target of the
// size.
TEST_CASE("a stored job goes to another shard when only a target too small for it is left in its own")
{
    TransferFleet transfer;
    transfer.addSmallTargets();
    transfer.removeTarget();
    transfer.requireDone();
}

TEST_CASE("a stored job of an evacuated failure domain is done in another one")
{
    TransferFleet transfer;
    transfer.fleet().evacuate(transfer.shard());
    transfer.requireDone();
}

// Guards against a transfer that writes with the token of before: the write fails and the holder gives its lease up.
TEST_CASE("a job is transferred after the holder has raised its token")
{
    TransferFleet transfer;
    EmulatedFleet& fleet = transfer.fleet();
    fleet.targets().restart(TargetId("target-" + transfer.shard() + "-0"));
    const auto lines = [&fleet](const std::string& event) {
        return std::count_if(fleet.log().begin(), fleet.log().end(),
            [&event](const std::string& line) { return line.find(event) != std::string::npos; });
    };
    REQUIRE(fleet.runUntil([&lines] { return lines("shard_token_raised") > 0; }, 1s));
    const auto acquisitions = lines("shard_acquired");
    transfer.removeTarget();
    transfer.requireDone();
    REQUIRE(lines("shard_acquired") == acquisitions);
}

TEST_CASE("a transferred job is found when the first notices are lost")
{
    TransferFleet transfer;
    transfer.removeTarget();
    transfer.fleet().run(2300ms);
    transfer.fleet().dropMessages(transfer.holder(), 2s);
    transfer.requireDone();
}

TEST_CASE("a transferred job is found when its holder dies before the notice")
{
    // The next holder of the first shard finds the record, which names where the job came from.
    TransferFleet transfer;
    transfer.removeTarget();
    transfer.fleet().run(2300ms);
    transfer.fleet().dropMessages(transfer.holder(), 2s);
    transfer.runUntilWritten();
    transfer.fleet().kill(transfer.holder());
    transfer.requireDone(takeoverTime);
}

TEST_CASE("a transferred job is found when the holder of its new shard changes")
{
    for (const auto delay : { 0ms, 20ms, 300ms }) {
        TransferFleet transfer;
        transfer.removeTarget();
        transfer.runUntilWritten();
        transfer.fleet().run(delay);
        transfer.fleet().kill(transfer.fleet().holderOf(transfer.otherShard()));
        transfer.requireDone(takeoverTime);
    }
}

TEST_CASE("a transfer whose write is executed without a reply is completed")
{
    TransferFleet transfer;
    transfer.removeTarget();
    transfer.fleet().run(2300ms);
    transfer.fleet().store().faults.repliesToLose = 4;
    transfer.requireDone();
}

TEST_CASE("a transfer whose write is executed late leaves the job in one shard")
{
    TransferFleet transfer;
    transfer.removeTarget();
    transfer.fleet().run(2300ms);
    transfer.fleet().store().faults.lateTransactions = 4;
    transfer.requireDone(takeoverTime);
}

TEST_CASE("a job that is cancelled during its transfer does not run again")
{
    for (const auto delay : { 0ms, 5ms, 100ms }) {
        TransferFleet transfer;
        transfer.removeTarget();
        transfer.runUntilWritten();
        transfer.fleet().run(delay);
        std::optional<JobState> state;
        transfer.fleet()
            .node(HostId("north-0"))
            .entrance()
            .cancel(JobId("job"), 1500ms, [&state](JobEntrance::QueryResult result, JobState seen) {
                if (result == JobEntrance::QueryResult::Known)
                    state = seen;
            });
        transfer.fleet().run(2s);
        showLog(transfer.fleet());
        REQUIRE(state == JobState::Cancelled);
        const std::size_t starts = transfer.fleet().startCount("job");
        transfer.fleet().run(5s);
        REQUIRE(transfer.fleet().startCount("job") == starts);
        requireNoViolations(transfer.fleet());
    }
}

TEST_CASE("a job that is submitted again during its transfer remains one job")
{
    TransferFleet transfer;
    transfer.removeTarget();
    transfer.runUntilWritten();
    for (const char* const host : { "north-1", "south-0", "south-1" })
        transfer.fleet().resend(transfer.call(), HostId(host));
    transfer.requireDone();
    for (const EntranceVerdict verdict : transfer.call().verdicts)
        REQUIRE(verdict == EntranceVerdict::Accepted);
}

TEST_CASE("a query during a transfer knows the job")
{
    TransferFleet transfer;
    transfer.removeTarget();
    transfer.runUntilWritten();
    REQUIRE(stateOf(transfer.fleet(), HostId("south-1"), "job"));
    transfer.requireDone();
}

TEST_CASE("a transferred job has no more failed runs than its attempts")
{
    // Guards against attempts that are counted anew in the other shard.
    TransferFleet transfer(true);
    transfer.fleet().run(300ms);
    transfer.removeTarget();
    transfer.fleet().run(transferTime);
    showLog(transfer.fleet());
    REQUIRE(transfer.record().state() == static_cast<std::uint32_t>(JobState::Failed));
    for (const auto& task : transfer.fleet().targets().runs()) {
        const auto failed = std::count_if(
            task.second.begin(), task.second.end(), [](const auto& run) { return run.ending == "failed"; });
        REQUIRE(failed <= 3);
    }
    requireNoViolations(transfer.fleet());
}

// Guards against the end of a job that is stored over the record which another shard has read: the record was emptied,
// or the job ran again after it was shown as done.
TEST_CASE("a job that ends while the write of its transfer is without a reply has one end")
{
    const Duration outage = GENERATE(100ms, 400ms, 700ms, 1000ms);
    for (Duration returnedAfter { 0 }; returnedAfter < 700ms; returnedAfter += 20ms) {
        TransferFleet transfer(false, 2, 700ms);
        EmulatedFleet& fleet = transfer.fleet();
        const TargetId target("special-" + transfer.shard());
        fleet.targets().faults.unreachableTargets = { target };
        // The runs count as lost before the target is no longer listed.
        fleet.run(2000ms);
        transfer.removeTarget();
        fleet.run(2400ms);
        fleet.store().faults.refusedHosts = { transfer.holder() };
        fleet.queue().after(outage, [&fleet] { fleet.store().faults.refusedHosts.clear(); });
        fleet.run(returnedAfter);
        fleet.targets().faults.unreachableTargets.clear();
        std::size_t startsWhenDone = 0;
        for (Duration elapsed { 0 }; elapsed < transferTime; elapsed += 100ms) {
            fleet.run(100ms);
            REQUIRE_FALSE(fleet.store().value(storekeys::job(JobId("job"))) == std::string());
            const bool isDone = transfer.record().state() == static_cast<std::uint32_t>(JobState::Done);
            if (startsWhenDone == 0 && isDone)
                startsWhenDone = fleet.startCount("job");
            if (startsWhenDone != 0 && (!isDone || fleet.startCount("job") != startsWhenDone)) {
                showLog(fleet);
                INFO("target back after " << returnedAfter.count());
                REQUIRE(isDone);
                REQUIRE(fleet.startCount("job") == startsWhenDone);
            }
        }
        showLog(fleet);
        REQUIRE(startsWhenDone != 0);
        requireNoViolations(fleet);
    }
}

// Guards against a job that stays half transferred for good: a holding that was continued had forgotten its transfers.
TEST_CASE("a transfer is completed when its holder gets the shard back after an outage of the store")
{
    const Duration outage = GENERATE(1s, 4s, 8s, 12s, 16s, 30s);
    const Duration start = GENERATE(2300ms, 2500ms, 2600ms);
    TransferFleet transfer;
    EmulatedFleet& fleet = transfer.fleet();
    transfer.removeTarget();
    fleet.run(start);
    for (const HostId& host : fleet.hosts())
        fleet.store().faults.refusedHosts.insert(host);
    fleet.run(outage);
    fleet.store().faults.refusedHosts.clear();
    INFO("outage of " << std::chrono::duration_cast<std::chrono::milliseconds>(outage).count() << " ms");
    transfer.requireDone(takeoverTime);
}
