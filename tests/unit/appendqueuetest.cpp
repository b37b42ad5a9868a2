// Tests of AppendQueue: batching, and correct outcomes when the store rejects, does not answer or fences.
#include "store/appendqueue.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

namespace {

class ScriptedStore : public StoreApi
{
public:
    void append(const AppendCall &call, Millis, std::function<void(AppendAnswer)> onDone) override
    {
        calls.push_back(call);
        pending = std::move(onDone);
    }
    void read(const ReadCall &, Millis, std::function<void(ReadAnswer)>) override { }
    void newest(const NewestCall &, Millis, std::function<void(NewestAnswer)>) override { }
    void join(const JoinCall &, Millis, std::function<void(JoinAnswer)>) override { }
    void leave(const LeaveCall &, Millis, std::function<void(StoreStatus)>) override { }

    void answer(const AppendAnswer &answer) { std::exchange(pending, {})(answer); }

    std::vector<AppendCall> calls;
    std::function<void(AppendAnswer)> pending;
};

struct AppendQueueFixture
{
    AppendQueueFixture()
    {
        queue.open([](AppendOutcome) {});
        store.answer({.status = StoreStatus::Done});
    }

    void add(const std::string &key, bool mayDrop = false)
    {
        queue.add(key, "value", mayDrop, [this](AppendOutcome outcome) { outcomes.push_back(outcome); });
    }

    // Runs timers until the store has received `count` appends in total.
    void waitForCall(size_t count)
    {
        io.restart();
        while (store.calls.size() < count && io.run_one() > 0) { }
    }

    void waitForOutcomes(size_t count)
    {
        io.restart();
        while (outcomes.size() < count && io.run_one() > 0) { }
    }

    IoContext io;
    StructuredLog log;
    ScriptedStore store;
    AppendQueue queue{
        {.topic = "keyed.jobs", .producer = "owner", .epoch = 3, .dropAfter = {0}, .minInterval = {1}},
        store,
        io,
        log};
    std::vector<AppendOutcome> outcomes;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AppendQueueTest)

// Guards against one append per record under load.
BOOST_FIXTURE_TEST_CASE(recordsThatArriveMeanwhileShareTheNextAppend, AppendQueueFixture)
{
    add("a");
    waitForCall(2);
    add("b");
    add("c");
    store.answer({.status = StoreStatus::Done});
    waitForCall(3);
    BOOST_TEST(store.calls[2].records.size() == 2U);
    BOOST_TEST(store.calls[2].sequence == store.calls[1].sequence + 1);
    store.answer({.status = StoreStatus::Done});
    BOOST_TEST(outcomes.size() == 3U);
}

// Guards against storing a record twice, and against reporting a stored record as not stored.
BOOST_FIXTURE_TEST_CASE(appendWithoutAnswerIsRepeatedUnchanged, AppendQueueFixture)
{
    add("a", true);
    waitForCall(2);
    store.answer({.status = StoreStatus::NoAnswer});
    waitForCall(3);
    BOOST_TEST(outcomes.empty());
    BOOST_TEST(store.calls[2].sequence == store.calls[1].sequence);
    BOOST_TEST_REQUIRE(store.calls[2].records.size() == 1U);
    store.answer({.status = StoreStatus::WrongSequence, .expectedSequence = store.calls[2].sequence + 1});
    BOOST_TEST_REQUIRE(outcomes.size() == 1U);
    BOOST_TEST((outcomes[0] == AppendOutcome::Stored));
}

// Guards against reporting a record as not stored while it can still be stored: a record is dropped only
// after a definite rejection.
BOOST_FIXTURE_TEST_CASE(rejectedRecordIsDroppedAndNeverSentAgain, AppendQueueFixture)
{
    add("a", true);
    waitForCall(2);
    store.answer({.status = StoreStatus::Refused});
    waitForOutcomes(1);
    BOOST_TEST_REQUIRE(outcomes.size() == 1U);
    BOOST_TEST((outcomes[0] == AppendOutcome::NotStored));
    add("b");
    waitForCall(3);
    BOOST_TEST(store.calls[2].records[0].key == "b");
    BOOST_TEST(store.calls[2].sequence == store.calls[1].sequence);
}

// Guards against dropping a record when an attempt is rejected after another without an answer, which may
// have stored the record.
BOOST_FIXTURE_TEST_CASE(recordThatMayBeStoredIsNotDropped, AppendQueueFixture)
{
    add("a", true);
    waitForCall(2);
    store.answer({.status = StoreStatus::NoAnswer});
    waitForCall(3);
    store.answer({.status = StoreStatus::Refused});
    waitForCall(4);
    BOOST_TEST(outcomes.empty());
    store.answer({.status = StoreStatus::Done});
    BOOST_TEST((outcomes[0] == AppendOutcome::Stored));
}

// Guards against a superseded owner that reports a record as stored or as not stored.
BOOST_FIXTURE_TEST_CASE(fencedQueueLeavesTheOutcomeToTheNewOwner, AppendQueueFixture)
{
    bool fenced = false;
    queue.onFenced = [&fenced] { fenced = true; };
    add("a");
    waitForCall(2);
    add("b");
    store.answer({.status = StoreStatus::Fenced});
    BOOST_TEST_REQUIRE(outcomes.size() == 2U);
    BOOST_TEST((outcomes[0] == AppendOutcome::Superseded));
    BOOST_TEST((outcomes[1] == AppendOutcome::Superseded));
    BOOST_TEST(fenced);
}

// Guards against accepted jobs that are not stored: the store answers an append that looks like a repeat with
// the first answer and stores nothing, so a queue must not go on with the numbers of another one.
BOOST_FIXTURE_TEST_CASE(epochThatAnotherQueueUsesEndsTheQueue, AppendQueueFixture)
{
    bool isInUse = false;
    queue.onEpochInUse = [&isInUse] { isInUse = true; };
    add("a");
    waitForCall(2);
    store.answer({.status = StoreStatus::WrongSequence, .expectedSequence = 9});
    BOOST_TEST(isInUse);
    BOOST_TEST_REQUIRE(outcomes.size() == 1U);
    BOOST_TEST((outcomes[0] == AppendOutcome::Superseded));
}

// Guards against a needless change of owner: the store counts only appends with records, so after a
// confirmation it expects a number that this queue has used for the empty append.
BOOST_FIXTURE_TEST_CASE(emptyAppendsThatTheStoreDoesNotCountDoNotEndTheQueue, AppendQueueFixture)
{
    bool isInUse = false;
    queue.onEpochInUse = [&isInUse] { isInUse = true; };
    add("a");
    waitForCall(2);
    store.answer({.status = StoreStatus::Done});
    const uint64_t last = store.calls[1].sequence;
    queue.confirm([] {});
    waitForCall(3);
    store.answer({.status = StoreStatus::Done});
    add("b");
    waitForCall(4);
    store.answer({.status = StoreStatus::WrongSequence, .expectedSequence = last + 1});
    waitForCall(5);
    BOOST_TEST(!isInUse);
    BOOST_TEST(store.calls[4].sequence == last + 1);
    store.answer({.status = StoreStatus::Done});
    // The rejected number is used up for the same record, see the next test.
    waitForCall(6);
    store.answer({.status = StoreStatus::Done});
    BOOST_TEST_REQUIRE(outcomes.size() == 2U);
    BOOST_TEST((outcomes[1] == AppendOutcome::Stored));
}

// Guards against accepted jobs that are not stored: an append was rejected because the store had not counted
// a confirmation, and was repeated with the expected number. An earlier attempt with the rejected number
// arrived late and was carried out, and the store took the next append with that number for its repeat.
BOOST_FIXTURE_TEST_CASE(delayedAttemptWithARejectedNumberHidesNoLaterRecord, AppendQueueFixture)
{
    add("a");
    waitForCall(2);
    store.answer({.status = StoreStatus::Done});
    const uint64_t last = store.calls[1].sequence;
    queue.confirm([] {});
    waitForCall(3);
    store.answer({.status = StoreStatus::Done});
    add("b");
    waitForCall(4);
    const uint64_t rejected = store.calls[3].sequence;
    // This attempt reaches the store after the next two.
    store.answer({.status = StoreStatus::NoAnswer});
    waitForCall(5);
    store.answer({.status = StoreStatus::WrongSequence, .expectedSequence = last + 1});
    waitForCall(6);
    BOOST_TEST(store.calls[5].sequence == last + 1);
    store.answer({.status = StoreStatus::Done});
    add("c");
    waitForCall(7);
    BOOST_TEST(store.calls[6].sequence == rejected);
    BOOST_TEST_REQUIRE(store.calls[6].records.size() == 1U);
    BOOST_TEST(store.calls[6].records[0].key == "b");
    BOOST_TEST(outcomes.size() == 1U);
    store.answer({.status = StoreStatus::Done});
    BOOST_TEST_REQUIRE(outcomes.size() == 2U);
    BOOST_TEST((outcomes[1] == AppendOutcome::Stored));
    waitForCall(8);
    BOOST_TEST(store.calls[7].sequence == rejected + 1);
    BOOST_TEST(store.calls[7].records[0].key == "c");
}

// Guards against endless repeats: empty appends use up no number of a store that does not count them.
BOOST_FIXTURE_TEST_CASE(rejectedConfirmationIsRepeatedOnce, AppendQueueFixture)
{
    add("a");
    waitForCall(2);
    store.answer({.status = StoreStatus::Done});
    const uint64_t last = store.calls[1].sequence;
    uint32_t confirmations = 0;
    for (size_t calls = 3; calls <= 4; ++calls) {
        queue.confirm([&confirmations] { ++confirmations; });
        waitForCall(calls);
        if (calls == 4) {
            store.answer({.status = StoreStatus::WrongSequence, .expectedSequence = last + 1});
            waitForCall(5);
        }
        store.answer({.status = StoreStatus::Done});
    }
    BOOST_TEST(confirmations == 2U);
    BOOST_TEST(store.calls.size() == 5U);
    BOOST_TEST(queue.isIdle());
}

// Guards against queues of the same epoch that number their appends alike.
BOOST_AUTO_TEST_CASE(firstSequencesDiffer)
{
    BOOST_TEST(randomFirstSequence() != randomFirstSequence());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
