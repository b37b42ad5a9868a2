// Tests of what an agent takes for the identity, life or absence of its worker, and an entry for those of its
// agents, in orders of events that the other tests do not cover.
#include "fleet/agentpresence.h"
#include "workermanagerfixture.h"

namespace turmericwell {

namespace {

// The longest lease on a slow worker's clock, with its margin, and a few list polls.
constexpr Millis lossReportLimit = {2'000};

// A worker whose lists may show another life, clock and content than the fixture's. It answers each list poll
// in flight, and refuses those that name another worker.
struct PlayedWorker
{
    std::string name = "w";
    int64_t born = 10;
    Millis startedAt;
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
    uint64_t confirmedEnds = 0;

    void answerPolls(WorkerManager &manager, RecordedWorkerEffects &effects, Millis now)
    {
        for (size_t left = effects.openListPolls.size(); left > 0; --left) {
            const ListPollCall call = effects.openListPolls.front();
            effects.openListPolls.pop_front();
            if (!call.worker.empty() && call.worker != name) {
                manager.listPollAnswered(call.number, OrderAnswer::WrongWorker, {}, now);
                continue;
            }
            confirmedEnds = std::max(confirmedEnds, call.endsStored);
            manager.listPollAnswered(
                call.number, OrderAnswer::Done,
                {.workerClock = now - startedAt, .born = born, .running = running, .ended = ended}, now);
        }
    }
};

struct WorkerReviewFixture : WorkerManagerFixture
{
    // Plays the worker for the given time; it answers every 20 ms, 1 ms after the agent's timer.
    void play(PlayedWorker &worker, Millis time)
    {
        const Millis end = now + time;
        while (now < end) {
            advanceTime({20});
            now += Millis{1};
            worker.answerPolls(manager, effects, now);
        }
    }

    void startListedRun()
    {
        startRun(1);
        answerListPolls({.running = {{.run = order(1).run}}});
    }
};

WorkerAnnouncement announcementAt(std::string_view worker, std::string_view address, int64_t born)
{
    WorkerAnnouncement result = WorkerManagerFixture::announcement(born);
    result.worker = worker;
    result.address = address;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerLivesReviewTest)

// Guards against runs that are never reported: the lists of a worker that had started again after its time of
// day had gone back counted as those of a former life, neither read nor counted as failed polls.
BOOST_FIXTURE_TEST_CASE(runsAreReportedWhenTheNextLifeHasAnEarlierBirth, WorkerReviewFixture)
{
    startListedRun();
    PlayedWorker restarted{.born = 9, .startedAt = now};
    play(restarted, lossReportLimit);
    BOOST_TEST_REQUIRE(effects.ended.size() == 1U);
    BOOST_TEST((effects.ended[0].run == order(1).run));
}

// Guards against starts on a worker whose lists are not read: their ends are not seen and their leases lapse.
BOOST_FIXTURE_TEST_CASE(workerWhoseListsAreIgnoredGetsNoRuns, WorkerReviewFixture)
{
    PlayedWorker restarted{.born = 9, .startedAt = now};
    play(restarted, lossReportLimit);
    const bool readsLists = manager.report().born == 9;
    BOOST_TEST((readsLists || !manager.report().usable));
}

// Guards against a task that runs twice: the stop of a start that may be carried out late was known only to
// the worker's former life, so the next life under the same name accepted that start.
BOOST_FIXTURE_TEST_CASE(stopOfAnUnansweredStartIsSentToTheNextLife, WorkerReviewFixture)
{
    manager.order(1, order(1), now);
    manager.startAnswered(order(1).run, OrderAnswer::NoAnswer, std::nullopt, now);
    manager.stopAnswered(order(1).run, OrderAnswer::Done, now - workerStart, now);
    BOOST_TEST_REQUIRE(effects.stops.size() == 1U);
    PlayedWorker restarted{.born = 11, .startedAt = now};
    play(restarted, {400});
    BOOST_TEST(effects.stops.size() == 2U);
}

// Guards against a task whose run is not known to its agent: the next life carried out its start late, and
// the agent took the run for one that had ended in the former life.
BOOST_FIXTURE_TEST_CASE(runThatEndedInAFormerLifeIsSeenInTheNext, WorkerReviewFixture)
{
    startRun(1);
    answerListPolls({.ended = {{.number = 1, .run = order(1).run, .kind = EndKind::Stopped}}});
    BOOST_TEST_REQUIRE(manager.runCount() == 0U);
    PlayedWorker restarted{.born = 11, .startedAt = now, .running = {{.run = order(1).run}}};
    play(restarted, {200});
    BOOST_TEST(manager.runCount() == 1U);
}

// Guards against ends that are confirmed unread and runs that are reported lost although they have ended:
// without a birth in the lists, a worker under a new name was taken for the former one, and its ends were
// numbered from 1.
BOOST_FIXTURE_TEST_CASE(endsOfANewNameAreReadWithoutBirths, WorkerReviewFixture)
{
    Millis time{200'000};
    StructuredLog otherLog;
    RecordedWorkerEffects calls;
    WorkerManager agent({.partitions = 1}, 1, time, calls, otherLog);
    PlayedWorker worker{.born = 0, .startedAt = time - Millis{5'000}};
    const auto pass = [&](Millis period) {
        const Millis end = time + period;
        while (time < end) {
            time += Millis{20};
            agent.entryAnswered(1, time);
            agent.advance(time);
            time += Millis{1};
            worker.answerPolls(agent, calls, time);
        }
    };
    agent.entryConnected(1, time);
    agent.announced(announcementAt("w", "", 0), time);
    pass({100});
    agent.claim(1, 0, 5, time);
    worker.ended = {{.number = 7, .run = order(1).run, .kind = EndKind::Done}};
    pass({100});
    agent.endStored(order(1).run);
    pass({100});
    worker = {.name = "v", .born = 0, .startedAt = time};
    pass({300});
    agent.announced(announcementAt("v", "", 0), time);
    pass({300});
    BOOST_TEST_REQUIRE(agent.report().worker == "v");
    agent.order(1, order(2), time);
    agent.startAnswered(order(2).run, OrderAnswer::Done, time - worker.startedAt, time);
    worker.confirmedEnds = 0;
    worker.ended = {{.number = 1, .run = order(2).run, .kind = EndKind::Done}};
    pass({300});
    BOOST_TEST(worker.confirmedEnds == 0U);
    BOOST_TEST_REQUIRE(!calls.ended.empty());
    BOOST_TEST((calls.ended.back().run == order(2).run));
    BOOST_TEST((calls.ended.back().kind == EndKind::Done));
}

// Guards against a worker whose `draining` is acknowledged by an agent that drops it: an announcement with
// another address and an earlier birth counted as outdated, which is acknowledged.
BOOST_AUTO_TEST_CASE(earlierAnnouncementOfAnotherAddressIsRefused)
{
    CalledWorker called("10.0.0.1:80");
    called.announced(announcementAt("w", "10.0.0.1:80", 10), 1);
    called.listed(10, "w", 1, 2);
    BOOST_TEST((called.announced(announcementAt("other", "10.0.0.2:80", 9), 2)
                == AnnouncementOutcome::OfAnotherWorker));
}

// Guards against the same at an agent that knows its worker's lists and no announcement yet.
BOOST_AUTO_TEST_CASE(earlierAnnouncementOfAnotherAddressIsRefusedBeforeTheFirst)
{
    CalledWorker called("10.0.0.1:80");
    called.listed(10, "", 1, 2);
    BOOST_TEST((called.announced(announcementAt("other", "10.0.0.2:80", 9), 2)
                == AnnouncementOutcome::OfAnotherWorker));
    BOOST_TEST((called.announced(announcementAt("w", "10.0.0.1:80", 9), 2) == AnnouncementOutcome::Outdated));
}

// Guards against a worker that is never used again: another writer's announcement under its name and birth
// was taken over with its sequence number, so the worker's own counted as outdated.
BOOST_FIXTURE_TEST_CASE(announcementOfAnotherWriterUnderTheWorkersNameIsNotKept, WorkerReviewFixture)
{
    WorkerAnnouncement foreign = announcement(10, true, UINT32_MAX);
    foreign.service = "not-a-service";
    manager.announced(foreign, now);
    PlayedWorker worker{.startedAt = workerStart};
    for (uint64_t sequence = 2; sequence < 5; ++sequence) {
        play(worker, {1'000});
        manager.announced(announcement(10, false, sequence), now);
    }
    BOOST_TEST(manager.report().service == "kiosk");
    BOOST_TEST(manager.report().usable);
}

// Guards against a worker whose later announcements, for example that it drains, are ignored: another
// writer's under its name and birth had a higher sequence number.
BOOST_AUTO_TEST_CASE(highSequenceOfAnotherWriterIsForgotten)
{
    CalledWorker called("");
    const auto announce = [&](uint64_t sequence, bool draining) {
        return called.announced(WorkerManagerFixture::announcement(10, draining, sequence), 1);
    };
    announce(1, false);
    announce(1'000'000, false);
    // One that arrives late is not believed.
    BOOST_TEST((announce(2, false) == AnnouncementOutcome::Outdated));
    announce(3, true);
    BOOST_TEST((announce(4, true) == AnnouncementOutcome::Accepted));
    BOOST_TEST(called.announcement()->draining);
    // Late ones do not end a drain.
    announce(100, true);
    for (const uint64_t late : {5, 6, 7, 8})
        BOOST_TEST((announce(late, false) == AnnouncementOutcome::Outdated));
}

// Guards against a worker that is never used again: another one was believed at first and deregistered, and
// then all announcements with an earlier birth counted as outdated.
BOOST_AUTO_TEST_CASE(deregistrationOfAnUnconfirmedWorkerExcludesNoOther)
{
    CalledWorker called("10.0.0.1:80");
    called.announced(announcementAt("other", "", 11), 1);
    called.deregistered("other", 11);
    called.listed(10, "", 1, 2);
    BOOST_TEST(
        (called.announced(announcementAt("w", "10.0.0.1:80", 10), 2) == AnnouncementOutcome::Accepted));
}

// Guards against a worker that is never used again: a call without an answer may be carried out seconds
// later, so a deregistration can arrive after the worker has started again under its name.
BOOST_FIXTURE_TEST_CASE(lateDeregistrationOfAFormerLifeIsNoEndOfTheNext, WorkerReviewFixture)
{
    PlayedWorker restarted{.born = 11, .startedAt = now};
    manager.announced(announcement(11), now);
    play(restarted, {200});
    BOOST_TEST_REQUIRE(manager.report().born == 11);
    manager.deregistered("w", now, 10);
    for (uint64_t sequence = 2; sequence < 5; ++sequence) {
        play(restarted, {1'000});
        manager.announced(announcement(11, false, sequence), now);
    }
    BOOST_TEST(manager.report().usable);
}

// Guards against a worker that is never used again: one answer 421 made the agent refuse its announcements
// for the rest of its life, although the lists of the called worker showed that very life.
BOOST_FIXTURE_TEST_CASE(listsOfADeniedLifeClearTheDenial, WorkerReviewFixture)
{
    manager.listPollAnswered(takeListPoll(), OrderAnswer::WrongWorker, {}, now);
    PlayedWorker worker{.startedAt = workerStart};
    for (uint64_t sequence = 2; sequence < 5; ++sequence) {
        play(worker, {1'000});
        manager.announced(announcement(10, false, sequence), now);
    }
    BOOST_TEST(manager.report().usable);
}

// Guards against a task that runs twice: an agent process left, the next one registered and ran tasks for
// another owner, out of reach of this entry, and its former process's leaving was taken for its own.
BOOST_AUTO_TEST_CASE(agentThatRegisteredAfterLeavingIsWaitedForWhileRegistered)
{
    const Millis start{1'000};
    AgentPresence presence;
    const AgentNumber agent = presence.registered("agent-1", 1, start);
    presence.setWanted(agent, true, start);
    presence.connected(agent, start);
    presence.setLeaving(agent);
    presence.disconnected(agent, start, start + Millis{100});
    const Millis again = start + Millis{5'000};
    presence.registered("agent-1", 2, again);
    BOOST_TEST(presence.isRegistered(agent));
    BOOST_TEST(presence.mayHoldRuns(again + AgentPresence::contactExpiry).contains(agent));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
