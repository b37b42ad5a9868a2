// Tests of the weighted max-min shares: their division, the demands of other owners and their failures, and
// owners that share workers.
#include "jobs/fairshares.h"
#include "admissionsimulation.h"
#include "fleet/fleetsettings.h"

#include <boost/test/unit_test.hpp>
#include <numeric>

namespace turmericwell {

BOOST_AUTO_TEST_SUITE(FairSharesTest)

namespace {

constexpr Millis start = {100'000};
constexpr int64_t capacity = 100'000;

OwnWork own(const std::string &queue, int64_t waiting, int64_t running, const std::string &zone = "a")
{
    return {.service = "s", .queue = queue, .zone = zone, .waitingMilli = waiting, .runningMilli = running};
}

// One owner that runs 20,000 of queue "a" and asks for 100,000 in all, and a peer with the same in "b".
struct TwoOwnersFixture
{
    TwoOwnersFixture() { report(1, 80'000, 20'000, start); }

    DemandOutcome report(uint64_t incarnation, int64_t waiting, int64_t running, Millis now)
    {
        return shares.report("peer", incarnation, true,
                             {{.queue = "b", .waitingMilli = waiting, .runningMilli = running}}, now);
    }

    void update(Millis now) { shares.update("s", std::vector{own("a", 80'000, 20'000)}, capacity, now); }

    FairShares shares{SharesSettings{}};
};

} // namespace

// Guards against a share above the demand, and against unused share that is not lent.
BOOST_AUTO_TEST_CASE(unusedShareIsDividedByWeight)
{
    const std::vector<ShareClaim> claims = {
        {.weight = 1, .demand = 10}, {.weight = 1, .demand = 100}, {.weight = 2, .demand = 100}};
    const std::vector<double> shares = maxMinShares(claims, 100);
    BOOST_TEST(shares[0] == 10, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(shares[1] == 30, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(shares[2] == 60, boost::test_tools::tolerance(1e-9));
}

// Guards against capacity that is given twice, claims that get more than they ask for, and unfair shares,
// whatever the claims are.
BOOST_AUTO_TEST_CASE(sharesAreFairForAnyClaims)
{
    std::minstd_rand random(7);
    std::uniform_real_distribution<double> uniform(0, 1);
    for (uint32_t round = 0; round < 2'000; ++round) {
        std::vector<ShareClaim> claims(1 + random() % 6);
        double demand = 0;
        for (ShareClaim &claim : claims) {
            claim = {.weight = 0.1 + uniform(random), .demand = 100 * uniform(random)};
            demand += claim.demand;
        }
        const std::vector<double> shares = maxMinShares(claims, 100);
        const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
        BOOST_TEST(std::abs(sum - std::min(100.0, demand)) < 1e-6);
        for (size_t a = 0; a < claims.size(); ++a) {
            BOOST_TEST(shares[a] <= claims[a].demand + 1e-9);
            // Only a claim that is satisfied gets less by weight than another one.
            for (size_t b = 0; b < claims.size() && shares[a] < claims[a].demand - 1e-6; ++b)
                BOOST_TEST(shares[a] / claims[a].weight >= shares[b] / claims[b].weight - 1e-6);
        }
    }
}

// Guards against a guaranteed share that another queue's weight takes away.
BOOST_AUTO_TEST_CASE(guaranteedShareComesFirst)
{
    const std::vector<ShareClaim> claims = {{.weight = 1, .demand = 100, .guaranteed = 40},
                                            {.weight = 9, .demand = 100}};
    const std::vector<double> shares = maxMinShares(claims, 100);
    BOOST_TEST(shares[0] >= 40);
    BOOST_TEST(shares[0] + shares[1] == 100, boost::test_tools::tolerance(1e-9));
}

// Guards against a queue of low priority that gets nothing.
BOOST_AUTO_TEST_CASE(priorityRaisesAShareWithoutStarvingTheOthers)
{
    FairShares shares{SharesSettings{}};
    std::vector<OwnWork> work = {own("urgent", 200'000, 0), own("tolerant", 200'000, 0)};
    work[1].priority = 2;
    shares.update("s", work, capacity, start);
    BOOST_TEST(shares.share("urgent") == 75'000, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(shares.share("tolerant") == 25'000, boost::test_tools::tolerance(1e-9));
}

// Guards against a queue that seems to ask for nothing because all its jobs are rejected.
BOOST_AUTO_TEST_CASE(rejectedJobsCountAsDemand)
{
    FairShares shares{SharesSettings{}};
    // Jobs of 40 processors for 100 ms, ten a second.
    for (int64_t ms = 0; ms < 3'000; ms += 100)
        shares.recordRejected("s", "b", "a", 4'000'000, start + Millis{ms});
    shares.update("s", std::vector{own("a", 100'000, 100'000)}, capacity, start + Millis{3'000});
    BOOST_TEST(shares.isScarce("s"));
    BOOST_TEST(shares.share("b") > 30'000);
    BOOST_TEST(shares.share("b") < 45'000);
    // Not for ever.
    shares.update("s", std::vector{own("a", 100'000, 100'000)}, capacity, start + Millis{10'000});
    BOOST_TEST(shares.share("b") < 1'000);
}

// Guards against jobs that are rejected by a share while nobody else asks for the resources.
BOOST_AUTO_TEST_CASE(unusedShareIsLent)
{
    FairShares shares{SharesSettings{}};
    shares.update("s", std::vector{own("a", 0, 80'000), own("b", 0, 5'000)}, capacity, start);
    BOOST_TEST(!shares.isScarce("s"));
    BOOST_TEST(shares.allows("a", "a", 10'000, 1));
    shares.update("s", std::vector{own("a", 50'000, 90'000), own("b", 50'000, 10'000)}, capacity, start);
    BOOST_TEST(!shares.allows("a", "a", 1'000, 1));
    // A job beyond the share of a queue that runs nothing is not starved.
    BOOST_TEST(shares.allows("c", "b", 1'000'000, 1));
}

// Load pattern: the wave of one zone. Guards against a zone that takes the share of the others.
BOOST_AUTO_TEST_CASE(zoneBeyondItsShareIsRejected)
{
    FairShares shares{SharesSettings{.zones = {{"a", 1}, {"b", 3}}}};
    shares.update("s", std::vector{own("q", 60'000, 60'000, "a"), own("q", 60'000, 10'000, "b")}, capacity,
                  start);
    BOOST_TEST(!shares.allows("q", "a", 1'000, 2));
    BOOST_TEST(shares.allows("q", "b", 1'000, 2));
}

// Guards against two owners that each take the whole share of a queue.
BOOST_AUTO_TEST_CASE(ownersPartsAddUpToTheShare)
{
    FairShares first{SharesSettings{}};
    FairShares second{SharesSettings{}};
    const std::vector large = {own("a", 100'000, 40'000), own("b", 20'000, 5'000)};
    const std::vector small = {own("a", 20'000, 10'000), own("b", 60'000, 5'000)};
    first.report("second", 1, true, second.ownDemands(small, start), start);
    second.report("first", 1, true, first.ownDemands(large, start), start);
    first.update("s", large, capacity, start);
    second.update("s", small, capacity, start);
    double total = 0;
    for (const std::string queue : {"a", "b"}) {
        BOOST_TEST(first.share(queue) == second.share(queue), boost::test_tools::tolerance(1e-9));
        total += first.ownShare(queue) + second.ownShare(queue);
    }
    BOOST_TEST(total == capacity, boost::test_tools::tolerance(1e-9));
}

// Guards against a queue that loses its share to queues whose jobs run on other workers.
BOOST_AUTO_TEST_CASE(queuesOfOtherServicesAskForOtherWorkers)
{
    FairShares shares{SharesSettings{}};
    std::vector<OwnWork> work = {own("a", 50'000, 20'000), own("other", 900'000, 50'000)};
    work[1].service = "t";
    shares.update("s", work, capacity, start);
    shares.update("t", work, capacity, start);
    BOOST_TEST(!shares.isScarce("s"));
    BOOST_TEST(shares.isScarce("t"));
    BOOST_TEST(shares.share("a") == 70'000, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(shares.allows("a", "a", 10'000, 1));
    BOOST_TEST(!shares.allows("other", "a", 60'000, 1));
}

// Failure: an owner is cut off or paused in the middle of lending. Guards against its running work that is
// given to others while its agents still run it, and against capacity that stays held for it.
BOOST_FIXTURE_TEST_CASE(silentOwnerHoldsItsRunningWorkUntilItsRunsHaveEnded, TwoOwnersFixture)
{
    update(start);
    BOOST_TEST(shares.share("a") == 50'000, boost::test_tools::tolerance(1e-9));
    update(start + FairShares::reportLifetime);
    BOOST_TEST(shares.share("a") == 50'000, boost::test_tools::tolerance(1e-9));
    update(start + FairShares::reportLifetime + Millis{1});
    BOOST_TEST(shares.share("a") == 80'000, boost::test_tools::tolerance(1e-9));
    update(start + FairShares::reportLifetime + FairShares::silentOwnerRuns + Millis{1});
    BOOST_TEST(shares.share("a") == 100'000, boost::test_tools::tolerance(1e-9));
    // It is back: its share is reclaimed with the first report.
    const Millis back = start + Millis{5'000};
    BOOST_TEST((report(1, 80'000, 20'000, back) == DemandOutcome::Taken));
    update(back);
    BOOST_TEST(shares.share("a") == 50'000, boost::test_tools::tolerance(1e-9));
}

// Failure: an owner is replaced in the middle of reclaiming. Guards against demand that counts twice, and
// against a late report of the former life that replaces that of the new one.
BOOST_FIXTURE_TEST_CASE(reportOfAnOlderLifeIsIgnored, TwoOwnersFixture)
{
    BOOST_TEST((report(2, 10'000, 0, start + Millis{100}) == DemandOutcome::Taken));
    BOOST_TEST((report(1, 80'000, 20'000, start + Millis{200}) == DemandOutcome::OlderIncarnation));
    update(start + Millis{200});
    BOOST_TEST(shares.share("b") == 10'000, boost::test_tools::tolerance(1e-9));
    // The membership of the new life ends; the older life stays ignored.
    shares.ownerGone("peer");
    BOOST_TEST((report(1, 80'000, 20'000, start + Millis{300}) == DemandOutcome::OlderIncarnation));
    update(start + Millis{300});
    BOOST_TEST(shares.share("a") == 100'000, boost::test_tools::tolerance(1e-9));
}

// Guards against a process that owns nothing and still asks for a share, and against values that overflow.
BOOST_FIXTURE_TEST_CASE(reportsThatCannotBeTrueAreIgnored, TwoOwnersFixture)
{
    const std::vector<QueueDemand> demand = {{.queue = "b", .waitingMilli = 500'000}};
    BOOST_TEST((shares.report("other", 1, false, demand, start) == DemandOutcome::OwnsNothing));
    BOOST_TEST((report(1, -1, 0, start) == DemandOutcome::OutOfRange));
    BOOST_TEST((report(1, INT64_MAX, 0, start) == DemandOutcome::OutOfRange));
    std::vector<QueueDemand> many(FairShares::mostQueues + 1, demand[0]);
    BOOST_TEST((shares.report("peer", 1, true, many, start) == DemandOutcome::OutOfRange));
    update(start);
    BOOST_TEST(shares.share("b") == 50'000, boost::test_tools::tolerance(1e-9));
    // An owner that has given up its partitions asks for nothing.
    BOOST_TEST((shares.report("peer", 1, false, {}, start) == DemandOutcome::Taken));
    update(start);
    BOOST_TEST(shares.share("a") == 100'000, boost::test_tools::tolerance(1e-9));
}

// --- owners that share workers ---

namespace {

// Two kinds of equal size: the first one alone uses all processors from 1 s on, the second starts at 4 s.
AdmissionSimulationOptions lending()
{
    AdmissionSimulationOptions options;
    options.workers = 8;
    options.longTasks = 0;
    options.estimateError = 0.2;
    options.lengthMs = 10'000;
    options.kinds = {
        {.queue = "flood", .priority = 0, .tasks = 2, .runMs = 200, .cpuMilli = 1'000, .rate = 900},
        {.queue = "later", .priority = 0, .tasks = 2, .runMs = 200, .cpuMilli = 1'000, .rate = 250}};
    options.bursts = {{.kind = 1, .factor = 0, .fromMs = 0, .toMs = 4'000}};
    return options;
}

// Processors that runs started in the given time use on average, in thousandths of a core.
double usedFrom(const AdmissionSimulation &simulation, size_t kind, int64_t ms, int64_t lengthMs = 250)
{
    const auto &work = simulation.workByKind().at(kind);
    double used = 0;
    for (int64_t interval = ms / 250; interval < (ms + lengthMs) / 250; ++interval) {
        const auto found = work.find(interval);
        used += found == work.end() ? 0 : found->second / static_cast<double>(lengthMs);
    }
    return used;
}

} // namespace

// Load pattern: a flood of one kind borrows all processors, then another kind wants its share back. Guards
// against a share that is regained later than one second, or not at all, as with first come first served.
BOOST_AUTO_TEST_CASE(borrowedShareIsReclaimedWithinASecond)
{
    AdmissionSimulationOptions options = lending();
    options.scheduler.admission = ForecastAdmission{};
    AdmissionSimulation without(options);
    const std::vector<SimulatedOutcome> first = without.run();
    options.scheduler.shares = SharesSettings{};
    AdmissionSimulation with(options);
    const std::vector<SimulatedOutcome> shared = with.run();
    for (int64_t ms = 3'000; ms < 7'000; ms += 250)
        BOOST_TEST_MESSAGE(ms << " ms: without shares " << usedFrom(without, 0, ms) << " and "
                              << usedFrom(without, 1, ms) << ", with shares " << usedFrom(with, 0, ms)
                              << " and " << usedFrom(with, 1, ms));
    BOOST_TEST_MESSAGE("later kind on time: without " << first[1].onTimePart() << ", with "
                                                      << shared[1].onTimePart());
    // All processors are lent before.
    BOOST_TEST(usedFrom(with, 0, 3'500) >= 0.85 * 128'000);
    // The later kind asks for 100 of 128 processors; its share is half. It does not reach all of it: its
    // arrivals vary, and room that it leaves for a moment is lent.
    BOOST_TEST(usedFrom(with, 1, 5'000, 1'000) >= 0.75 * 64'000);
    BOOST_TEST(usedFrom(with, 1, 6'000, 1'000) >= 0.75 * 64'000);
    BOOST_TEST(usedFrom(without, 1, 6'000, 1'000) < 0.5 * 64'000);
    BOOST_TEST(usedFrom(with, 0, 5'000, 2'000) + usedFrom(with, 1, 5'000, 2'000) >= 0.9 * 128'000);
    BOOST_TEST(shared[1].onTimePart() > first[1].onTimePart());
    BOOST_TEST(shared[0].onTimePart() > 0.05);
}

// Load pattern: one owner has half of the demand. Guards against its callers being served worse than those of
// the other owners, and against a total above the capacity.
BOOST_AUTO_TEST_CASE(ownerWithHalfOfTheDemandGetsHalfOfTheShares)
{
    AdmissionSimulationOptions options = lending();
    options.owners = {0.5, 0.25, 0.25};
    options.scheduler.admission = ForecastAdmission{};
    options.scheduler.shares = SharesSettings{};
    AdmissionSimulation simulation(options);
    simulation.run();
    for (int64_t ms = 5'000; ms < 9'000; ms += 1'000)
        BOOST_TEST(usedFrom(simulation, 1, ms, 1'000) >= 0.75 * 64'000);
}

// Failure: the owner with half of the demand is cut off from the other owners while it is lent resources.
// Guards against a share that is never regained: the others' part is known to both sides from the agents.
BOOST_AUTO_TEST_CASE(shareIsRegainedWhileOneOwnerIsCutOff)
{
    AdmissionSimulationOptions options = lending();
    options.owners = {0.5, 0.25, 0.25};
    options.isolateOwnerAt = 3'900;
    options.scheduler.admission = ForecastAdmission{};
    options.scheduler.shares = SharesSettings{};
    AdmissionSimulation simulation(options);
    const std::vector<SimulatedOutcome> outcomes = simulation.run();
    for (int64_t ms = 3'500; ms < 9'500; ms += 500)
        BOOST_TEST_MESSAGE(ms << " ms: " << usedFrom(simulation, 0, ms) << " and "
                              << usedFrom(simulation, 1, ms));
    const int64_t regained =
        4'000 + FairShares::reportLifetime.count + FairShares::silentOwnerRuns.count + 1'000;
    // The owner that hears of no other one takes the whole share for its part of the demand.
    BOOST_TEST(usedFrom(simulation, 1, regained, 1'000) >= 0.7 * 64'000);
}

// --- settings ---

namespace {

std::vector<std::string> problemsOf(const std::string &extra)
{
    const std::string text = R"({"name":"e","zone":"z","store":"127.0.0.1:1","peerListen":"127.0.0.1:2",)"
                             R"("metricsListen":"127.0.0.1:3","clientListen":"127.0.0.1:4",)"
                             R"("readyListen":"127.0.0.1:5")"
        + extra + "}";
    Problems problems;
    parseFleetEntrySettings("e.json", text, problems);
    std::vector<std::string> texts;
    for (const Problem &problem : problems)
        texts.push_back(problem.text());
    return texts;
}

} // namespace

// Guards against wrong settings that are taken silently, and errors that do not name file, key and reason.
BOOST_AUTO_TEST_CASE(wrongSettingsAreNamed)
{
    BOOST_TEST(problemsOf("").empty());
    BOOST_TEST(
        problemsOf(R"(,"admission":"forecast","shares":{"default":2,"queues":{"q":0.5},"zones":{"z":3}})")
            .empty());
    const std::vector<std::pair<std::string, std::string>> cases = {
        {R"(,"admission":"oracle")", "e.json: admission: "},
        {R"(,"shares":{"queues":{"q":0}})", "e.json: shares.queues.q: a weight must be above 0"},
        {R"(,"shares":{"queues":{"q":-1}})", "e.json: shares.queues.q: "},
        {R"(,"shares":{"zones":{"z":0}})", "e.json: shares.zones.z: a weight must be above 0"},
        {R"(,"shares":{"default":0})", "e.json: shares.default: "},
        {R"(,"shares":{"guaranteed":{"q":0.6,"r":0.5}})", "e.json: shares.guaranteed: "},
        {R"(,"shares":{"accounts":{"c":1}})", "e.json: shares.accounts.c: is not a known account"},
        {R"(,"shares":{"preempt":true})", "e.json: shares.preempt: "},
        {R"(,"shares":{"weights":{}})", "e.json: shares.weights: "},
        {R"(,"shares":3)", "e.json: shares: "}};
    for (const auto &[extra, expected] : cases) {
        const std::vector<std::string> problems = problemsOf(extra);
        BOOST_TEST_CONTEXT(extra)
        {
            BOOST_TEST_REQUIRE(problems.size() == 1U);
            BOOST_TEST_INFO(problems[0]);
            BOOST_TEST(problems[0].starts_with(expected));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
