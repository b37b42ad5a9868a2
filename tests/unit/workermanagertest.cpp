// Tests of the agent's control of its worker: resources, leases, owners of partitions, and the worker's
// lists.
#include "workermanagerfixture.h"

namespace turmericwell {

BOOST_AUTO_TEST_SUITE(WorkerManagerTest)

// Guards against orders beyond the worker's processors: the worker itself does not check them.
BOOST_FIXTURE_TEST_CASE(startsOnlyWhatFits, WorkerManagerFixture)
{
    for (JobId job = 1; job <= 5; ++job)
        manager.order(1, order(job), now);
    BOOST_TEST(effects.starts.size() == 4U);
    manager.startAnswered(order(1).run, OrderAnswer::Done, std::nullopt, now);
    answerListPoll({.ended = {{.number = 1, .run = order(1).run, .kind = EndKind::Done}}});
    BOOST_TEST(effects.starts.size() == 5U);
}

// Guards against starting a run on resources that a run still uses while it is being stopped.
BOOST_FIXTURE_TEST_CASE(stoppedRunHoldsItsResourcesUntilItsEndIsListed, WorkerManagerFixture)
{
    for (JobId job = 1; job <= 4; ++job)
        startRun(job);
    manager.stop(1, 0, 5, order(1).run, now);
    BOOST_TEST(effects.stops.size() == 1U);
    manager.order(1, order(5), now);
    manager.stopAnswered(order(1).run, OrderAnswer::Done, now - workerStart, now);
    BOOST_TEST(effects.starts.size() == 4U);
    answerListPoll({.ended = {{.number = 1, .run = order(1).run, .kind = EndKind::Stopped}}});
    BOOST_TEST(effects.starts.size() == 5U);
}

// Guards against accepting orders and claims of a superseded owner.
BOOST_FIXTURE_TEST_CASE(onlyTheHighestEpochIsAccepted, WorkerManagerFixture)
{
    manager.entryConnected(2, now);
    manager.claim(2, 0, 6, now);
    manager.order(1, order(1, 1, 1'000, 5), now);
    BOOST_TEST(effects.starts.empty());
    BOOST_TEST_REQUIRE(effects.reasons.size() == 1U);
    BOOST_TEST((effects.reasons[0] == RejectReason::Superseded));
    manager.claim(1, 0, 5, now);
    BOOST_TEST(!effects.claims.back()->accepted);
    manager.order(2, order(1, 1, 1'000, 6), now);
    BOOST_TEST(effects.starts.size() == 1U);
}

// Guards against a superseded owner that cannot reach the store and retains the jobs of its former partition.
BOOST_FIXTURE_TEST_CASE(formerOwnerIsNotifiedOfTheNewClaim, WorkerManagerFixture)
{
    manager.entryConnected(2, now);
    const size_t before = effects.claims.size();
    manager.claim(2, 0, 6, now);
    BOOST_TEST_REQUIRE(effects.claims.size() == before + 2);
    BOOST_TEST(!effects.claims[before]->accepted);
    BOOST_TEST(effects.claims[before]->epoch == 5U);
    BOOST_TEST(effects.claims[before + 1]->accepted);
}

// Guards against a second run of a task: the next owner cannot reach this agent and counts its runs as ended
// after a time limit, while the former owner continues to answer the agent's pings.
BOOST_FIXTURE_TEST_CASE(runsOfAReleasedPartitionAreStoppedUnlessClaimed, WorkerManagerFixture)
{
    startRun(1);
    manager.release(1, 0, 4, now);
    advanceTime({1'500});
    BOOST_TEST(effects.stops.empty());
    manager.release(1, 0, 5, now);
    advanceTime({1'000});
    BOOST_TEST(effects.stops.empty());
    advanceTime({400});
    BOOST_TEST(effects.stops.size() >= 1);
}

// Guards against stopping active runs in a planned handover.
BOOST_FIXTURE_TEST_CASE(runsOfAReleasedPartitionContinueUnderTheNextOwner, WorkerManagerFixture)
{
    startRun(1);
    manager.entryConnected(2, now);
    manager.release(1, 0, 5, now);
    advanceTime({500});
    manager.claim(2, 0, 6, now);
    for (uint32_t round = 0; round < 100; ++round) {
        manager.entryAnswered(2, now);
        advanceTime({20});
    }
    BOOST_TEST(effects.stops.empty());
}

// Guards against starting a queued run that the next owner will order again.
BOOST_FIXTURE_TEST_CASE(releaseDropsQueuedOrders, WorkerManagerFixture)
{
    manager.order(1, order(1, 1, 4'000), now);
    manager.order(1, order(2, 1, 400), now);
    BOOST_TEST(effects.starts.size() == 1);
    manager.release(1, 0, 5, now);
    manager.startAnswered(order(1).run, OrderAnswer::NoRoom, now - workerStart, now);
    BOOST_TEST(effects.starts.size() == 1);
}

// Guards against an order that remains queued behind long runs while other workers become free.
BOOST_FIXTURE_TEST_CASE(queuedOrderIsReturnedToItsOwner, WorkerManagerFixture)
{
    for (JobId job = 1; job <= 5; ++job)
        manager.order(1, order(job), now);
    advanceTime({60});
    BOOST_TEST_REQUIRE(effects.reasons.size() == 1U);
    BOOST_TEST((effects.reasons[0] == RejectReason::NoRoom));
}

// Guards against a task that waits for a run that does not exist: a queued order was removed by a stop
// without notifying its owner.
BOOST_FIXTURE_TEST_CASE(stopOfAQueuedOrderEndsTheRun, WorkerManagerFixture)
{
    for (JobId job = 1; job <= 5; ++job)
        manager.order(1, order(job), now);
    BOOST_TEST_REQUIRE(effects.starts.size() == 4U);
    manager.stop(1, 0, 5, order(5).run, now);
    BOOST_TEST(effects.stops.empty());
    BOOST_TEST_REQUIRE(effects.ended.size() == 1U);
    BOOST_TEST((effects.ended[0].run == order(5).run));
    BOOST_TEST((effects.ended[0].kind == EndKind::Stopped));
}

// Guards against a task that waits for a run that does not exist: the agent ignored stops of runs that it
// does not know.
BOOST_FIXTURE_TEST_CASE(stopOfAnUnknownRunReportsItLost, WorkerManagerFixture)
{
    manager.stop(1, 0, 5, order(7).run, now);
    BOOST_TEST_REQUIRE(effects.ended.size() == 1U);
    BOOST_TEST((effects.ended[0].run == order(7).run));
    BOOST_TEST((effects.ended[0].kind == EndKind::Lost));
    // An owner with an older epoch, or another entry, learns nothing.
    manager.stop(1, 0, 4, order(7).run, now);
    manager.stop(2, 0, 5, order(7).run, now);
    BOOST_TEST(effects.ended.size() == 1U);
}

// Guards against a run that is reported as lost although it has ended otherwise: its end crossed the stop.
BOOST_FIXTURE_TEST_CASE(stopAfterTheEndDoesNotLoseTheRun, WorkerManagerFixture)
{
    startRun(1);
    answerListPolls({.ended = {{.number = 1, .run = order(1).run}}});
    BOOST_TEST_REQUIRE(effects.ended.size() == 1U);
    manager.stop(1, 0, 5, order(1).run, now);
    BOOST_TEST(effects.ended.size() == 1U);
}

// Guards against a run that is reported as lost by an agent that does not know the worker's runs yet.
BOOST_FIXTURE_TEST_CASE(stopBeforeTheListsAreKnownDoesNotLoseTheRun, WorkerManagerFixture)
{
    WorkerManager restarted{{.partitions = 1}, 1, now, effects, log};
    restarted.announced(announcement(), now);
    restarted.entryConnected(7, now);
    restarted.claim(7, 0, 5, now);
    restarted.stop(7, 0, 5, order(1).run, now);
    BOOST_TEST(effects.ended.empty());
}

// Guards against a task that waits for a run that does not exist: the order of an owner that is unresponsive,
// but connected, was dropped without notice.
BOOST_FIXTURE_TEST_CASE(orderOfAnUnresponsiveOwnerIsReturned, WorkerManagerFixture)
{
    for (JobId job = 1; job <= 4; ++job)
        manager.order(1, order(job), now);
    advanceTime({1'200}, false);
    manager.order(1, order(5), now);
    advanceTime({20}, false);
    BOOST_TEST_REQUIRE(effects.rejected.size() == 1U);
    BOOST_TEST((effects.rejected[0].run == order(5).run));
    BOOST_TEST((effects.reasons[0] == RejectReason::Disconnected));
}

// Guards against two runs of a task: the owner starts another run elsewhere after the time within which an
// agent without contact has to stop its runs.
BOOST_FIXTURE_TEST_CASE(runsAreStoppedWhenTheirOwnerIsUnresponsive, WorkerManagerFixture)
{
    startRun(1);
    const Millis lastContact = now;
    while (now + Millis{20} <= lastContact + Millis{1'200}) {
        advanceTime({20}, false);
        answerListPoll({.running = {{.run = order(1).run}}});
    }
    BOOST_TEST(effects.stops.empty());
    advanceTime({20}, false);
    BOOST_TEST(effects.stops.size() == 1U);
}

// Guards against two runs of a task: an agent that could not stop a run of a silent owner, because the worker
// answered no stop, went on renewing the run's lease after the owner had started another run.
BOOST_FIXTURE_TEST_CASE(leaseIsNotRenewedForRunsThatCannotBeStopped, WorkerManagerFixture)
{
    startRun(1);
    const Millis lastContact = now;
    // The owner starts another run 2.5 s after the last contact; a lease of 1 s on a slow clock and the
    // margin for its delivery take 1.12 s of that.
    constexpr Millis lastRenewal = Millis{2'500} - Millis{1'120};
    while (now < lastContact + Millis{2'500}) {
        advanceTime({20}, false);
        for (const ListPollCall &call : effects.openListPolls)
            BOOST_TEST((call.deadline.count == 0 || now <= lastContact + lastRenewal));
        answerListPolls({.running = {{.run = order(1).run}}});
    }
    BOOST_TEST(!effects.stops.empty());
}

// Guards against a lapse, which costs all runs on the worker, although the worker has accepted the stop.
BOOST_FIXTURE_TEST_CASE(leaseIsRenewedWhenTheStopIsAccepted, WorkerManagerFixture)
{
    startRun(1);
    while (effects.stops.empty())
        advanceTime({20}, false);
    manager.stopAnswered(order(1).run, OrderAnswer::Done, now - workerStart, now);
    advanceTime({400}, false);
    answerListPolls({.running = {{.run = order(1).run}}});
    BOOST_TEST(effects.lastListPoll.deadline.count > 0);
}

// Guards against two runs of a task: an agent that was restarted, and again, renewed the lease of the runs
// that it found while their owner, which it did not reach, took the agent for gone.
BOOST_FIXTURE_TEST_CASE(restartedAgentRenewsNoLeaseBeforeTheOwnerHasClaimed, WorkerManagerFixture)
{
    WorkerManager restarted{{.partitions = 1}, 1, now, effects, log};
    effects.openListPolls.clear();
    restarted.announced(announcement(), now);
    restarted.advance(now);
    const auto answer = [&] {
        const uint64_t number = effects.openListPolls.front().number;
        effects.openListPolls.pop_front();
        restarted.listPollAnswered(
            number, OrderAnswer::Done,
            {.workerClock = now - workerStart, .born = 10, .running = {{.run = order(1).run}}}, now);
    };
    answer();
    BOOST_TEST_REQUIRE(!effects.openListPolls.empty());
    for (const ListPollCall &call : effects.openListPolls)
        BOOST_TEST(call.deadline.count == 0);
    restarted.entryConnected(7, now);
    restarted.claim(7, 0, 5, now);
    effects.lastListPoll = {};
    answer();
    now += Millis{20};
    restarted.advance(now);
    BOOST_TEST(effects.lastListPoll.deadline.count > 0);
}

// Guards against two runs of a task: a worker that deregisters is still up until it has the answer.
BOOST_FIXTURE_TEST_CASE(deregistrationIsNoEndOfRuns, WorkerManagerFixture)
{
    startRun(1);
    answerListPolls({.running = {{.run = order(1).run}}});
    manager.deregistered("w", now);
    BOOST_TEST(effects.ended.empty());
    effects.lastListPoll = {};
    answerListPolls({.running = {{.run = order(1).run}}});
    BOOST_TEST(effects.lastListPoll.deadline.count == 0);
    const Millis since = now;
    while (effects.ended.empty() && now < since + Millis{2'000}) {
        loseListPollAnswers();
        advanceTime({20});
    }
    BOOST_TEST_REQUIRE(effects.ended.size() == 1U);
    BOOST_TEST((effects.ended[0].kind == EndKind::Lost));
    // A lease of 1 s on a slow clock.
    BOOST_TEST((now - since >= Millis{1'000}));
}

// Guards against a start by an agent that was paused: by then, the owner may have ordered the task elsewhere.
BOOST_FIXTURE_TEST_CASE(queuedRunIsNotStartedAfterAPause, WorkerManagerFixture)
{
    for (JobId job = 1; job <= 5; ++job)
        manager.order(1, order(job), now);
    manager.startAnswered(order(1).run, OrderAnswer::Done, std::nullopt, now);
    // An answer is processed before any timer runs after the pause.
    now += Millis{5'000};
    answerListPoll({.ended = {{.number = 1, .run = order(1).run, .kind = EndKind::Done}}});
    BOOST_TEST(effects.starts.size() == 4U);
}

// Guards against ends that the worker discards before the owner has stored them.
BOOST_FIXTURE_TEST_CASE(endsAreConfirmedInOrderOnceStored, WorkerManagerFixture)
{
    startRun(1);
    startRun(2);
    answerListPoll({.ended = {{.number = 1, .run = order(1).run}, {.number = 2, .run = order(2).run}}});
    manager.endStored(order(2).run);
    advanceTime({100});
    BOOST_TEST(effects.lastListPoll.endsStored == 0U);
    manager.endStored(order(1).run);
    answerListPoll({.ended = {{.number = 1, .run = order(1).run}, {.number = 2, .run = order(2).run}}});
    advanceTime({100});
    BOOST_TEST(effects.lastListPoll.endsStored == 2U);
}

// Guards against a task that counts as completed by a run although it was ordered again before the end of
// that run was known (soak seed 1).
BOOST_FIXTURE_TEST_CASE(disputedEndIsConfirmedAfterALapse, WorkerManagerFixture)
{
    startRun(1);
    startRun(2);
    answerListPoll({.running = {{.run = order(2).run}}, .ended = {{.number = 1, .run = order(1).run}}});
    manager.endDisputed(order(1).run, now);
    manager.endStored(order(1).run);
    advanceTime({100});
    // The lease is renewed, which delays the lapse, as long as there is an active run.
    BOOST_TEST((effects.lastListPoll.deadline > Millis{0}));
    BOOST_TEST(effects.lastListPoll.endsStored == 0U);
    answerListPolls({.ended = {{.number = 1, .run = order(1).run}, {.number = 2, .run = order(2).run}}});
    manager.endStored(order(2).run);
    for (Millis waited; waited < Millis{1'600}; waited += Millis{200}) {
        advanceTime({200});
        answerListPolls({.ended = {{.number = 1, .run = order(1).run}, {.number = 2, .run = order(2).run}}});
        if (waited < Millis{800})
            BOOST_TEST(effects.lastListPoll.endsStored == 0U);
    }
    BOOST_TEST(effects.lastListPoll.endsStored == 2U);
}

// Guards against lists of ends that grow without bound on a worker that is never idle.
BOOST_FIXTURE_TEST_CASE(lapseIsForcedWhenManyEndsAreRetained, WorkerManagerFixture)
{
    startRun(1);
    startRun(200);
    WorkerLists lists{.running = {{.run = order(200).run}}};
    for (uint64_t number = 1; number <= 65; ++number)
        lists.ended.push_back({.number = number, .run = order(number).run});
    answerListPolls(lists);
    manager.endDisputed(order(1).run, now);
    manager.endStored(order(1).run);
    advanceTime({20});
    manager.order(1, order(300), now);
    BOOST_TEST_REQUIRE(effects.reasons.size() == 1U);
    BOOST_TEST((effects.reasons[0] == RejectReason::NoWorker));
    answerListPolls(lists);
    advanceTime({40});
    BOOST_TEST((effects.lastListPoll.deadline == Millis{0}));
}

// Guards against a worker that stays unused: after a forced lapse of its lease, the agent did not report that
// the worker can be used again (turmericwell emulate --site qalhat --first-seed 1214 --troubles 14).
BOOST_FIXTURE_TEST_CASE(workerIsReportedAsUsableAfterAForcedLapse, WorkerManagerFixture)
{
    WorkerLists lists;
    for (uint64_t number = 1; number <= 65; ++number)
        lists.ended.push_back({.number = number, .run = order(number).run});
    startRun(100);
    answerListPolls(lists);
    manager.endDisputed(order(1).run, now);
    advanceTime({40});
    BOOST_TEST_REQUIRE(!manager.report().usable);
    manager.takeReportChange();
    for (uint32_t round = 0; round < 100 && !manager.report().usable; ++round) {
        manager.takeReportChange();
        advanceTime({20});
    }
    BOOST_TEST(manager.report().usable);
    BOOST_TEST(manager.takeReportChange());
}

// Guards against reporting a run as lost because it is missing from a list that was requested before its
// start.
BOOST_FIXTURE_TEST_CASE(listRequestedBeforeTheStartDoesNotLoseTheRun, WorkerManagerFixture)
{
    advanceTime({100});
    now += Millis{1};
    startRun(1);
    answerListPoll({});
    BOOST_TEST(effects.ended.empty());
    advanceTime({100});
    answerListPolls({});
    advanceTime({100});
    answerListPolls({});
    BOOST_TEST_REQUIRE(effects.ended.size() == 1U);
    BOOST_TEST((effects.ended[0].kind == EndKind::Lost));
}

// Guards against a start that is carried out late, after the agent has received no answer and reported the
// run as lost: a stop makes the worker reject such a start.
BOOST_FIXTURE_TEST_CASE(startWithoutAnswerIsStoppedBeforeItIsReportedLost, WorkerManagerFixture)
{
    manager.order(1, order(1), now);
    manager.startAnswered(order(1).run, OrderAnswer::NoAnswer, std::nullopt, now);
    BOOST_TEST(effects.stops.size() == 1U);
    BOOST_TEST(effects.ended.empty());
    advanceTime({20});
    manager.stopAnswered(order(1).run, OrderAnswer::Done, now - workerStart, now);
    answerListPoll({});
    BOOST_TEST(effects.ended.empty());
    advanceTime({100});
    answerListPolls({});
    BOOST_TEST(effects.ended.size() == 1U);
}

// Guards against orders to a worker that has announced that it is draining.
BOOST_FIXTURE_TEST_CASE(drainingWorkerGetsNoNewRuns, WorkerManagerFixture)
{
    for (JobId job = 1; job <= 5; ++job)
        manager.order(1, order(job), now);
    manager.announced(announcement(10, true, 2), now);
    BOOST_TEST(effects.rejected.size() == 1U);
    manager.order(1, order(6), now);
    BOOST_TEST_REQUIRE(effects.reasons.size() == 2U);
    BOOST_TEST((effects.reasons[1] == RejectReason::Draining));
}

// Guards against starting orders that were already queued at the agent when operators evacuated its zone.
BOOST_FIXTURE_TEST_CASE(evacuatedZoneGetsNoNewRuns, WorkerManagerFixture)
{
    for (JobId job = 1; job <= 5; ++job)
        manager.order(1, order(job), now);
    manager.setEvacuatedZones({"patan"}, now);
    BOOST_TEST(effects.rejected.size() == 1U);
    manager.setEvacuatedZones({}, now);
    manager.order(1, order(6), now);
    BOOST_TEST(effects.rejected.size() == 1U);
}

// Guards against confirming ends that were never received: an agent that had just started received the lists
// of one incarnation of its worker and then the announcement of the next, which numbers its ends from 1
// again.
BOOST_AUTO_TEST_CASE(listsBeforeTheFirstAnnouncementBelongToTheirIncarnation)
{
    const Millis now{100'000};
    StructuredLog log;
    RecordedWorkerEffects effects;
    WorkerManager manager({.partitions = 1}, 1, now, effects, log);
    manager.entryConnected(1, now);
    manager.claim(1, 0, 5, now);
    manager.advance(now);
    const RunId earlier{.task = {.job = 1}, .number = 1};
    manager.listPollAnswered(effects.lastListPoll.number, OrderAnswer::Done,
                             {.workerClock = {90'000}, .born = 10, .ended = {{.number = 7, .run = earlier}}},
                             now);
    // The worker crashes: the list poll in flight fails, and the next one may reach the new incarnation.
    manager.listPollAnswered(effects.lastListPoll.number, OrderAnswer::NoAnswer, {}, now);
    BOOST_TEST(effects.lastListPoll.endsStored == 0U);
    manager.announced(WorkerManagerFixture::announcement(11), now);
    manager.advance(now + Millis{100});
    BOOST_TEST(effects.lastListPoll.endsStored == 0U);
    const RunId later{.task = {.job = 2}, .number = 1};
    manager.listPollAnswered(effects.lastListPoll.number, OrderAnswer::Done,
                             {.workerClock = {50}, .born = 11, .ended = {{.number = 1, .run = later}}},
                             now + Millis{100});
    manager.advance(now + Millis{200});
    BOOST_TEST(effects.lastListPoll.endsStored == 0U);
    BOOST_TEST(std::any_of(effects.claims.begin(), effects.claims.end(),
                           [&](const auto &claim) {
                               return std::any_of(
                                   claim->ended.begin(), claim->ended.end(),
                                   [&](const auto &end) { return fromWire(end->run) == later; });
                           })
               != std::any_of(effects.ended.begin(), effects.ended.end(),
                              [&](const auto &notification) { return notification.run == later; }));
}

// Guards against confirming an end that was never received: a worker that had just restarted under the same
// name ran an order, and a list poll confirmed the new life's ends by the numbers of the former one.
BOOST_FIXTURE_TEST_CASE(clockThatGoesBackKeepsEndsUnconfirmed, WorkerManagerFixture)
{
    startRun(1);
    answerListPolls({.ended = {{.number = 7, .run = order(1).run, .kind = EndKind::Done}}});
    manager.endStored(order(1).run);
    answerListPolls({});
    advanceTime({40});
    BOOST_TEST(effects.lastListPoll.endsStored == 7U);
    manager.order(1, order(2), now);
    manager.startAnswered(order(2).run, OrderAnswer::Done, Millis{30}, now);
    manager.listPollAnswered(takeListPoll(), OrderAnswer::Done,
                             {.workerClock = now - workerStart, .born = 10}, now);
    advanceTime({100});
    BOOST_TEST(effects.lastListPoll.endsStored == 0U);
}

// Guards against losing the ends in the first answer of a new incarnation, which the worker may discard next.
BOOST_FIXTURE_TEST_CASE(firstListsOfANewIncarnationAreMerged, WorkerManagerFixture)
{
    startRun(1);
    manager.listPollAnswered(takeListPoll(), OrderAnswer::Done,
                             {.workerClock = {60},
                              .born = 11,
                              .ended = {{.number = 1, .run = order(1).run, .kind = EndKind::Done}}},
                             now);
    BOOST_TEST_REQUIRE(effects.ended.size() == 1U);
    BOOST_TEST((effects.ended[0].run == order(1).run));
    BOOST_TEST((effects.ended[0].kind == EndKind::Done));
}

// Guards against reporting runs as lost while a worker that cannot be reached still executes them, and
// against never reporting the runs of a crashed worker as lost.
BOOST_FIXTURE_TEST_CASE(runsAreLostWhenTheLastLeaseHasLapsed, WorkerManagerFixture)
{
    startRun(1);
    answerListPoll({.running = {{.run = order(1).run}}});
    advanceTime({20});
    BOOST_TEST_REQUIRE(effects.lastListPoll.deadline.count > 0);
    const Millis renewedAt = now;
    loseListPollAnswers();
    loseListPollAnswers();
    BOOST_TEST(!manager.report().usable);
    while (effects.ended.empty() && now < renewedAt + Millis{5'000}) {
        const uint32_t before = effects.listPollCount;
        advanceTime({20});
        if (effects.listPollCount == before)
            continue;
        BOOST_TEST(effects.lastListPoll.deadline.count == 0);
        loseListPollAnswers();
    }
    // The lease is 1 s, and the worker's clock may run 2% slow.
    BOOST_TEST((now - renewedAt).count >= 1'000);
    BOOST_TEST((now - renewedAt).count <= 1'200);
    BOOST_TEST((effects.ended[0].kind == EndKind::Lost));
}

// Guards against one lost answer that makes a worker unusable and hides its ends.
BOOST_FIXTURE_TEST_CASE(lostAnswerHidesNoEnd, WorkerManagerFixture)
{
    for (JobId job = 1; job <= 4; ++job)
        startRun(job);
    advanceTime({20});
    BOOST_TEST_REQUIRE(effects.openListPolls.size() == 2U);
    effects.openListPolls.pop_front();
    answerListPoll({.running = {{.run = order(2).run}, {.run = order(3).run}, {.run = order(4).run}},
                    .ended = {{.number = 1, .run = order(1).run, .kind = EndKind::Done}}});
    BOOST_TEST(effects.ended.size() == 1U);
    loseListPollAnswers();
    BOOST_TEST(manager.report().usable);
    manager.order(1, order(5), now);
    BOOST_TEST(effects.starts.size() == 5U);
}

// Guards against an ended run that counts as active again because an older answer arrives after a newer one.
BOOST_FIXTURE_TEST_CASE(overtakenListDoesNotRestoreAnEndedRun, WorkerManagerFixture)
{
    startRun(1);
    advanceTime({20});
    BOOST_TEST_REQUIRE(effects.openListPolls.size() >= 2U);
    const uint64_t overtaken = takeListPoll();
    const WorkerLists before{
        .workerClock = now - workerStart, .born = 10, .running = {{.run = order(1).run}}};
    answerListPoll({.ended = {{.number = 1, .run = order(1).run, .kind = EndKind::Done}}});
    manager.listPollAnswered(overtaken, OrderAnswer::Done, before, now);
    BOOST_TEST(manager.runCount() == 0U);
    BOOST_TEST(manager.report().usable);
}

// Guards against a stopped run whose resources and task are not released until another run ends.
BOOST_FIXTURE_TEST_CASE(listsAreRequestedAtOnceAfterAStop, WorkerManagerFixture)
{
    manager.order(1, order(1), now);
    manager.startAnswered(order(1).run, OrderAnswer::NoAnswer, std::nullopt, now);
    advanceTime({20});
    manager.stopAnswered(order(1).run, OrderAnswer::Done, now - workerStart, now);
    advanceTime({20});
    BOOST_TEST(effects.lastListPoll.wait.count == 0);
    effects.openListPolls.clear();
    effects.openListPolls.push_back(effects.lastListPoll);
    answerListPoll({});
    BOOST_TEST_REQUIRE(effects.ended.size() == 1U);
    BOOST_TEST((effects.ended[0].kind == EndKind::Lost));
}

// Guards against a worker that answers each list poll at once with the same end, which delays the next end,
// and against the loss of an end that its owner has not received yet.
BOOST_FIXTURE_TEST_CASE(endOfABestEffortJobIsDiscardedByTheWorkerOnly, WorkerManagerFixture)
{
    RunOrder bestEffort = order(1);
    bestEffort.bestEffort = true;
    manager.order(1, std::move(bestEffort), now);
    startRun(2);
    advanceTime({20});
    answerListPoll({.running = {{.run = order(2).run}}, .ended = {{.number = 1, .run = order(1).run}}});
    BOOST_TEST(effects.lastListPoll.endsStored == 1U);
    manager.entryConnected(2, now);
    manager.claim(2, 0, 6, now);
    BOOST_TEST_REQUIRE(effects.claims.back()->ended.size() == 1U);
    BOOST_TEST((fromWire(effects.claims.back()->ended[0]->run) == order(1).run));
}

// Guards against a second run of a task that was completed while its agent was paused for longer than the
// lease.
BOOST_FIXTURE_TEST_CASE(runsAreNotLostAfterAPauseBeforeTheWorkerHasAnswered, WorkerManagerFixture)
{
    startRun(1);
    startRun(2);
    advanceTime({100});
    now += Millis{1'500};
    manager.advance(now);
    BOOST_TEST(effects.ended.empty());
    advanceTime({20});
    answerListPolls({.ended = {{.number = 1, .run = order(1).run, .kind = EndKind::Done}}});
    advanceTime({20});
    answerListPolls({.ended = {{.number = 1, .run = order(1).run, .kind = EndKind::Done}}});
    BOOST_TEST_REQUIRE(effects.ended.size() == 2U);
    BOOST_TEST((effects.ended[0].kind == EndKind::Done));
    BOOST_TEST((effects.ended[1].run == order(2).run));
    BOOST_TEST((effects.ended[1].kind == EndKind::Lost));
}

// Guards against a second run of a task: the worker answered a list poll a second time, and the second answer
// was read as that to the next poll. All runs that were started in between were reported as lost.
BOOST_FIXTURE_TEST_CASE(repeatedListsLoseNoRun, WorkerManagerFixture)
{
    advanceTime({20});
    now += Millis{1};
    const WorkerLists repeated{.workerClock = now - workerStart, .born = 10};
    manager.listPollAnswered(takeListPoll(), OrderAnswer::Done, repeated, now);
    // The worker's clock counts milliseconds, so the start may be answered with the time of the lists.
    startRun(1);
    advanceTime({20});
    effects.openListPolls.clear();
    effects.openListPolls.push_back(effects.lastListPoll);
    manager.listPollAnswered(takeListPoll(), OrderAnswer::Done, repeated, now);
    BOOST_TEST(effects.ended.empty());
    BOOST_TEST(manager.runCount() == 1U);
    BOOST_TEST(manager.report().usable);
    // The next lists decide.
    advanceTime({20});
    BOOST_TEST(effects.lastListPoll.wait.count == 0);
    effects.openListPolls.clear();
    effects.openListPolls.push_back(effects.lastListPoll);
    answerListPoll({});
    BOOST_TEST_REQUIRE(effects.ended.size() == 1U);
    BOOST_TEST((effects.ended[0].kind == EndKind::Lost));
}

// Guards against an earlier list that is taken as evidence although a start has shown a later time since.
BOOST_FIXTURE_TEST_CASE(listsWithAnEarlierClockCountAsNoAnswer, WorkerManagerFixture)
{
    advanceTime({20});
    now += Millis{1};
    const WorkerLists repeated{.workerClock = now - workerStart, .born = 10};
    manager.listPollAnswered(takeListPoll(), OrderAnswer::Done, repeated, now);
    now += Millis{5};
    startRun(1);
    advanceTime({20});
    effects.openListPolls.clear();
    effects.openListPolls.push_back(effects.lastListPoll);
    manager.listPollAnswered(takeListPoll(), OrderAnswer::Done, repeated, now);
    BOOST_TEST(effects.ended.empty());
    BOOST_TEST(manager.runCount() == 1U);
    BOOST_TEST(manager.report().usable);
    // The poll that follows asks at once, and confirms no ends.
    BOOST_TEST(effects.lastListPoll.wait.count == 0);
    BOOST_TEST(effects.lastListPoll.endsStored == 0U);
    // The worker has answered, so it stays in use.
    manager.listPollAnswered(effects.lastListPoll.number, OrderAnswer::Done, repeated, now);
    BOOST_TEST(effects.ended.empty());
    BOOST_TEST(manager.report().usable);
}

// Guards against a worker that is never used again: an answer of its former incarnation that was read late
// had a clock far ahead, and all lists of the present one counted as answers to other calls.
BOOST_FIXTURE_TEST_CASE(clockOfAFormerIncarnationDoesNotOutdateAllLists, WorkerManagerFixture)
{
    startRun(1);
    manager.startAnswered(order(1).run, OrderAnswer::Done, Millis{50'000'000}, now);
    advanceTime({20});
    for (int polls = 0; polls < 8; ++polls) {
        effects.openListPolls.clear();
        effects.openListPolls.push_back(effects.lastListPoll);
        answerListPoll({.running = {{.run = order(1).run}}});
        advanceTime({20});
    }
    effects.openListPolls.clear();
    effects.openListPolls.push_back(effects.lastListPoll);
    answerListPoll({.ended = {{.number = 1, .run = order(1).run}}});
    BOOST_TEST_REQUIRE(effects.ended.size() == 1U);
    BOOST_TEST((effects.ended[0].kind == EndKind::Done));
    BOOST_TEST(manager.report().usable);
}

// Guards against ends that a worker that has restarted discards: lists that may be those of an earlier poll
// do not show that the worker is still the same.
BOOST_FIXTURE_TEST_CASE(listsOfTheSameMillisecondConfirmNoEnds, WorkerManagerFixture)
{
    startRun(1);
    answerListPolls({.ended = {{.number = 1, .run = order(1).run}}});
    manager.endStored(order(1).run);
    advanceTime({20});
    answerListPoll({});
    const Millis newestClock = now - workerStart;
    advanceTime({40});
    BOOST_TEST(effects.lastListPoll.endsStored == 1U);
    const WorkerLists repeated{.workerClock = newestClock, .born = 10};
    manager.listPollAnswered(effects.lastListPoll.number, OrderAnswer::Done, repeated, now);
    advanceTime({20});
    BOOST_TEST(effects.lastListPoll.endsStored == 0U);
    manager.listPollAnswered(effects.lastListPoll.number, OrderAnswer::Done,
                             {.workerClock = now - workerStart, .born = 10}, now);
    advanceTime({40});
    BOOST_TEST(effects.lastListPoll.endsStored == 1U);
}

// Guards against runs of a worker that has restarted under the same name: its clock starts anew, and answers
// to polls that were sent before the restart was known are not answers to other calls.
BOOST_FIXTURE_TEST_CASE(listsOfANewIncarnationMayHaveAnEarlierClock, WorkerManagerFixture)
{
    startRun(1);
    advanceTime({20});
    manager.announced(announcement(11), now);
    const RunId found{.task = {.job = 9}, .number = 3};
    manager.listPollAnswered(takeListPoll(), OrderAnswer::Done,
                             {.workerClock = {50}, .born = 11, .running = {{.run = found}}}, now);
    BOOST_TEST(manager.runCount() == 2U);
}

// Guards against exceeding the worker's capacity after a restart of its agent, which does not know the sizes
// of the runs that it finds.
BOOST_AUTO_TEST_CASE(nothingStartsBesideRunsOfUnknownSize)
{
    WorkerManagerFixture fixture;
    const RunId found{.task = {.job = 9}, .number = 3};
    fixture.answerListPoll({.running = {{.run = found}}});
    fixture.manager.order(1, WorkerManagerFixture::order(1), fixture.now);
    BOOST_TEST(fixture.effects.starts.empty());
    BOOST_TEST(!fixture.manager.report().usable);
    fixture.manager.recordSize(found, {3'500, 64, 0}, fixture.now);
    BOOST_TEST(fixture.effects.starts.empty());
    fixture.answerListPoll({.ended = {{.number = 1, .run = found}}});
    BOOST_TEST(fixture.effects.starts.size() == 1U);
}

// Guards against a run that counts as lost, and is run again, because its end does not fit into a list that
// is full of ends that no owner has stored.
BOOST_FIXTURE_TEST_CASE(runIsNotLostWhileTheListOfEndsIsFull, WorkerManagerFixture)
{
    startRun(1);
    advanceTime({20});
    answerListPolls({.running = {{.run = order(1).run}}});
    advanceTime({20});
    const std::vector<ListedEnd> full = foreignEnds(mostListedEnds);
    answerListPolls({.ended = full});
    BOOST_TEST(manager.runCount() == 1U);
    BOOST_TEST(effects.ended.size() == mostListedEnds);
    for (const ListedEnd &end : full)
        manager.endStored(end.run);
    advanceTime({40});
    answerListPolls({.ended = {{.number = mostListedEnds + 1, .run = order(1).run, .kind = EndKind::Done}}});
    BOOST_TEST(manager.runCount() == 0U);
    BOOST_TEST_REQUIRE(effects.ended.size() == mostListedEnds + 1);
    BOOST_TEST((effects.ended.back().run == order(1).run));
    BOOST_TEST((effects.ended.back().kind == EndKind::Done));
}

// Guards against runs whose ends a worker cannot list because no owner stores the ends before them.
BOOST_FIXTURE_TEST_CASE(nothingStartsBeyondTheEndsThatAWorkerLists, WorkerManagerFixture)
{
    advanceTime({20});
    const std::vector<ListedEnd> ends = foreignEnds(mostListedEnds - 2);
    answerListPolls({.ended = ends});
    for (JobId job = 1; job <= 3; ++job)
        manager.order(1, order(job), now);
    BOOST_TEST(effects.starts.size() == 2U);
    BOOST_TEST(!manager.report().usable);
    advanceTime({60});
    BOOST_TEST_REQUIRE(effects.reasons.size() == 1U);
    BOOST_TEST((effects.reasons[0] == RejectReason::NoRoom));
    for (const ListedEnd &end : ends)
        manager.endStored(end.run);
    BOOST_TEST(manager.report().usable);
    manager.order(1, order(4), now);
    BOOST_TEST(effects.starts.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
