// Tests of the roster, of the rule for which entry dials, and of failure detection.
#include "membership/peerrules.h"
#include "membership/roster.h"

#include <boost/test/unit_test.hpp>

using namespace turmericwell;
using namespace turmericwell::literals;

static EntryMember memberOf(const std::string &name, uint64_t incarnation = 1)
{
    return {.id = {.name = name, .incarnation = incarnation}, .address = "127.0.0.1:1", .zone = "z"};
}

// Roster with entry-1 and entry-2 at offsets 0 and 1.
static Roster twoEntries()
{
    Roster roster;
    roster.apply(0, Roster::joinRecord(memberOf("entry-1")));
    roster.apply(1, Roster::joinRecord(memberOf("entry-2")));
    return roster;
}

BOOST_AUTO_TEST_SUITE(membershiproster)

// Guards against a reader that starts from a snapshot and computes another view than one that read all
// records.
BOOST_AUTO_TEST_CASE(snapshotGivesTheSameViewAsAllRecords)
{
    Roster whole = twoEntries();
    const std::string snapshot = whole.snapshotRecord();
    const std::string leave = Roster::leaveRecord({.name = "entry-1", .incarnation = 1}, "entry-2", "dead");
    const std::string join = Roster::joinRecord(memberOf("entry-3"));
    // The leave was appended after the state of the snapshot was taken and before the snapshot was appended.
    whole.apply(2, leave);
    whole.apply(3, snapshot);
    whole.apply(4, join);
    Roster late;
    late.startReadingAt(2);
    BOOST_TEST(!late.hasBase());
    late.apply(2, leave);
    late.apply(3, snapshot);
    late.apply(4, join);
    BOOST_TEST(late.view() == whole.view());
    BOOST_TEST(late.view() == 4U);
    BOOST_TEST((late.members() == whole.members()));
}

// Guards against a snapshot that does not include a change that has expired from the log.
BOOST_AUTO_TEST_CASE(snapshotOlderThanTheReadableRecordsIsNotTaken)
{
    const std::string snapshot = twoEntries().snapshotRecord();
    Roster late;
    late.startReadingAt(5);
    late.apply(6, snapshot);
    BOOST_TEST(!late.hasBase());
    BOOST_TEST(late.members().empty());
}

// Guards against an entry that was disconnected for longer than the retention and uses its outdated members.
BOOST_AUTO_TEST_CASE(readerThatMissedRecordsNeedsANewBase)
{
    Roster roster = twoEntries();
    roster.startReadingAt(9);
    BOOST_TEST(!roster.hasBase());
    Roster other = twoEntries();
    for (uint64_t offset = 2; offset < 10; ++offset)
        other.apply(offset, Roster::joinRecord(memberOf("entry-3", offset)));
    BOOST_TEST(roster.adopt(other.stateText()));
    BOOST_TEST(roster.view() == other.view());
}

// Guards against records that are counted twice when an adopted state and the log overlap.
BOOST_AUTO_TEST_CASE(recordsWithinAnAdoptedStateAreNotCountedAgain)
{
    const Roster source = twoEntries();
    Roster roster;
    BOOST_TEST(roster.adopt(source.stateText()));
    roster.apply(0, Roster::joinRecord(memberOf("entry-1")));
    roster.apply(1, Roster::joinRecord(memberOf("entry-2")));
    BOOST_TEST(roster.view() == 2U);
    BOOST_TEST(!roster.adopt(source.stateText()));
    BOOST_TEST(!roster.adopt("{}"));
    BOOST_TEST(!roster.adopt("not JSON"));
}

// Guards against an entry that can never join because every record has expired.
BOOST_AUTO_TEST_CASE(firstSnapshotIsABaseWithAViewAboveAllEarlierOnes)
{
    Roster empty;
    empty.startReadingAt(40);
    empty.apply(40, empty.firstSnapshotRecord());
    BOOST_TEST(empty.hasBase());
    BOOST_TEST(empty.view() == 40U);
    BOOST_TEST(empty.apply(41, Roster::joinRecord(memberOf("entry-1"))));
}

// Guards against a late leave of an old incarnation that removes the new incarnation.
BOOST_AUTO_TEST_CASE(leaveOfAnotherIncarnationHasNoEffect)
{
    Roster roster = twoEntries();
    BOOST_TEST(roster.apply(2, Roster::joinRecord(memberOf("entry-1", 2))));
    BOOST_TEST(
        !roster.apply(3, Roster::leaveRecord({.name = "entry-1", .incarnation = 1}, "entry-2", "dead")));
    BOOST_TEST(!roster.apply(4, Roster::joinRecord(memberOf("entry-1", 1))));
    BOOST_TEST((roster.find("entry-1")->id.incarnation == 2U));
}

BOOST_AUTO_TEST_CASE(onlyTheHigherNameDials)
{
    BOOST_TEST((decideHello("entry-2", "entry-1", true) == HelloDecision::Adopt));
    BOOST_TEST((decideHello("entry-1", "entry-2", false) == HelloDecision::AdoptAndAnswer));
    BOOST_TEST((decideHello("entry-2", "entry-1", false) == HelloDecision::RejectAndDial));
    BOOST_TEST((decideHello("entry-1", "entry-2", true) == HelloDecision::Reject));
    BOOST_TEST((decideHello("entry-1", "entry-1", false) == HelloDecision::Reject));
}

// Ticks every 100 ms, with contact from entry-2 until `contactUntil`. Returns the time at which it is first
// reported as dead.
static std::optional<Millis> firstReport(const std::string &self, Millis contactUntil, Millis end)
{
    const std::vector<EntryMember> members = {memberOf("entry-1"), memberOf("entry-2"), memberOf("entry-3")};
    FailureDetector detector(self, {});
    for (Millis now = 100'000_ms; now <= end; now += 100_ms) {
        for (const EntryMember &member : members) {
            if (member.id.name != "entry-2" || now <= contactUntil)
                detector.heard(member.id.name, now);
        }
        if (!detector.tick(members, now).empty())
            return now;
    }
    return std::nullopt;
}

// Guards against several entries that append the same leave, and against no entry doing so.
BOOST_AUTO_TEST_CASE(firstMemberReportsUnresponsiveOneAndTheNextWaits)
{
    BOOST_TEST((firstReport("entry-1", 101'000_ms, 110'000_ms) == 103'100_ms));
    BOOST_TEST((firstReport("entry-3", 101'000_ms, 110'000_ms) == 104'100_ms));
    BOOST_TEST((firstReport("entry-1", 110'000_ms, 110'000_ms) == std::nullopt));
}

// Guards against a process that reports every other entry as dead when it resumes after a pause.
BOOST_AUTO_TEST_CASE(ownPauseIsNotTakenForLostContactWithOthers)
{
    const std::vector<EntryMember> members = {memberOf("entry-1"), memberOf("entry-2")};
    FailureDetector detector("entry-1", {});
    BOOST_TEST(detector.tick(members, 100'000_ms).empty());
    BOOST_TEST(detector.tick(members, 100'100_ms).empty());
    BOOST_TEST(detector.tick(members, 110'000_ms).empty());
    BOOST_TEST(detector.tick(members, 110'100_ms).empty());
}

// Guards against an entry that was removed from the roster and reports the remaining members.
BOOST_AUTO_TEST_CASE(entryThatIsNoMemberReportsNobody)
{
    const std::vector<EntryMember> members = {memberOf("entry-2")};
    FailureDetector detector("entry-1", {});
    for (Millis now = 100'000_ms; now < 110'000_ms; now += 100_ms)
        BOOST_TEST(detector.tick(members, now).empty());
}

BOOST_AUTO_TEST_SUITE_END()
