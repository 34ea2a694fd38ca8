#include "shards/FleetChecks.h"

#include <sstream>

using namespace rattanroad;
using namespace rattanroad::emulator;
using namespace rattanroad::shards;
using namespace std::chrono_literals;

namespace {

/** In calm, accepted jobs start for this long after an evacuation: two seconds, and the time to learn of it. */
constexpr auto calmBound = 2100ms;
/** A caller waits for this long. */
constexpr auto callerWait = 1500ms;

/** A fleet of three failure domains whose host "south-0" takes the jobs in. */
class EvacuationFleet {
public:
    explicit EvacuationFleet(std::vector<std::string> domains = { "north", "south", "west" })
        : m_fleet(settings(std::move(domains)))
    {
        m_fleet.startAll();
    }

    EmulatedFleet& fleet() { return m_fleet; }
    TimePoint now() { return m_fleet.queue().now(); }
    /** Submits a job to one of the hosts in turn every 50 ms, for @p duration. Two tasks of 150 ms use half of two
        failure domains. */
    void submitJobsFor(Duration duration, std::uint32_t tasks = 2, std::chrono::milliseconds taskDuration = 60ms)
    {
        const TimePoint end = now() + duration;
        while (now() < end) {
            const std::vector<HostId> hosts = m_fleet.hosts();
            const HostId& host = hosts[++m_jobs % hosts.size()];
            if (m_fleet.isUp(host))
                m_fleet.submit(host, "job-" + std::to_string(m_jobs), tasks, taskDuration, true);
            m_fleet.run(50ms);
        }
    }
    /** Returns the number of tasks that were started in a failure domain after @p time. */
    std::size_t startsIn(const std::string& domain, TimePoint time)
    {
        std::size_t starts = 0;
        for (const auto& task : m_fleet.targets().runs()) {
            for (const auto& run : task.second) {
                const auto& report = m_fleet.targets().reports().at(run.target);
                starts += report.failureDomain.value() == domain && run.startedAt >= time ? 1 : 0;
            }
        }
        return starts;
    }
    /** Returns the share of the jobs sent since @p time that are done. */
    double shareDone(TimePoint time)
    {
        double all = 0;
        double done = 0;
        for (const auto& call : m_fleet.calls()) {
            if (call.sentAt < time)
                continue;
            ++all;
            done += !call.verdicts.empty() && call.verdicts.back() == EntranceVerdict::Done ? 1 : 0;
        }
        return all == 0 ? 0 : done / all;
    }
    /** Returns the number of log lines with this event. */
    std::size_t lines(const std::string& event)
    {
        return static_cast<std::size_t>(std::count_if(m_fleet.log().begin(), m_fleet.log().end(),
            [&](const std::string& line) { return line.find(" " + event + " ") != std::string::npos; }));
    }
    /** Fills the targets of a failure domain with stored jobs that run for @p duration. */
    void fill(const std::string& domain, std::chrono::milliseconds duration)
    {
        auto& call = m_fleet.submit(m_fleet.holderOf(domain), "filler-" + domain, 6, duration, false);
        call.description.mutable_phases(0)->set_required_label("rack-" + domain);
        m_fleet.run(50ms);
    }

private:
    static EmulatedFleet::Settings settings(std::vector<std::string> domains)
    {
        EmulatedFleet::Settings settings;
        settings.domains = std::move(domains);
        settings.limits.evacuation = 5000ms;
        return settings;
    }

    EmulatedFleet m_fleet;
    std::size_t m_jobs { 0 };
};

}

TEST_CASE("new jobs go to other failure domains at once when one is evacuated, and return when that ends")
{
    EvacuationFleet evacuation;
    evacuation.submitJobsFor(1s);
    REQUIRE(evacuation.startsIn("north", evacuation.now() - 500ms) > 0);
    const TimePoint evacuatedAt = evacuation.now();
    evacuation.fleet().evacuate("north");
    evacuation.fleet().run(50ms);
    const TimePoint sentAt = evacuation.now();
    evacuation.submitJobsFor(6s);
    REQUIRE(evacuation.startsIn("north", evacuatedAt + 250ms) == 0);
    REQUIRE(evacuation.shareDone(sentAt) > 0.99);
    REQUIRE(evacuation.lines("evacuation_learned") == evacuation.fleet().hosts().size());
    evacuation.fleet().endEvacuation("north");
    evacuation.submitJobsFor(1s);
    REQUIRE(evacuation.startsIn("north", evacuation.now() - 500ms) > 0);
    REQUIRE(evacuation.lines("evacuation_ended") == evacuation.fleet().hosts().size());
    requireNoViolations(evacuation.fleet());
}

TEST_CASE("jobs that wait for room in an evacuated failure domain are done elsewhere while their callers wait")
{
    // Guards against holding them until the domain starts nothing more.
    EvacuationFleet evacuation({ "north", "south" });
    EmulatedFleet& fleet = evacuation.fleet();
    evacuation.fill("north", 5s);
    for (int i = 0; i < 4; ++i) {
        auto& call = fleet.submit(HostId("south-0"), "waiting-" + std::to_string(i), 1, 100ms, true);
        call.description.mutable_phases(0)->set_required_label("rack-north");
    }
    fleet.run(20ms);
    REQUIRE(evacuation.lines("job_taken") == 4);
    // Targets with the label are listed in the other failure domain by now.
    TargetReport report = fleet.targets().reports().at(TargetId("target-south-0"));
    report.id = TargetId("target-south-label");
    report.labels = { "rack-north" };
    fleet.targets().add(report);
    fleet.listTarget(report.id);
    fleet.run(500ms);
    fleet.evacuate("north");
    fleet.run(callerWait - 600ms);
    showLog(fleet);
    REQUIRE(evacuation.lines("job_returned") == 4);
    REQUIRE(evacuation.lines("job_sent_elsewhere") == 4);
    for (const auto& call : fleet.calls()) {
        if (call.description.best_effort())
            REQUIRE(call.verdicts == std::vector<EntranceVerdict> { EntranceVerdict::Done });
    }
    requireNoViolations(fleet);
}

TEST_CASE("a job that may have a run stays in an evacuated failure domain")
{
    // Guards against two runs of a task: the rest of a job that has started is not submitted elsewhere.
    EvacuationFleet evacuation({ "north", "south" });
    EmulatedFleet& fleet = evacuation.fleet();
    auto& call = fleet.submit(HostId("south-0"), "started", 9, 200ms, true);
    call.description.mutable_phases(0)->set_required_label("rack-north");
    fleet.run(50ms);
    REQUIRE(fleet.startCount("started") == 6);
    fleet.evacuate("north");
    fleet.run(2s);
    REQUIRE(call.verdicts == std::vector<EntranceVerdict> { EntranceVerdict::Done });
    REQUIRE(fleet.startCount("started") == 9);
    REQUIRE(evacuation.lines("job_returned") == 0);
    requireNoViolations(fleet);
}

TEST_CASE("an accepted job that only the evacuated failure domain can run waits, and ends when the evacuation does")
{
    EvacuationFleet evacuation({ "north", "south" });
    EmulatedFleet& fleet = evacuation.fleet();
    evacuation.fill("north", 3s);
    auto& call = fleet.submit(HostId("south-0"), "stored", 2, 100ms, false);
    call.description.mutable_phases(0)->set_required_label("rack-north");
    fleet.run(100ms);
    REQUIRE(call.verdicts == std::vector<EntranceVerdict> { EntranceVerdict::Accepted });
    fleet.evacuate("north");
    fleet.run(8s);
    REQUIRE(fleet.startCount("stored") == 0);
    REQUIRE(stateOf(fleet, HostId("north-0"), "stored") == JobState::Queued);
    fleet.endEvacuation("north");
    fleet.run(1s);
    REQUIRE(stateOf(fleet, HostId("north-0"), "stored") == JobState::Done);
    requireNoViolations(fleet);
}

TEST_CASE("all failure domains evacuated: jobs are refused, and served again when one evacuation ends")
{
    EvacuationFleet evacuation;
    EmulatedFleet& fleet = evacuation.fleet();
    for (const char* const domain : { "north", "south", "west" })
        fleet.evacuate(domain);
    fleet.run(100ms);
    auto& refused = fleet.submit(HostId("south-0"), "refused", 1, 60ms, true);
    fleet.run(300ms);
    showLog(fleet);
    REQUIRE(refused.verdicts == std::vector<EntranceVerdict> { EntranceVerdict::Refused });
    REQUIRE(fleet.node(HostId("south-0")).isReady());
    fleet.run(6s);
    fleet.endEvacuation("west");
    fleet.run(300ms);
    auto& served = fleet.submit(HostId("south-0"), "served", 1, 60ms, true);
    fleet.run(300ms);
    REQUIRE(served.verdicts == std::vector<EntranceVerdict> { EntranceVerdict::Done });
    REQUIRE(fleet.startCount("refused") == 0);
    requireNoViolations(fleet);
}

TEST_CASE("two evacuations at once leave the third failure domain the work")
{
    EvacuationFleet evacuation;
    evacuation.submitJobsFor(500ms, 1);
    evacuation.fleet().evacuate("north");
    evacuation.fleet().run(300ms);
    evacuation.fleet().evacuate("south");
    evacuation.fleet().run(50ms);
    const TimePoint sentAt = evacuation.now();
    evacuation.submitJobsFor(6s, 1, 40ms);
    evacuation.fleet().run(callerWait);
    REQUIRE(evacuation.startsIn("north", sentAt + calmBound) == 0);
    REQUIRE(evacuation.startsIn("south", sentAt + calmBound) == 0);
    REQUIRE(evacuation.shareDone(sentAt) > 0.99);
    requireNoViolations(evacuation.fleet());
}

TEST_CASE("an evacuation that is withdrawn before it is complete leaves no job in two failure domains")
{
    // Guards against a late submission that brings a returned job back to the failure domain that has returned it.
    EvacuationFleet evacuation({ "north", "south" });
    EmulatedFleet& fleet = evacuation.fleet();
    for (int i = 0; i < 20; ++i) {
        evacuation.submitJobsFor(200ms, 8, 120ms);
        fleet.evacuate(i % 2 == 0 ? "north" : "south");
        evacuation.submitJobsFor(50ms * (1 + i % 4), 8, 120ms);
        fleet.endEvacuation(i % 2 == 0 ? "north" : "south");
    }
    fleet.run(3s);
    REQUIRE(evacuation.lines("job_returned") > 0);
    const TimePoint endedAt = evacuation.now();
    evacuation.submitJobsFor(1s);
    fleet.run(callerWait);
    REQUIRE(evacuation.shareDone(endedAt) > 0.99);
    requireNoViolations(fleet);
}

TEST_CASE("no host starts a task too late when the holder is lost during an evacuation")
{
    for (const auto delay : { 0ms, 20ms, 500ms, 1900ms, 2500ms }) {
        EvacuationFleet evacuation;
        EmulatedFleet& fleet = evacuation.fleet();
        evacuation.submitJobsFor(500ms, 6, 150ms);
        const TimePoint evacuatedAt = evacuation.now();
        const HostId holder = fleet.holderOf("north");
        fleet.evacuate("north");
        if (delay > 0ms)
            evacuation.submitJobsFor(delay, 2, 150ms);
        fleet.kill(holder);
        evacuation.submitJobsFor(8s, 2, 150ms);
        REQUIRE(fleet.holderOf("north") != HostId());
        REQUIRE(evacuation.startsIn("north", evacuatedAt + 3s) == 0);
        REQUIRE(evacuation.shareDone(evacuatedAt + 2s) > 0.9);
        requireNoViolations(fleet);
    }
}

TEST_CASE("no host starts a task too late when the store is out of reach during an evacuation")
{
    for (const auto delay : { 0ms, 5ms, 300ms }) {
        EvacuationFleet evacuation;
        EmulatedFleet& fleet = evacuation.fleet();
        evacuation.submitJobsFor(500ms, 6, 150ms);
        fleet.evacuate("north");
        if (delay > 0ms)
            fleet.run(delay);
        fleet.store().faults.isDown = true;
        evacuation.submitJobsFor(6s, 2, 150ms);
        fleet.store().faults.isDown = false;
        const TimePoint backAt = evacuation.now();
        evacuation.submitJobsFor(4s, 2, 150ms);
        // The last jobs have to end before they are counted.
        fleet.run(500ms);
        REQUIRE(evacuation.startsIn("north", backAt + 1s) == 0);
        REQUIRE(evacuation.shareDone(backAt + 2s) > 0.9);
        requireNoViolations(fleet);
    }
}

TEST_CASE("a holder whose watch of the operator's keys is left unanswered learns of an evacuation from peers")
{
    // Guards against starts of a holder that reads its targets from the store, but not the evacuation.
    EvacuationFleet evacuation;
    EmulatedFleet& fleet = evacuation.fleet();
    evacuation.submitJobsFor(500ms);
    const HostId holder = fleet.holderOf("north");
    fleet.store().faults.unreadableHosts.insert(holder);
    fleet.store().faults.unreadablePrefix = "op/";
    fleet.run(2500ms);
    fleet.evacuate("north");
    const TimePoint evacuatedAt = evacuation.now();
    evacuation.submitJobsFor(7s, 6, 150ms);
    REQUIRE(evacuation.startsIn("north", evacuatedAt + 3s) == 0);
    requireNoViolations(fleet);
    const auto isReported = [](const std::string& line) {
        return line.find("evacuation_learned") != std::string::npos
            && line.find("from another host") != std::string::npos;
    };
    REQUIRE(std::any_of(fleet.log().begin(), fleet.log().end(), isReported));
}

TEST_CASE("a host that was cut off starts nothing in a failure domain that was evacuated meanwhile")
{
    EvacuationFleet evacuation;
    EmulatedFleet& fleet = evacuation.fleet();
    evacuation.submitJobsFor(500ms);
    const HostId holder = fleet.holderOf("north");
    for (const auto length : { 1s, 3s, 6s }) {
        fleet.isolate(holder);
        fleet.run(100ms);
        fleet.evacuate("north");
        evacuation.submitJobsFor(length, 2, 150ms);
        fleet.reconnect(holder);
        const TimePoint backAt = evacuation.now();
        evacuation.submitJobsFor(3s, 2, 150ms);
        REQUIRE(evacuation.startsIn("north", backAt + 2s) == 0);
        fleet.endEvacuation("north");
        evacuation.submitJobsFor(2s);
    }
    requireNoViolations(fleet);
}

TEST_CASE("a failure domain that is cut off while it is evacuated gets no late starts")
{
    for (const auto delay : { 0ms, 500ms, 2500ms }) {
        EvacuationFleet evacuation;
        EmulatedFleet& fleet = evacuation.fleet();
        evacuation.submitJobsFor(500ms);
        fleet.evacuate("north");
        if (delay > 0ms)
            evacuation.submitJobsFor(delay, 2, 150ms);
        fleet.cutOff("north");
        evacuation.submitJobsFor(4s, 2, 150ms);
        fleet.endCutOff("north");
        const TimePoint backAt = evacuation.now();
        evacuation.submitJobsFor(5s, 2, 150ms);
        REQUIRE(evacuation.startsIn("north", backAt + 1s) == 0);
        requireNoViolations(fleet);
    }
}

TEST_CASE("a notice that a job was returned is repeated when it is lost")
{
    EvacuationFleet evacuation({ "north", "south" });
    EmulatedFleet& fleet = evacuation.fleet();
    const HostId holder = fleet.holderOf("north");
    evacuation.fill("north", 5s);
    auto& call = fleet.submit(HostId("south-0"), "waiting", 1, 100ms, true);
    call.description.mutable_phases(0)->set_required_label("rack-north");
    fleet.run(20ms);
    TargetReport report = fleet.targets().reports().at(TargetId("target-south-0"));
    report.id = TargetId("target-south-label");
    report.labels = { "rack-north" };
    fleet.targets().add(report);
    fleet.listTarget(report.id);
    fleet.run(500ms);
    fleet.dropMessages(holder, 40ms);
    fleet.evacuate("north");
    fleet.run(700ms);
    REQUIRE(call.verdicts == std::vector<EntranceVerdict> { EntranceVerdict::Done });
    requireNoViolations(fleet);
}

TEST_CASE("keys of the operator that are no evacuation are ignored")
{
    EvacuationFleet evacuation({ "north", "south" });
    EmulatedFleet& fleet = evacuation.fleet();
    fleet.store().put("op/evacuate/", "{}");
    fleet.store().put("op/evacuate/north", "[");
    fleet.store().put("op/evacuate/elsewhere", "{}");
    fleet.store().put("op/other", "{}");
    evacuation.submitJobsFor(4s);
    REQUIRE(evacuation.lines("evacuation_ignored") == 3 * fleet.hosts().size());
    REQUIRE(evacuation.lines("evacuation_learned") == 0);
    REQUIRE(evacuation.startsIn("north", evacuation.now() - 1s) > 0);
    fleet.store().remove("op/evacuate/north");
    fleet.run(100ms);
    REQUIRE(evacuation.lines("evacuation_ended") == 0);
    REQUIRE(evacuation.shareDone(TimePoint()) > 0.99);
    requireNoViolations(fleet);
}
