// Tests of quotas, the retry budget and the estimated queue wait.
#include "limits/admission.h"
#include "limits/retrybudget.h"
#include "turmericwell/outcome.h"

#include <boost/test/unit_test.hpp>

using namespace turmericwell;
using namespace turmericwell::literals;

namespace {

ConfigPtr makeConfig(ServiceDeclaration service, TeamDeclaration team)
{
    Config config;
    config.declarations.services.push_back(std::move(service));
    config.declarations.teams.push_back(std::move(team));
    return std::make_shared<Config>(std::move(config));
}

AdmissionRequest ofTeam(uint32_t tasks, Millis budget = {10'000})
{
    return {.service = "s", .team = "t", .tasks = tasks, .budget = budget};
}

} // namespace

BOOST_AUTO_TEST_SUITE(limits)

// Guards against a job that is larger than the burst and could never be admitted, and against a rate above
// the quota.
BOOST_AUTO_TEST_CASE(aBucketAdmitsLargeJobsAtItsAverageRate)
{
    TokenBucket bucket(100, 100);
    uint32_t taken = 0;
    for (Millis now = {0}; now < 60'000_ms; now += 10_ms) {
        if (bucket.isReady(now)) {
            bucket.take(420);
            taken += 420;
        }
    }
    BOOST_TEST(taken >= 5'900U);
    BOOST_TEST(taken <= 6'600U);
    const Millis wait = bucket.timeUntilReady(60'000_ms);
    BOOST_TEST(!bucket.isReady(60'000_ms + wait - 1_ms));
    BOOST_TEST(bucket.isReady(60'000_ms + wait));
}

// Guards against entries that each allow the whole quota, and against a bucket that every configuration
// change refills.
BOOST_AUTO_TEST_CASE(teamQuotasAreSharedAndSurviveChanges)
{
    Admission admission;
    const ConfigPtr config = makeConfig({.name = "s"}, {.name = "t", .startsPerSecond = 40});
    admission.setEntryCount(4);
    admission.setConfig(config);
    BOOST_TEST(!admission.admit(ofTeam(10), 0_ms).has_value());
    admission.setConfig(config);
    const std::optional<AdmissionRejection> rejected = admission.admit(ofTeam(1), 0_ms);
    BOOST_REQUIRE(rejected.has_value());
    BOOST_TEST(rejected->reason == reason::quota);
    BOOST_TEST(rejected->retryAfter.count > 0);
    BOOST_TEST(!admission.admit(ofTeam(1), rejected->retryAfter).has_value());
}

// Guards against a team or service that exceeds its limit of running tasks.
BOOST_AUTO_TEST_CASE(runningLimitsThrottleTasks)
{
    Admission admission;
    admission.setConfig(makeConfig({.name = "s", .maxRunning = 3}, {.name = "t", .maxRunning = 2}));
    const auto release = [&](const std::string &team) {
        admission.stageChanged("s", team, TaskStage::None, TaskStage::Waiting);
        if (!admission.mayRelease("s", team))
            return false;
        admission.stageChanged("s", team, TaskStage::Waiting, TaskStage::Released);
        return true;
    };
    BOOST_TEST(release("t"));
    BOOST_TEST(release("t"));
    BOOST_TEST(!release("t"));
    BOOST_TEST(release(""));
    BOOST_TEST(!release(""));
    admission.stageChanged("s", "t", TaskStage::Released, TaskStage::Running);
    admission.stageChanged("s", "t", TaskStage::Running, TaskStage::None);
    BOOST_TEST(admission.mayRelease("s", "t"));
}

// Guards against a queue that accepts tasks it cannot start before their deadline.
BOOST_AUTO_TEST_CASE(aDeadlineThatTheQueueCannotMeetIsRejected)
{
    Admission admission;
    admission.setConfig(makeConfig({.name = "s"}, {.name = "t"}));
    for (int i = 0; i < 10; ++i) {
        admission.stageChanged("s", "t", TaskStage::None, TaskStage::Waiting);
        admission.stageChanged("s", "t", TaskStage::Waiting, TaskStage::Released);
        admission.stageChanged("s", "t", TaskStage::Released, TaskStage::Running);
    }
    for (int i = 0; i < 99; ++i)
        admission.stageChanged("s", "t", TaskStage::None, TaskStage::Waiting);
    BOOST_TEST(!admission.admit(ofTeam(1, 1_ms), 0_ms).has_value());
    admission.recordRunTime("s", 100_ms);
    BOOST_TEST(admission.estimatedWait("s", 1).count == 1'000);
    BOOST_TEST(!admission.admit(ofTeam(1, 1'000_ms), 0_ms).has_value());
    const std::optional<AdmissionRejection> rejected = admission.admit(ofTeam(1, 999_ms), 0_ms);
    BOOST_REQUIRE(rejected.has_value());
    BOOST_TEST(rejected->reason == reason::deadline);
    BOOST_TEST(rejected->retryAfter.count > 0);
}

BOOST_AUTO_TEST_CASE(aFullServiceQueueIsRejected)
{
    Admission admission;
    admission.setConfig(makeConfig({.name = "s", .maxQueued = 10}, {.name = "t"}));
    admission.setEntryCount(2);
    BOOST_TEST(!admission.admit(ofTeam(5), 0_ms).has_value());
    admission.stageChanged("s", "t", TaskStage::None, TaskStage::Waiting);
    const std::optional<AdmissionRejection> rejected = admission.admit(ofTeam(5), 0_ms);
    BOOST_REQUIRE(rejected.has_value());
    BOOST_TEST(rejected->reason == reason::queueFull);
}

// Guards against retries that amplify an overload.
BOOST_AUTO_TEST_CASE(retriesAreATenthOfStarts)
{
    RetryBudget budget({.initial = 0});
    BOOST_TEST(!budget.tryRetry());
    uint32_t retries = 0;
    for (int i = 0; i < 1'000; ++i) {
        budget.started(1);
        retries += budget.tryRetry() ? 1 : 0;
    }
    BOOST_TEST(retries == 100U);
    budget.started(1'000'000);
    for (retries = 0; budget.tryRetry();)
        ++retries;
    BOOST_TEST(retries == 1'000U);
}

BOOST_AUTO_TEST_SUITE_END()
