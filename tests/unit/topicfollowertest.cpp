// Tests that a reader of a keyed topic goes on behind records that it cannot use.
#include "store/topicfollower.h"

#include "net/eventqueue.h"

#include <boost/test/unit_test.hpp>
#include <stdexcept>

namespace turmericwell {

namespace {

// Serves the pages of one topic, then one batch of changes; later reads are not answered.
class PagedStore : public StoreApi
{
public:
    void append(const AppendCall &, Millis, std::function<void(AppendAnswer)>) override { }
    void read(const ReadCall &call, Millis, std::function<void(ReadAnswer)> onDone) override
    {
        readFrom.push_back(call.from);
        if (readFrom.size() == 1)
            onDone({.status = StoreStatus::Done, .end = call.from + changes.size(), .records = changes});
    }
    void newest(const NewestCall &call, Millis, std::function<void(NewestAnswer)> onDone) override
    {
        loadedAfter.push_back(call.after);
        onDone(pages.at(std::min(loadedAfter.size(), pages.size()) - 1));
    }
    void join(const JoinCall &, Millis, std::function<void(JoinAnswer)>) override { }
    void leave(const LeaveCall &, Millis, std::function<void(StoreStatus)>) override { }

    std::vector<NewestAnswer> pages;
    std::vector<StoreRecord> changes;
    std::vector<std::string> loadedAfter;
    std::vector<uint64_t> readFrom;
};

struct TopicFollowerFixture
{
    void follow()
    {
        follower.start();
        const Millis end = events.now() + Millis{200};
        while (events.now() < end) {
            events.runNext(end);
            io.restart();
            io.poll();
        }
    }

    EventQueue events{{100'000}, 1};
    IoContext io{1};
    StructuredLog log;
    PagedStore store;
    std::vector<std::string> applied;
    uint32_t syncs = 0;
    TopicFollower follower{{.topic = "keyed.members"},
                           store,
                           io,
                           log,
                           {.onRecord =
                                [this](const StoreRecord &record) {
                                    if (record.value == "malformed")
                                        throw std::runtime_error("cannot be applied");
                                    applied.push_back(record.key);
                                },
                            .onSynced = [this] { ++syncs; }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(TopicFollowerTest)

// Guards against a reader that stops, or reads the same offset again and again, at one malformed record.
BOOST_FIXTURE_TEST_CASE(malformedRecordsAreSkipped, TopicFollowerFixture)
{
    store.pages = {{.status = StoreStatus::Done,
                    .records = {{.key = "a", .value = "1"}, {}, {.key = "b", .value = "malformed"}},
                    .lastKey = "b",
                    .end = 3}};
    store.changes = {{.key = "c", .value = "malformed", .offset = 3},
                     {.key = "d", .value = "1", .offset = 4},
                     {.offset = 5}};
    follow();
    BOOST_TEST((applied == std::vector<std::string>{"a", "d"}));
    BOOST_TEST((store.readFrom == std::vector<uint64_t>{3, 6}));
}

// Guards against taking a page of unusable records for the end of the topic.
BOOST_FIXTURE_TEST_CASE(pageWithoutUsableRecordsIsNotTheLast, TopicFollowerFixture)
{
    store.pages = {{.status = StoreStatus::Done, .records = {{}}, .hasMore = true, .lastKey = "m", .end = 2},
                   {.status = StoreStatus::Done, .records = {{.key = "z", .value = "1"}}, .lastKey = "z"}};
    follow();
    BOOST_TEST((store.loadedAfter == std::vector<std::string>{"", "m"}));
    BOOST_TEST((applied == std::vector<std::string>{"z"}));
}

// Guards against deleting what a page that cannot be continued did not list.
BOOST_FIXTURE_TEST_CASE(loadThatCannotBeContinuedIsNotComplete, TopicFollowerFixture)
{
    store.pages = {{.status = StoreStatus::Done, .hasMore = true, .end = 2}};
    follow();
    BOOST_TEST(syncs == 0U);
    BOOST_TEST(store.loadedAfter.size() > 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
