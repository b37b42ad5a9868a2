// Lease bounds: an agent that has never had an answer of its worker tells the owner of a partition by when
// the runs of former owners will have ended, and the owner waits for the agent no longer than that.
#include "jobschedulerfixture.h"
#include "workermanagerfixture.h"

#include <memory>

namespace turmericwell {

// An agent process that has just started, whose worker does not answer yet, and entry 7, which is connected.
struct RestartedAgentFixture
{
    // A lease of 1 s on a clock that is 2% slow, and 100 ms.
    static constexpr Millis formerLease = {1'120};
    static constexpr Millis tick = {20};

    RestartedAgentFixture()
    {
        agent.entryConnected(7, now);
        agent.announced(WorkerManagerFixture::announcement(), now);
        agent.advance(now);
    }

    // Advances the time, and answers no list poll.
    void advanceWithoutWorker(Millis time)
    {
        for (const Millis end = now + time; now < end;) {
            now += tick;
            agent.entryAnswered(7, now);
            for (const ListPollCall &call : std::exchange(effects.openListPolls, {}))
                agent.listPollAnswered(call.number, OrderAnswer::NoAnswer, {}, now);
            agent.advance(now);
        }
    }

    void answerListPolls(const std::vector<ListedRun> &running)
    {
        for (const ListPollCall &call : std::exchange(effects.openListPolls, {}))
            agent.listPollAnswered(call.number, OrderAnswer::Done,
                                   {.workerClock = now - workerStart, .born = 10, .running = running}, now);
    }

    const Millis workerStart = {90'000};
    const Millis startedAt = {100'000};
    Millis now = startedAt;
    StructuredLog log;
    RecordedWorkerEffects effects;
    WorkerManager agent{{.partitions = 1}, 1, now, effects, log};
};

BOOST_AUTO_TEST_SUITE(LeaseBound)

// Guards against an owner that waits 2.5 s for an agent which restarts after its worker has left and
// disappears before it can report (hsv-kiosk trouble-3).
BOOST_FIXTURE_TEST_CASE(agentWithoutAWorkerTellsWhenFormerRunsEnd, RestartedAgentFixture)
{
    advanceWithoutWorker({100});
    agent.claim(7, 0, 5, now, 12);
    advanceWithoutWorker(tick);
    BOOST_TEST(effects.claims.empty());
    BOOST_TEST_REQUIRE(effects.leaseBounds.size() == 1U);
    const fleet::LeaseBoundT &bound = effects.leaseBounds[0];
    BOOST_TEST(bound.partition == 0U);
    BOOST_TEST(bound.epoch == 5U);
    BOOST_TEST(bound.claim == 12U);
    BOOST_TEST(bound.lease_left_ms == (startedAt + formerLease - now).count);
    advanceWithoutWorker({200});
    BOOST_TEST(effects.leaseBounds.size() == 1U);
    // A newer claim is answered with a bound of its own, which ends at the same time.
    agent.claim(7, 0, 6, now, 13);
    advanceWithoutWorker(tick);
    BOOST_TEST_REQUIRE(effects.leaseBounds.size() == 2U);
    BOOST_TEST(effects.leaseBounds[1].claim == 13U);
    BOOST_TEST(effects.leaseBounds[1].lease_left_ms == (startedAt + formerLease - now).count);
}

// Guards against a worker that is left unused because its agent has bound itself before the worker's first
// answer can have arrived, or although it has arrived.
BOOST_FIXTURE_TEST_CASE(agentWhoseWorkerMayAnswerGivesNoBound, RestartedAgentFixture)
{
    agent.claim(7, 0, 5, now, 12);
    agent.advance(now);
    BOOST_TEST(effects.leaseBounds.empty());
    now += Millis{2};
    answerListPolls({});
    advanceWithoutWorker({200});
    agent.claim(7, 0, 6, now, 13);
    advanceWithoutWorker(tick);
    BOOST_TEST(effects.leaseBounds.empty());
    BOOST_TEST(effects.claims.size() == 2U);
}

// Guards against two runs of a task: the worker answers after the bound was given, the report on its runs
// does not reach the owner, and the agent keeps a run alive that the owner takes for ended at the bound.
BOOST_FIXTURE_TEST_CASE(agentRenewsNoLeaseBeforeItsBound, RestartedAgentFixture)
{
    agent.claim(7, 0, 5, now, 12);
    advanceWithoutWorker({200});
    BOOST_TEST_REQUIRE(effects.leaseBounds.size() == 1U);
    const std::vector<ListedRun> running = {{.run = WorkerManagerFixture::order(1).run}};
    agent.recordSize(running[0].run, {1'000, 64, 0}, now);
    while (now + tick <= startedAt + formerLease) {
        answerListPolls(running);
        agent.recordSize(running[0].run, {1'000, 64, 0}, now);
        agent.order(7, WorkerManagerFixture::order(2), now);
        now += tick;
        agent.entryAnswered(7, now);
        agent.advance(now);
        for (const ListPollCall &call : effects.openListPolls)
            BOOST_TEST(call.deadline.count == 0);
    }
    BOOST_TEST(effects.claims.size() == 1U);
    BOOST_TEST(effects.starts.empty());
    BOOST_TEST(!agent.report().usable);
    // From then on the worker is used like any other.
    for (uint32_t round = 0; round < 20; ++round) {
        answerListPolls({});
        now += tick;
        agent.entryAnswered(7, now);
        agent.advance(now);
    }
    BOOST_TEST(effects.lastListPoll.deadline.count > 0);
    BOOST_TEST(agent.report().usable);
}

static fleet::LeaseBoundT leaseBound(uint64_t claim, Millis left, uint64_t epoch = 1)
{
    fleet::LeaseBoundT bound;
    bound.epoch = epoch;
    bound.claim = claim;
    bound.lease_left_ms = left.count;
    return bound;
}

// Partition 0 is loaded, agent 1 has reported, and agent 2 has been claimed.
struct WaitingOwnerFixture : JobSchedulerFixture
{
    WaitingOwnerFixture()
    {
        load(false);
        scheduler.claimSent(1, 0);
        scheduler.claimReport(1, 0, 1, {}, {}, now);
        claim = scheduler.claimSent(2, 0);
        submit(job(1, 1, true));
    }

    void advanceTo(Millis time)
    {
        now = time;
        scheduler.advance(now);
    }

    uint64_t claim = 0;
};

// Guards against an owner that waits 2.5 s for an agent which disappears after it has given its bound, and
// against one that starts a task before the former runs there have ended: the owner's clock may be 2% fast.
BOOST_FIXTURE_TEST_CASE(ownerWaitsForTheBoundOfAnAgentThatCannotReport, WaitingOwnerFixture)
{
    scheduler.leaseBound(2, leaseBound(claim, {1'000}), now);
    const Millis leaseEnd = now + Millis{1'020};
    advanceTo(leaseEnd);
    BOOST_TEST(effects.starts.empty());
    advanceTo(leaseEnd + Millis{2});
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    BOOST_TEST(effects.starts[0].agent == 1U);
}

// Guards against a bound that is used although the agent has been claimed again since, or by another owner.
BOOST_FIXTURE_TEST_CASE(boundOfAnOlderClaimIsIgnored, WaitingOwnerFixture)
{
    const uint64_t newest = scheduler.claimSent(2, 0);
    scheduler.leaseBound(2, leaseBound(claim, {0}), now);
    scheduler.leaseBound(2, leaseBound(0, {0}), now);
    scheduler.leaseBound(2, leaseBound(newest, {0}, 2), now);
    advanceTo(now + Millis{100});
    BOOST_TEST(effects.starts.empty());
    scheduler.leaseBound(2, leaseBound(newest, {0}), now);
    // The next claim has its own answer.
    scheduler.claimSent(2, 0);
    advanceTo(now + Millis{100});
    BOOST_TEST(effects.starts.empty());
}

// Guards against two runs of a task: the agent's connection ends after it has given its bound, and a new
// process of its name, which knows no epochs, takes orders of a former owner that has not noticed its end.
BOOST_FIXTURE_TEST_CASE(boundEndsWithTheConnection, WaitingOwnerFixture)
{
    const Millis loadedAt = now;
    scheduler.leaseBound(2, leaseBound(claim, {100}), now);
    scheduler.agentDisconnected(2);
    advanceTo(loadedAt + Millis{2'450});
    submit(job(2, 1, true));
    advanceTo(loadedAt + Millis{2'499});
    BOOST_TEST(effects.starts.empty());
    advanceTo(loadedAt + Millis{2'500});
    BOOST_TEST(effects.starts.size() == 1U);
}

// Guards against a run that is ordered again although the agent, having learned of its worker's runs after it
// gave its bound, reports it.
BOOST_FIXTURE_TEST_CASE(reportAfterTheBoundIsUsed, WaitingOwnerFixture)
{
    scheduler.leaseBound(2, leaseBound(claim, {1'000}), now);
    advanceTo(now + Millis{200});
    const RunId running{.task = {.job = 1}, .number = 1};
    scheduler.claimReport(2, 0, 1, std::span(&running, 1), {}, now);
    advanceTo(now + Millis{1'200});
    BOOST_TEST(effects.starts.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
