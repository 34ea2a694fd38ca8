#include "simulation/run/FailureRun.h"

#include "simulation/run/SimulatedCallers.h"

#include <set>
#include <sstream>

namespace rattanroad {

namespace {

    constexpr std::size_t hostCount = 6;
    constexpr std::size_t targetCount = 12;
    constexpr Duration settleTime = std::chrono::seconds(4);
    constexpr Duration loadTime = std::chrono::seconds(12);
    constexpr Duration meanGap = std::chrono::milliseconds(60);
    // Takeovers, keeper changes with their lease, and the trial tasks of ejected targets need a few seconds each.
    constexpr Duration recoveryTime = std::chrono::seconds(10);
    // Longest deadline of a job plus the resubmissions, and the wait for a host of the last configuration.
    constexpr Duration quietTime = std::chrono::seconds(20);

    FleetSettings fleetSettings()
    {
        FleetSettings settings;
        const char* const domains[] { "nyamirambo", "kimironko", "remera" };
        for (std::size_t host = 0; host < hostCount; host++)
            settings.hosts.push_back({ FailureDomainId(domains[host % 3]), RegionId("kigali") });
        for (std::size_t index = 0; index < targetCount; index++) {
            FakeTargets::Settings target;
            target.id = TargetId("t" + std::to_string(index));
            target.place = settings.hosts[index % 3];
            target.speed = index % 2 ? 1.0 : 1.6;
            target.slots = 4;
            settings.targets.push_back(std::move(target));
        }
        settings.kinds = { WorkKind("work") };
        settings.teams = { { TeamId("team"), SlotCount(0), 1 } };
        return settings;
    }

    void appendEvents(std::ostringstream& text, const History& history, const std::set<std::string>& submissions)
    {
        History part;
        for (const HistoryEvent& event : history.events()) {
            if (event.submission.empty() || submissions.count(event.submission))
                part.add(event);
        }
        part.write(text);
    }

    // The violations name submissions as words like "s17".
    std::set<std::string> namesIn(const std::string& text)
    {
        std::set<std::string> names;
        std::istringstream words(text);
        for (std::string word; words >> word;) {
            while (!word.empty() && (word.back() == ',' || word.back() == ':'))
                word.pop_back();
            const bool isName
                = word.size() > 1 && word[0] == 's' && word.find_first_not_of("0123456789", 1) == std::string::npos;
            if (isName)
                names.insert(word);
        }
        return names;
    }

}

FailureRun::Outcome FailureRun::run(std::uint64_t seed)
{
    Outcome outcome;
    outcome.seed = seed;
    VirtualClock clock;
    EventQueue queue(clock);
    PcgRandomSource random(seed);
    Fleet fleet(fleetSettings(), queue, random.next(), &outcome.history);
    SimulatedCallers callers(fleet, random);
    fleet.start();
    queue.runUntil(queue.now() + settleTime);
    const FaultPlan plan
        = FaultPlan::draw(random, hostCount, targetCount, std::chrono::seconds(1), loadTime - std::chrono::seconds(1));
    outcome.faults = plan.text();
    plan.schedule(fleet, [&callers] { callers.cancelWave(); });
    for (Duration at { 0 }; at < loadTime;
         at += Duration(static_cast<std::int64_t>(random.uniform() * 2 * static_cast<double>(meanGap.count()))))
        queue.after(at, [&callers] { callers.sendJob(); });
    const TimePoint healed = queue.now() + std::max(loadTime, plan.healedAt());
    queue.runUntil(healed + recoveryTime);
    for (std::size_t host = 0; host < hostCount; host++)
        callers.sendProbe(host);
    queue.runUntil(healed + recoveryTime + quietTime);
    outcome.violations = HistoryChecker::check(outcome.history);
    outcome.unanswered = callers.unanswered();
    outcome.failedProbes = callers.failedProbes();
    outcome.completedJobs = callers.completedJobs();
    return outcome;
}

std::string FailureRun::Outcome::report() const
{
    std::ostringstream text;
    text << "seed " << seed << ", repeat with: build/tests/simulation/rattanroad_simulate --first " << seed
         << " --count 1 --history FILE\n"
         << faults;
    std::set<std::string> submissions;
    const auto mention = [&](const char* what, const std::string& line) {
        text << what << line << "\n";
        const std::set<std::string> names = namesIn(line);
        submissions.insert(names.begin(), names.end());
    };
    for (const Violation& violation : violations)
        mention(("guarantee " + std::to_string(static_cast<int>(violation.guarantee)) + " at "
                    + std::to_string(violation.timeUs / 1000) + " ms: ")
                    .c_str(),
            violation.reason);
    for (const std::string& line : unanswered)
        mention("never answered: ", line);
    for (const std::string& line : failedProbes)
        mention("probe failed after recovery: ", line);
    appendEvents(text, history, submissions);
    return text.str();
}

}
