// Tests that an agent is registered only while it has a worker, and that nothing can run there otherwise.
#include "agentnodefixture.h"

#include <deque>

namespace turmericwell {

namespace {

// Keeps the appends until the test answers them.
class RecordingStore : public StoreApi
{
public:
    void append(const AppendCall &call, Millis, std::function<void(AppendAnswer)> onDone) override
    {
        values.push_back(call.records.front().value);
        m_answers.push_back(std::move(onDone));
    }
    void read(const ReadCall &, Millis, std::function<void(ReadAnswer)>) override { }
    void newest(const NewestCall &, Millis, std::function<void(NewestAnswer)>) override { }
    void join(const JoinCall &, Millis, std::function<void(JoinAnswer)>) override { }
    void leave(const LeaveCall &, Millis, std::function<void(StoreStatus)>) override { }

    void answerAll(StoreStatus status)
    {
        for (const auto &answer : std::exchange(m_answers, {}))
            answer({.status = status});
    }
    bool isRemoved() const { return !values.empty() && values.back().empty(); }
    uint64_t incarnationOf(size_t append) const
    {
        return decodeMember("agent-1", values.at(append))->identity.incarnation;
    }

    // Values of the registrations, in order; a removal is empty.
    std::vector<std::string> values;

private:
    std::vector<std::function<void(AppendAnswer)>> m_answers;
};

struct AgentRegistrationFixture
{
    AgentRegistrationFixture() { worker.isGone = true; }

    void pass(Millis time)
    {
        const Millis end = events.now() + time;
        while (events.now() < end) {
            events.runNext(std::min(end, events.now() + Millis{5}));
            io.restart();
            io.poll();
            worker.answerPolls();
        }
    }

    void startWithWorker()
    {
        worker.isGone = false;
        agent.start();
        agent.announced(announcement);
        pass({100});
        store.answerAll(StoreStatus::Done);
    }

    // An entry that owns the only partition connects.
    std::shared_ptr<StubLink> connectOwner()
    {
        auto link = std::make_shared<StubLink>();
        network.accept(link);
        fleet::HelloT hello;
        hello.node = "entry-1";
        hello.role = fleet::ProcessRole::Entry;
        link->arrives(std::move(hello));
        fleet::ClaimT claim;
        claim.epoch = 5;
        claim.number = 1;
        link->arrives(std::move(claim));
        return link;
    }

    static void order(StubLink &link, uint64_t job)
    {
        fleet::StartOrderT order;
        order.epoch = 5;
        order.run = std::make_unique<fleet::RunRef>(toWire({.task = {.job = job}, .number = 1}));
        order.cpu_milli = 1'000;
        order.memory_mb = 64;
        order.slack_ms = 100;
        link.arrives(std::move(order));
    }

    const WorkerAnnouncement announcement{.worker = "w",
                                          .service = "kiosk",
                                          .zone = "patan",
                                          .capacity = {4'000, 8'000, 0},
                                          .born = 10,
                                          .sequence = 1};
    EventQueue events{{100'000}, 1};
    IoContext io{1};
    StructuredLog log;
    StubNetwork network;
    RecordingStore store;
    StubWorker worker;
    AgentNode agent{io,
                    network,
                    {.name = "agent-1",
                     .zone = "patan",
                     .peerAddress = {"127.0.0.1", 7'000},
                     .partitions = 1,
                     .workerLease = {1'000},
                     .stopGrace = {6'000},
                     .leaveWithoutWorker = {3'000}},
                    1,
                    store,
                    worker,
                    log};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentRegistrationTest, AgentRegistrationFixture)

// Guards against new owners that wait for the report of an agent that has nothing to report: after a restart
// of all processes, agents without workers held up every partition until former leases had ended.
BOOST_AUTO_TEST_CASE(agentWithoutAWorkerIsNotRegistered)
{
    agent.start();
    pass({5'000});
    BOOST_TEST(store.values.empty());
    worker.isGone = false;
    pass({100});
    BOOST_TEST_REQUIRE(store.values.size() == 1U);
    BOOST_TEST(!store.values.front().empty());
}

// Guards against the same wait for an agent whose worker was taken away while it was registered.
BOOST_AUTO_TEST_CASE(agentLeavesAfterItsWorkerIsGone)
{
    startWithWorker();
    worker.isGone = true;
    // The last lease ends within 1.2 s.
    pass({3'000});
    BOOST_TEST(!store.isRemoved());
    const auto link = connectOwner();
    pass({1'500});
    BOOST_TEST(store.isRemoved());
    BOOST_TEST(link->sentCount(fleet::Body::Leaving) == 1U);
    store.answerAll(StoreStatus::Done);
    BOOST_TEST(link->isClosed);
    // An entry that has not read the removal connects again.
    const auto late = std::make_shared<StubLink>();
    network.accept(late);
    BOOST_TEST(late->isClosed);
}

// Guards against two runs of a task at the same time: new owners do not wait for an agent that has left, so
// it must start nothing until they can read that it is back.
BOOST_AUTO_TEST_CASE(agentThatIsBackStartsNothingBeforeItIsRegistered)
{
    startWithWorker();
    worker.isGone = true;
    pass({5'000});
    BOOST_TEST_REQUIRE(store.isRemoved());
    // The removal is not stored, so entries still connect.
    store.answerAll(StoreStatus::NoAnswer);
    worker.isGone = false;
    pass({100});
    const auto link = connectOwner();
    order(*link, 1);
    pass({50});
    BOOST_TEST(worker.running.empty());
    BOOST_TEST(link->sentCount(fleet::Body::RunRejected) == 1U);
    BOOST_TEST_REQUIRE(!store.isRemoved());
    BOOST_TEST(store.incarnationOf(store.values.size() - 1) > store.incarnationOf(0));
    store.answerAll(StoreStatus::Done);
    order(*link, 2);
    pass({50});
    BOOST_TEST(worker.running.size() == 1U);
}

// Guards against an agent that leaves while something may still run: a worker that cannot be called keeps its
// runs until the lease ends, and an end that is not stored is still owed to the owner.
BOOST_AUTO_TEST_CASE(agentStaysWhileAnEndIsNotStored)
{
    startWithWorker();
    auto link = connectOwner();
    pass({50});
    order(*link, 1);
    pass({50});
    BOOST_TEST_REQUIRE(worker.running.size() == 1U);
    worker.running.clear();
    worker.ended.push_back({.number = 1, .run = {.task = {.job = 1}, .number = 1}});
    pass({100});
    worker.isGone = true;
    pass({8'000});
    BOOST_TEST(!store.isRemoved());
    link = connectOwner();
    fleet::EndStoredT stored;
    stored.run = std::make_unique<fleet::RunRef>(toWire({.task = {.job = 1}, .number = 1}));
    link->arrives(std::move(stored));
    pass({3'500});
    BOOST_TEST(store.isRemoved());
}

// Guards against registrations of instances that are gone for good: an agent is stopped while the store is
// down, and every new owner would wait for its report.
BOOST_AUTO_TEST_CASE(plannedStopRepeatsTheWithdrawal)
{
    startWithWorker();
    bool isDone = false;
    agent.beginStop([&] { isDone = true; });
    pass({100});
    BOOST_TEST_REQUIRE(store.isRemoved());
    store.answerAll(StoreStatus::NoAnswer);
    pass({1'000});
    BOOST_TEST(!isDone);
    store.answerAll(StoreStatus::Done);
    BOOST_TEST(isDone);
}

// Guards against a stop that outlasts its grace period because the store stays down.
BOOST_AUTO_TEST_CASE(plannedStopEndsWithoutTheStore)
{
    startWithWorker();
    bool isDone = false;
    agent.beginStop([&] { isDone = true; });
    for (int passed = 0; passed < 50 && !isDone; ++passed) {
        pass({100});
        store.answerAll(StoreStatus::NoAnswer);
    }
    BOOST_TEST(isDone);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
