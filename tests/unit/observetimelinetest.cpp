// Tests of the order, causes, filters, selection and text of the timeline.
#include "observe/timeline.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace turmericwell;

namespace {

// Events of a task that agent-a rejects and agent-b runs. The clocks of the agents are 5 s slow.
std::vector<Event> rejectedThenRunTask()
{
    const auto entry = [](EventKind kind, int64_t time, uint64_t sequence, std::string task,
                          std::string target, std::string why) {
        return Event{.kind = kind,
                     .time = {time},
                     .process = "entry-1",
                     .zone = "patan",
                     .sequence = sequence,
                     .job = "j",
                     .task = std::move(task),
                     .target = std::move(target),
                     .configVersion = 2,
                     .reason = std::move(why)};
    };
    const auto agent = [](std::string name, EventKind kind, int64_t time, uint64_t sequence,
                          std::string why) {
        return Event{.kind = kind,
                     .time = {time},
                     .process = std::move(name),
                     .zone = "thamel",
                     .sequence = sequence,
                     .job = "j",
                     .task = "j-0",
                     .target = "kiosk-1",
                     .configVersion = 2,
                     .reason = std::move(why)};
    };
    return {entry(EventKind::SubmissionAccepted, 10'000, 1, "", "", ""),
            entry(EventKind::TaskSent, 10'004, 2, "j-0", "agent-a", ""),
            entry(EventKind::TaskRefused, 10'006, 3, "j-0", "agent-a", "zone_withdrawn"),
            entry(EventKind::TaskSent, 10'007, 4, "j-0", "agent-b", ""),
            entry(EventKind::TaskFinished, 10'060, 5, "j-0", "agent-b", "complete"),
            entry(EventKind::SubmissionAnswered, 10'061, 6, "", "", "complete"),
            agent("agent-a", EventKind::TaskRefused, 5'005, 7, "zone_withdrawn"),
            agent("agent-b", EventKind::TaskStarted, 5'008, 8, ""),
            agent("agent-b", EventKind::TaskFinished, 5'058, 9, "complete")};
}

std::vector<std::string> order(const std::vector<Event> &events)
{
    std::vector<std::string> result;
    result.reserve(events.size());
    for (const Event &event : events)
        result.push_back(event.process + "#" + std::to_string(event.sequence));
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(observeTimeline)

// Guards against a start that a slow clock places before the message that caused it.
BOOST_AUTO_TEST_CASE(causesOrderEventsOfDisagreeingClocks)
{
    const std::vector<std::string> expected = {"entry-1#1", "entry-1#2", "agent-a#7",
                                               "entry-1#3", "entry-1#4", "agent-b#8",
                                               "agent-b#9", "entry-1#5", "entry-1#6"};
    const std::vector<Event> merged = mergeTimeline(rejectedThenRunTask());
    BOOST_TEST(order(merged) == expected, boost::test_tools::per_element());
    BOOST_TEST(merged[2].causeProcess == "entry-1");
    BOOST_TEST(merged[2].causeSequence == 2U);
    BOOST_TEST(merged[5].causeSequence == 4U);
    BOOST_TEST(merged[7].causeProcess == "agent-b");
}

// Guards against duplicate events, which occur when both a process and the log supply an event or when a
// record was appended twice, and against removal of events of a restarted process as duplicates.
BOOST_AUTO_TEST_CASE(duplicatesAreRemovedAndRestartsAreKept)
{
    std::vector<Event> events = rejectedThenRunTask();
    const std::vector<Event> again = events;
    events.insert(events.end(), again.begin(), again.end());
    BOOST_TEST(mergeTimeline(events).size() == again.size());
    const std::vector<Event> restarts = {
        {.kind = EventKind::ProcessStarted, .time = {1}, .process = "p", .sequence = 1},
        {.kind = EventKind::AgentLost, .time = {2}, .process = "p", .sequence = 2},
        {.kind = EventKind::ProcessStarted, .time = {3}, .process = "p", .sequence = 1},
        {.kind = EventKind::AgentLost, .time = {4}, .process = "p", .sequence = 2}};
    const std::vector<Event> merged = mergeTimeline(restarts);
    BOOST_TEST(merged.size() == 4U);
    BOOST_TEST(merged[3].time.count == 4);
}

// Guards against lost events and an endless loop if causes contradict each other.
BOOST_AUTO_TEST_CASE(cyclicCausesKeepAllEvents)
{
    const std::vector<Event> merged = mergeTimeline(
        {{.time = {1}, .process = "a", .sequence = 1, .causeProcess = "b", .causeSequence = 1},
         {.time = {2}, .process = "b", .sequence = 1, .causeProcess = "a", .causeSequence = 1}});
    BOOST_TEST(merged.size() == 2U);
}

// Guards against lines that omit why a task was rejected, or where and for how long it ran.
BOOST_AUTO_TEST_CASE(linesStateReasonsAndTimes)
{
    const std::vector<Event> merged = mergeTimeline(rejectedThenRunTask());
    const std::vector<std::string> lines = timelineText(merged);
    BOOST_TEST(
        lines[2]
        == "1970-01-01T00:00:05.005Z agent-a (thamel): task j-0 was refused by kiosk-1: zone_withdrawn "
           "(operators have withdrawn the availability zone); it did not run there [config 2] "
           "[after entry-1#2]");
    BOOST_TEST(lines[4]
               == "1970-01-01T00:00:10.007Z entry-1 (patan): task j-0 was sent to agent-b, 7 ms after its "
                  "submission was "
                  "accepted "
                  "[config 2]");
    BOOST_TEST(lines[6]
               == "1970-01-01T00:00:05.058Z agent-b (thamel): task j-0 ended on kiosk-1: complete, 50 ms "
                  "after its start "
                  "[config 2]");
}

// Guards against a filter by target or zone that omits the events recorded by the entry.
BOOST_AUTO_TEST_CASE(filtersSelectBothSides)
{
    const std::vector<Event> merged = mergeTimeline(rejectedThenRunTask());
    BOOST_TEST(filterTimeline(merged, {.job = "other"}).empty());
    BOOST_TEST(filterTimeline(merged, {.task = "j-0"}).size() == 7U);
    BOOST_TEST(filterTimeline(merged, {.zone = "thamel"}).size() == 7U);
    BOOST_TEST(filterTimeline(merged, {.target = "agent-b"}).size() == 4U);
    BOOST_TEST(filterTimeline(merged, {.target = "kiosk-1"}).size() >= 5U);
}

// Guards against rejections that are not shipped to the log because many successful tasks use up the limit.
BOOST_AUTO_TEST_CASE(decisionsAreShippedFirst)
{
    const std::vector<Event> events = rejectedThenRunTask();
    const std::vector<Event> shipped = selectForShipping(events, 3);
    BOOST_TEST(shipped.size() == 3U);
    BOOST_TEST(std::count_if(shipped.begin(), shipped.end(),
                             [](const Event &event) { return event.kind == EventKind::TaskRefused; })
               == 2);
}

// Guards against a reason of docs/operators.md that timeline lines do not explain.
BOOST_AUTO_TEST_CASE(reasonsAreExplained)
{
    BOOST_TEST(!explainReason("zone_withdrawn").empty());
    BOOST_TEST(!explainReason("duplicate_start").empty());
    BOOST_TEST(explainReason("complete").empty());
}

BOOST_AUTO_TEST_SUITE_END()
