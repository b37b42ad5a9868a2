// A worker manager whose calls and notifications are recorded, for tests without input or output.
#pragma once

#include "worker/workermanager.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace turmericwell {

class RecordedWorkerEffects : public WorkerEffects
{
public:
    struct Notification
    {
        EntryNumber entry = 0;
        RunId run;
        EndKind kind = EndKind::Done;
    };

    void callStart(const StartCall &call) override { starts.push_back(call.run); }
    void callStop(const StopCall &call) override { stops.push_back(call.run); }
    void callListPoll(const ListPollCall &call) override
    {
        ++listPollCount;
        lastListPoll = call;
        openListPolls.push_back(call);
    }
    void sendStarted(EntryNumber entry, const RunId &run) override { started.push_back({entry, run}); }
    void sendRejected(EntryNumber entry, const RunId &run, RejectReason reason) override
    {
        rejected.push_back({entry, run});
        reasons.push_back(reason);
    }
    void sendEnded(EntryNumber entry, const RunId &run, EndKind kind, std::string_view) override
    {
        ended.push_back({entry, run, kind});
    }
    void sendLost(EntryNumber entry, const RunId &run, LostCause cause) override
    {
        ended.push_back({entry, run, EndKind::Lost});
        lostCauses.push_back(cause);
    }
    void sendClaimReport(EntryNumber, const fleet::ClaimReportT &report) override
    {
        claims.push_back(std::make_unique<fleet::ClaimReportT>(report));
    }

    void sendLeaseBound(EntryNumber, const fleet::LeaseBoundT &bound) override
    {
        leaseBounds.push_back(bound);
    }

    std::vector<RunId> starts;
    std::vector<RunId> stops;
    uint32_t listPollCount = 0;
    ListPollCall lastListPoll;
    // List polls that the test has not answered yet, oldest first.
    std::deque<ListPollCall> openListPolls;
    std::vector<Notification> started;
    std::vector<Notification> rejected;
    std::vector<RejectReason> reasons;
    std::vector<Notification> ended;
    // Causes of the ends that are Lost.
    std::vector<LostCause> lostCauses;
    std::vector<std::unique_ptr<fleet::ClaimReportT>> claims;
    std::vector<fleet::LeaseBoundT> leaseBounds;
};

// An agent whose worker has four processors, and one entry that owns the only partition at epoch 5.
struct WorkerManagerFixture
{
    WorkerManagerFixture()
    {
        manager.entryConnected(1, now);
        manager.announced(announcement(), now);
        manager.advance(now);
        answerListPoll({});
        manager.claim(1, 0, 5, now);
    }

    static WorkerAnnouncement announcement(int64_t born = 10, bool draining = false, uint64_t sequence = 1)
    {
        return {.worker = "w",
                .service = "kiosk",
                .zone = "patan",
                .capacity = {4'000, 8'000, 0},
                .draining = draining,
                .born = born,
                .sequence = sequence};
    }

    static RunOrder order(JobId job, uint32_t run = 1, int64_t cpu = 1'000, uint64_t epoch = 5)
    {
        return {.epoch = epoch,
                .run = {.task = {.job = job}, .number = run},
                .size = {cpu, 64, 0},
                .slack = {100}};
    }

    // The worker answers the oldest list poll, 1 ms later than its newest answer. If no poll is in flight,
    // 20 ms pass first, after which one is sent.
    void answerListPoll(WorkerLists lists)
    {
        const uint64_t number = takeListPoll();
        now += Millis{1};
        lists.workerClock = now - workerStart;
        lists.born = 10;
        manager.listPollAnswered(number, OrderAnswer::Done, lists, now);
    }

    // All list polls in flight get the same answer, as when the worker lists a new end.
    void answerListPolls(const WorkerLists &lists)
    {
        for (size_t left = effects.openListPolls.size(); left > 0; --left)
            answerListPoll(lists);
    }

    // The answers to all list polls in flight are lost.
    void loseListPollAnswers()
    {
        for (size_t left = effects.openListPolls.size(); left > 0; --left)
            manager.listPollAnswered(takeListPoll(), OrderAnswer::NoAnswer, {}, now);
    }

    uint64_t takeListPoll()
    {
        if (effects.openListPolls.empty())
            advanceTime({20});
        BOOST_TEST_REQUIRE(!effects.openListPolls.empty());
        const uint64_t number = effects.openListPolls.front().number;
        effects.openListPolls.pop_front();
        return number;
    }

    // Advances the time in steps of 20 ms; the owner answers a ping in each step unless told otherwise.
    void advanceTime(Millis time, bool ownerAnswers = true)
    {
        const Millis end = now + time;
        while (now < end) {
            now += Millis{20};
            if (ownerAnswers)
                manager.entryAnswered(1, now);
            manager.advance(now);
        }
    }

    void startRun(JobId job)
    {
        manager.order(1, order(job), now);
        manager.startAnswered(order(job).run, OrderAnswer::Done, now - workerStart, now);
    }

    // Ends of jobs that this agent did not start, numbered from 1.
    static std::vector<ListedEnd> foreignEnds(size_t count)
    {
        constexpr JobId firstJob = 10'000;
        std::vector<ListedEnd> ends;
        for (uint64_t number = 1; number <= count; ++number)
            ends.push_back({.number = number, .run = order(firstJob + number).run});
        return ends;
    }

    const Millis workerStart = {90'000};
    Millis now = {100'000};
    StructuredLog log;
    RecordedWorkerEffects effects;
    WorkerManager manager{{.partitions = 1}, 1, now, effects, log};
};

} // namespace turmericwell
