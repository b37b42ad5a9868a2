// Runs that were ordered from an agent that is gone, and may still start.
#include "unit/jobschedulerfixture.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

struct LateStartsFixture : JobSchedulerFixture
{
    // Orders one task, whose agent is then gone.
    RecordedEffects::Start loseAgent(bool bestEffort)
    {
        load();
        submit(job(1, 1, bestEffort));
        storeAll();
        BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
        const RecordedEffects::Start lost = effects.starts[0];
        now += Millis{2'500};
        pool.remove(lost.agent);
        scheduler.agentGone(lost.agent, now);
        scheduler.advance(now);
        storeAll();
        return lost;
    }

    void pass(Millis time)
    {
        now += time;
        scheduler.advance(now);
        storeAll();
    }
};

BOOST_AUTO_TEST_SUITE(lateStarts)

// Guards against two runs of a task at the same time: a start that its worker had not answered was carried
// out by the worker's next life, while the agent was frozen and the next run was at work elsewhere
// (review/14).
BOOST_FIXTURE_TEST_CASE(taskWaitsWhileItsRunMayStartLate, LateStartsFixture)
{
    loseAgent(false);
    BOOST_TEST(effects.starts.size() == 1U);
    pass({9'000});
    BOOST_TEST(effects.starts.size() == 1U);
    pass({3'000});
    BOOST_TEST(effects.starts.size() == 2U);
}

// Guards against a wait that goes on although the agent is back and would stop a late run.
BOOST_FIXTURE_TEST_CASE(taskIsOrderedAgainWhenItsAgentReports, LateStartsFixture)
{
    const RecordedEffects::Start lost = loseAgent(false);
    BOOST_TEST(effects.starts.size() == 1U);
    scheduler.claimReport(lost.agent, 0, 1, {}, {}, now);
    pass({10});
    BOOST_TEST(effects.starts.size() == 2U);
}

// Guards against a second run beside one that has started late, and that the agent reports when it is back.
BOOST_FIXTURE_TEST_CASE(lateRunIsAdopted, LateStartsFixture)
{
    const RecordedEffects::Start lost = loseAgent(false);
    scheduler.claimReport(lost.agent, 0, 1, std::span(&lost.run, 1), {}, now);
    pass({14'000});
    BOOST_TEST(effects.starts.size() == 1U);
    end(lost, EndKind::Done);
    storeAll();
    BOOST_TEST((scheduler.query(1).phase == JobPhase::Completed));
}

// Guards against the same for a best-effort job that is given up and submitted again meanwhile.
BOOST_FIXTURE_TEST_CASE(resubmittedJobWaitsWhileAFormerRunMayStartLate, LateStartsFixture)
{
    loseAgent(true);
    pass({10});
    BOOST_TEST(scheduler.activeJobs() == 0U);
    submit(job(1, 1, true));
    BOOST_TEST(scheduler.activeJobs() == 1U);
    BOOST_TEST(effects.starts.size() == 1U);
}

// Guards against a wait for a start that an agent which has left as planned has never accepted.
BOOST_FIXTURE_TEST_CASE(orderThatCrossedALeavingAgentIsRepeatedAtOnce, LateStartsFixture)
{
    load();
    submit(job(1, 1, false));
    storeAll();
    scheduler.agentLeft(effects.starts[0].agent, now);
    scheduler.advance(now);
    storeAll();
    BOOST_TEST(effects.starts.size() == 2U);
}

// Guards against a wait for a run that is known to have started, and has ended with its lease.
BOOST_FIXTURE_TEST_CASE(taskOfAStartedRunIsOrderedAgainAtOnce, LateStartsFixture)
{
    load();
    submitAndStart(1, 1);
    scheduler.agentGone(effects.starts[0].agent, now);
    scheduler.advance(now);
    storeAll();
    BOOST_TEST(effects.starts.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
