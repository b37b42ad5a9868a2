// Tests by which evidence an owner goes on without the store, and how long a new owner waits for a former
// one.
#include "fleet/entrypresence.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

namespace {

constexpr Millis memberTtl = {1'000};
constexpr Millis start = {100'000};

struct PresenceFixture
{
    PresenceFixture()
    {
        entries.registered("entry-2", start);
        entries.registered("entry-3", start);
        entries.selfRegistered(start);
        hear("entry-2", start + Millis{100});
        hear("entry-3", start + Millis{100});
    }

    void hear(const std::string &name, Millis at)
    {
        entries.connected(name, at);
        entries.answered(name, at);
    }

    EntryPresence entries{memberTtl};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryPresenceTest, PresenceFixture)

// Guards against two owners of a partition (review/6): most of the entries are on one side of a cut, the
// store and the new owner on the other.
BOOST_AUTO_TEST_CASE(majorityOfTheEntriesIsNoEvidence)
{
    const Millis later = start + Millis{2'000};
    hear("entry-2", later);
    BOOST_TEST(!entries.isEachHeardSince(later - EntryPresence::evidenceAge));
    BOOST_TEST(
        (entries.unheardSince(later - EntryPresence::evidenceAge) == std::vector<std::string>{"entry-3"}));
    hear("entry-3", later);
    BOOST_TEST(entries.isEachHeardSince(later - EntryPresence::evidenceAge));
}

// Guards against an outage of the store that stops all work because a machine was replaced long before.
BOOST_AUTO_TEST_CASE(lostEntryIsNotWaitedFor)
{
    const Millis lost = start + Millis{8'000};
    entries.disconnected("entry-3", start + Millis{200});
    BOOST_TEST(entries.unreachable(start + Millis{200} + EntryPresence::expiry).size() == 1U);
    entries.lost("entry-3", true, lost);
    BOOST_TEST(entries.unreachable(lost).empty());
    hear("entry-2", lost);
    BOOST_TEST(entries.isEachHeardSince(lost - Millis{1}));
    // It is alive after all, and may take partitions over.
    entries.registered("entry-3", lost + Millis{100});
    BOOST_TEST(!entries.isEachHeardSince(lost - Millis{1}));
}

// Guards against two owners: the mark of an entry that is connected says nothing about the time after its
// connection is lost.
BOOST_AUTO_TEST_CASE(markOfAConnectedEntryDoesNotCount)
{
    entries.lost("entry-3", true, start + Millis{300});
    entries.disconnected("entry-3", start + Millis{400});
    hear("entry-2", start + Millis{5'000});
    BOOST_TEST(!entries.isEachHeardSince(start + Millis{4'000}));
}

// Guards against a delay of every takeover: entries that have answered since then have closed the partition.
BOOST_AUTO_TEST_CASE(heardEntriesHaveGivenUpThePartition)
{
    const Millis opened = start + Millis{5'000};
    hear("entry-2", opened + Millis{2});
    hear("entry-3", opened + Millis{2});
    BOOST_TEST((entries.formerOwnersEnd(opened) == opened));
}

// Guards against two runs of a task: a former owner that is out of reach keeps runs alive until its
// membership and the last answer of this entry are too old.
BOOST_AUTO_TEST_CASE(formerOwnerThatKnowsThisEntryGivesUpSoon)
{
    const Millis opened = start + Millis{5'000};
    hear("entry-2", opened + Millis{2});
    const Millis end = entries.formerOwnersEnd(opened);
    BOOST_TEST((end >= opened + std::max(memberTtl, EntryPresence::evidenceAge)));
    BOOST_TEST((end < opened + Millis{1'200}));
}

// Guards against two runs of a task: an entry that was restarted behind a cut is not known to a former owner,
// which goes on without the store.
BOOST_AUTO_TEST_CASE(formerOwnerThatMayNotKnowThisEntryIsWaitedForLonger)
{
    EntryPresence restarted(memberTtl);
    restarted.registered("entry-2", start);
    restarted.selfRegistered(start);
    const Millis opened = start + Millis{500};
    const Millis end = opened + EntryPresence::withoutStoreLimit;
    BOOST_TEST((restarted.formerOwnersEnd(opened) == end));
    // Its mark bounds the wait, for entries that start later as well.
    restarted.lost("entry-2", false, start + Millis{100});
    BOOST_TEST((restarted.formerOwnersEnd(opened) == start + Millis{100} + EntryPresence::withoutStoreLimit));
    const Millis muchLater = start + EntryPresence::withoutStoreLimit + Millis{5'000};
    BOOST_TEST((restarted.formerOwnersEnd(muchLater) == muchLater));
}

// Guards against partitions that stand still for 20 s after a restart of all processes: an entry that was
// replaced long before is found marked as lost, and each new process took it for lost since its own start.
BOOST_AUTO_TEST_CASE(lostEntryThatKnewTheWriterOfItsMarkIsNotWaitedFor)
{
    EntryPresence restarted(memberTtl);
    restarted.lost("entry-2", true, start);
    restarted.selfRegistered(start + Millis{10});
    const Millis opened = start + Millis{400};
    const Millis end = restarted.formerOwnersEnd(opened);
    // Its membership may have been confirmed right before the mark was read.
    BOOST_TEST((end >= start + memberTtl));
    BOOST_TEST((end < start + Millis{1'200}));
}

// Guards against two owners: a mark of an entry that the lost one did not know is no evidence that it has
// given up without the store.
BOOST_AUTO_TEST_CASE(onlyEntriesThatHaveHeardThisOneKnowIt)
{
    BOOST_TEST(entries.knowsThisEntry("entry-2"));
    EntryPresence restarted(memberTtl);
    restarted.registered("entry-2", start);
    restarted.selfRegistered(start);
    BOOST_TEST(!restarted.knowsThisEntry("entry-2"));
    BOOST_TEST(!restarted.knowsThisEntry("entry-9"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
