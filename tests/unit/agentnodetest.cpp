// Tests by which evidence an agent keeps the runs of an owner alive, over a connection that the test
// controls.
#include "agentnodefixture.h"

namespace turmericwell {

namespace {

class SilentStore : public StoreApi
{
public:
    void append(const AppendCall &, Millis, std::function<void(AppendAnswer)>) override { }
    void read(const ReadCall &, Millis, std::function<void(ReadAnswer)>) override { }
    void newest(const NewestCall &, Millis, std::function<void(NewestAnswer)>) override { }
    void join(const JoinCall &, Millis, std::function<void(JoinAnswer)>) override { }
    void leave(const LeaveCall &, Millis, std::function<void(StoreStatus)>) override { }
};

struct AgentNodeFixture
{
    AgentNodeFixture()
    {
        agent.start();
        agent.announced({.worker = "w",
                         .service = "kiosk",
                         .zone = "patan",
                         .capacity = {4'000, 8'000, 0},
                         .born = 10,
                         .sequence = 1});
        pass({200});
    }

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

    EventQueue events{{100'000}, 1};
    IoContext io{1};
    StructuredLog log;
    StubNetwork network;
    SilentStore store;
    StubWorker worker;
    AgentNode agent{
        io, network, {.name = "agent-1", .zone = "patan", .partitions = 1, .workerLease = {1'000}},
        1,  store,   worker,
        log};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentNodeTest, AgentNodeFixture)

// Guards against two runs of a task at the same time: the greeting of an entry arrives late, and its arrival
// is no sign that the entry was alive then. The entry counts from the arrival of the agent's greeting, and
// takes the runs for ended 2.5 s later; the agent must not keep them until 1.2 s after a greeting that was
// delayed for longer.
BOOST_AUTO_TEST_CASE(delayedGreetingIsNoContact)
{
    const Millis connectedAt = events.now();
    const auto link = std::make_shared<StubLink>();
    network.accept(link);
    pass({900});
    fleet::HelloT hello;
    hello.node = "entry-1";
    hello.role = fleet::ProcessRole::Entry;
    link->arrives(std::move(hello));
    fleet::ClaimT claim;
    claim.epoch = 5;
    claim.number = 1;
    link->arrives(std::move(claim));
    fleet::StartOrderT order;
    order.epoch = 5;
    order.run = std::make_unique<fleet::RunRef>(toWire({.task = {.job = 1}, .number = 1}));
    order.cpu_milli = 1'000;
    order.memory_mb = 64;
    order.slack_ms = 100;
    link->arrives(std::move(order));
    pass({50});
    BOOST_TEST_REQUIRE(worker.running.size() == 1U);
    pass({2'000});
    BOOST_TEST_REQUIRE(worker.stoppedAt.has_value());
    BOOST_TEST((*worker.stoppedAt - connectedAt).count < 1'300);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
