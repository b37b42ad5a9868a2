// Tests of announcements that contradict the worker that an agent calls, and of the runs of a worker's former
// life.
#include "workermanagerfixture.h"

namespace turmericwell {

namespace {

constexpr Millis longestLease = {1'120};

struct WorkerLivesFixture : WorkerManagerFixture
{
    static WorkerAnnouncement announcementOfAnother(int64_t born)
    {
        WorkerAnnouncement other = announcement(born);
        other.worker = "other";
        return other;
    }

    // All list polls in flight are answered by a worker of the given life, 1 ms apart.
    void answerFromLife(int64_t born, Millis clock, WorkerLists lists = {})
    {
        for (size_t left = effects.openListPolls.size(); left > 0; --left) {
            now += Millis{1};
            clock += Millis{1};
            lists.workerClock = clock;
            lists.born = born;
            manager.listPollAnswered(takeListPoll(), OrderAnswer::Done, lists, now);
        }
    }

    // List polls that name another worker are refused, as by a real one; the others list the given runs.
    void answerAsCalledWorker(const WorkerLists &lists)
    {
        for (size_t left = effects.openListPolls.size(); left > 0; --left) {
            const std::string named(effects.openListPolls.front().worker);
            if (named.empty() || named == "w")
                answerListPoll(lists);
            else
                manager.listPollAnswered(takeListPoll(), OrderAnswer::WrongWorker, {}, now);
        }
    }

    void startListedRun()
    {
        startRun(1);
        answerListPolls({.running = {{.run = order(1).run}}});
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerLivesTest)

// Guards against tasks that run twice at once: the announcement of another worker, whose own agent was down,
// made the agent report the runs of its own worker as lost and refuse orders, while that worker went on.
BOOST_FIXTURE_TEST_CASE(announcementOfAnotherWorkerLosesNoRuns, WorkerLivesFixture)
{
    startListedRun();
    for (const int64_t born : {9, 10, 11}) {
        manager.announced(announcementOfAnother(born), now);
        for (int i = 0; i < 100; ++i) {
            advanceTime({20});
            answerAsCalledWorker({.running = {{.run = order(1).run}}});
        }
        BOOST_TEST(effects.ended.empty());
        BOOST_TEST(manager.report().usable);
        BOOST_TEST(manager.report().worker == "w");
    }
    manager.order(1, order(2), now);
    BOOST_TEST(effects.rejected.empty());
}

// Guards against tasks that run twice at once: a start that was on its way for seconds was carried out by the
// worker's next life, which has the same name and had seen no higher fencing token, after the run had been
// reported as lost.
BOOST_FIXTURE_TEST_CASE(callsToANewLifeHaveAHigherFence, WorkerLivesFixture)
{
    startListedRun();
    const uint64_t former = effects.lastListPoll.fence;
    advanceTime({20});
    answerFromLife(11, {5});
    const uint32_t polls = effects.listPollCount;
    constexpr Millis latestNextPoll = {60};
    advanceTime(latestNextPoll);
    BOOST_TEST(effects.listPollCount > polls);
    BOOST_TEST(effects.lastListPoll.fence > former);
}

// Guards against an agent that never uses its worker: after the announcement of another one, its own worker's
// counted as outdated, and each call named the other.
BOOST_AUTO_TEST_CASE(agentThatHeardAnotherWorkerFirstFindsItsOwn)
{
    Millis now{100'000};
    StructuredLog log;
    RecordedWorkerEffects effects;
    WorkerManager manager({.partitions = 1, .workerAddress = "10.0.0.1:80"}, 1, now, effects, log);
    WorkerAnnouncement other = WorkerLivesFixture::announcementOfAnother(11);
    manager.announced(other, now);
    for (int i = 0; i < 100; ++i) {
        now += Millis{20};
        if (i % 10 == 5)
            manager.announced(WorkerManagerFixture::announcement(10, false, 2 + i), now);
        if (i % 10 == 7)
            manager.announced(other, now);
        manager.advance(now);
        while (!effects.openListPolls.empty()) {
            const ListPollCall call = effects.openListPolls.front();
            effects.openListPolls.pop_front();
            const bool isOther = call.worker == "other";
            manager.listPollAnswered(call.number, isOther ? OrderAnswer::WrongWorker : OrderAnswer::Done,
                                     {.workerClock = now, .born = 10}, now);
        }
    }
    BOOST_TEST(manager.report().worker == "w");
    BOOST_TEST(manager.report().usable);
}

// Guards against believing a worker whose address shows that it runs elsewhere.
BOOST_AUTO_TEST_CASE(announcementWithAnotherAddressIsRefused)
{
    CalledWorker called("10.0.0.1:80");
    WorkerAnnouncement own = WorkerManagerFixture::announcement(10);
    own.address = "10.0.0.1:80";
    BOOST_TEST((called.announced(own, 1) == AnnouncementOutcome::Accepted));
    WorkerAnnouncement other = WorkerLivesFixture::announcementOfAnother(11);
    other.address = "10.0.0.2:80";
    BOOST_TEST((called.announced(other, 2) == AnnouncementOutcome::OfAnotherWorker));
    BOOST_TEST(!called.hasCandidate());
}

// Guards against an announcement of an earlier life that arrives late, after a network partition.
BOOST_FIXTURE_TEST_CASE(announcementOfAnEarlierLifeIsIgnored, WorkerLivesFixture)
{
    manager.announced(announcement(11), now);
    answerFromLife(11, {50});
    BOOST_TEST((manager.announced(announcement(10, true, 9), now) == AnnouncementOutcome::Outdated));
    BOOST_TEST(!manager.report().draining);
    BOOST_TEST(manager.report().born == 11);
}

// Guards against a fresh agent process that takes a late announcement of a former life for that of the
// present one, whose lists it has read: it reported the runs in them as lost.
BOOST_AUTO_TEST_CASE(announcementOfALifeBeforeTheListedOneIsOutdated)
{
    CalledWorker called("");
    BOOST_TEST((called.listed(11, "", 1, 2) == ListsOrigin::PresentLife));
    BOOST_TEST(
        (called.announced(WorkerManagerFixture::announcement(10), 2) == AnnouncementOutcome::Outdated));
    BOOST_TEST(
        (called.announced(WorkerManagerFixture::announcement(11), 2) == AnnouncementOutcome::Accepted));
}

// Guards against runs of a former life that are ordered elsewhere while it may still be at work, and against
// runs that are never reported.
BOOST_FIXTURE_TEST_CASE(runsOfAFormerLifeAreLostWhenItsLeaseHasEnded, WorkerLivesFixture)
{
    startListedRun();
    advanceTime({20});
    const Millis renewedAt = now;
    manager.announced(announcement(11), now);
    BOOST_TEST(effects.ended.empty());
    answerFromLife(11, {50});
    BOOST_TEST(manager.report().born == 11);
    BOOST_TEST(effects.ended.empty());
    Millis clock{100};
    while (effects.ended.empty() && now < renewedAt + Millis{5'000}) {
        advanceTime({20});
        clock += Millis{20};
        answerFromLife(11, clock);
    }
    BOOST_TEST_REQUIRE(effects.ended.size() == 1U);
    BOOST_TEST((effects.ended[0].kind == EndKind::Lost));
    BOOST_TEST((effects.lostCauses[0] == LostCause::FormerLifeEnded));
    BOOST_TEST((now - renewedAt).count >= 1'000);
    BOOST_TEST((now - renewedAt).count <= longestLease.count + 80);
    BOOST_TEST(manager.runCount() == 0U);
}

// Guards against a new life that cannot be filled because of runs that are not its own.
BOOST_FIXTURE_TEST_CASE(runsOfAFormerLifeUseNoResources, WorkerLivesFixture)
{
    startListedRun();
    manager.announced(announcement(11), now);
    answerFromLife(11, {50});
    BOOST_TEST(manager.report().usable);
    for (JobId job = 2; job <= 5; ++job)
        manager.order(1, order(job), now);
    BOOST_TEST(effects.starts.size() == 5U);
}

// Guards against a new owner that orders a run again which a former life may still execute.
BOOST_FIXTURE_TEST_CASE(claimReportNamesRunsOfAFormerLife, WorkerLivesFixture)
{
    startListedRun();
    manager.announced(announcement(11), now);
    answerFromLife(11, {50});
    manager.entryConnected(2, now);
    manager.claim(2, 0, 6, now);
    BOOST_TEST_REQUIRE(!effects.claims.empty());
    const fleet::ClaimReportT &report = *effects.claims.back();
    BOOST_TEST(report.accepted);
    BOOST_TEST_REQUIRE(report.running.size() == 1U);
    BOOST_TEST((fromWire(report.running[0]) == order(1).run));
    manager.stop(2, 0, 6, order(1).run, now);
    BOOST_TEST(effects.ended.empty());
}

// Guards against a second run of a task: a worker that had just restarted under the same name accepted the
// order, and the run was attributed to the former life and reported as lost. A run that neither the new life
// lists may be at work in the former.
BOOST_FIXTURE_TEST_CASE(runStartedByTheNewLifeIsNotLost, WorkerLivesFixture)
{
    startRun(1);
    startRun(2);
    const Millis startedAt = now;
    manager.announced(announcement(11), now);
    BOOST_TEST(effects.ended.empty());
    Millis clock{50};
    while (effects.ended.empty() && now < startedAt + Millis{5'000}) {
        advanceTime({20});
        clock += Millis{20};
        answerFromLife(11, clock, {.running = {{.run = order(1).run}}});
    }
    BOOST_TEST_REQUIRE(effects.ended.size() == 1U);
    BOOST_TEST((effects.ended[0].run == order(2).run));
    BOOST_TEST((effects.ended[0].kind == EndKind::Lost));
    BOOST_TEST((now - startedAt).count >= 500);
    BOOST_TEST((now - startedAt).count <= longestLease.count + 80);
    BOOST_TEST(manager.runCount() == 1U);
}

// Guards against confirming ends of a worker that has started again under its name by the numbers of its
// former life.
BOOST_FIXTURE_TEST_CASE(unconfirmedAnnouncementKeepsEndsUnconfirmed, WorkerLivesFixture)
{
    startRun(1);
    answerListPolls({.ended = {{.number = 7, .run = order(1).run, .kind = EndKind::Done}}});
    manager.endStored(order(1).run);
    answerListPolls({});
    advanceTime({40});
    BOOST_TEST(effects.lastListPoll.endsStored == 7U);
    manager.announced(announcement(11), now);
    BOOST_TEST(effects.lastListPoll.endsStored == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
