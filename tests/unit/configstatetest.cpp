// Tests of the rule by which configuration records are accepted.
#include "config/configstate.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace turmericwell;

namespace {

Declarations withTeam(const std::string &name)
{
    Declarations declarations;
    declarations.teams.push_back({.name = name});
    return declarations;
}

std::string change(uint64_t base, const std::string &author)
{
    return makeChangeRecord(base, author, withTeam(author)).text;
}

void applyFrom(ConfigState &state, const std::vector<std::string> &log, size_t first)
{
    for (size_t offset = first; offset < log.size(); ++offset)
        state.apply(offset, log[offset]);
}

// Builds a log such as correct processes write: changes on old and new bases, repeated records and snapshots
// that were appended late.
std::vector<std::string> randomLog(std::mt19937 &random)
{
    std::vector<std::string> log;
    ConfigState truth;
    std::vector<std::string> snapshots;
    const auto below = [&](uint64_t bound) { return random() % bound; };
    for (size_t offset = 0; offset < 60; ++offset) {
        snapshots.push_back(truth.snapshotRecord());
        const uint64_t kind = below(10);
        if (kind < 3)
            log.push_back(snapshots[snapshots.size() - 1 - below(std::min<size_t>(5, snapshots.size()))]);
        else if (kind < 4 && !log.empty())
            log.push_back(log[below(log.size())]);
        else if (kind < 5)
            log.emplace_back("not a record");
        else
            // The base ranges from two versions back to the next version, which does not exist yet.
            log.push_back(change(std::max<uint64_t>(truth.version() + below(4), 2) - 2,
                                 "author-" + std::to_string(below(4))));
        truth.apply(offset, log.back());
    }
    return log;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configState)

// Guards against a lost update: of two changes on one base, the second must be rejected.
BOOST_AUTO_TEST_CASE(secondChangeOnTheSameBaseIsAConflict)
{
    ConfigState state;
    BOOST_TEST((state.apply(0, change(0, "a")) == RecordEffect::Accepted));
    BOOST_TEST((state.apply(1, change(0, "b")) == RecordEffect::Conflict));
    BOOST_TEST(state.version() == 1U);
    BOOST_TEST(state.current()->author == "a");
}

// Guards against a repeated change being reported as a conflict with its own first record.
BOOST_AUTO_TEST_CASE(repeatIsRecognisedAfterOtherChanges)
{
    ConfigState state;
    applyFrom(state, {change(0, "a"), change(1, "b"), change(2, "c")}, 0);
    BOOST_TEST((state.apply(3, change(0, "a")) == RecordEffect::Repeated));
    BOOST_TEST(state.version() == 3U);
    BOOST_TEST(state.acceptedVersion(makeChangeRecord(1, "b", withTeam("b")).id).value() == 2U);
}

// Guards against a reader that misses changes between a snapshot's upTo and the offset of the snapshot.
BOOST_AUTO_TEST_CASE(changesBetweenUpToAndSnapshotCount)
{
    ConfigState writer;
    std::vector<std::string> log = {change(0, "a")};
    writer.apply(0, log[0]);
    const std::string snapshot = writer.snapshotRecord();
    log.push_back(change(1, "b"));
    log.push_back(snapshot);
    log.push_back(change(2, "c"));

    ConfigState late;
    late.expiredBefore(1);
    BOOST_TEST((late.apply(1, log[1]) == RecordEffect::Ignored));
    BOOST_TEST((late.apply(2, log[2]) == RecordEffect::Accepted));
    BOOST_TEST(late.version() == 2U);
    BOOST_TEST((late.apply(3, log[3]) == RecordEffect::Accepted));
    BOOST_TEST(late.current()->author == "c");
}

// Guards against resuming from a snapshot although an accepted change after it has expired unread.
BOOST_AUTO_TEST_CASE(snapshotOfAnExpiredPositionIsNotUsed)
{
    ConfigState writer;
    writer.apply(0, change(0, "a"));
    ConfigState late;
    late.expiredBefore(2);
    late.apply(2, writer.snapshotRecord());
    BOOST_TEST(!late.isPositionKnown());
    BOOST_TEST(late.version() == 0U);
}

// Guards against a reader that was disconnected for longer than the retention and then accepts a change based
// on its own outdated version, although an expired change came before it.
BOOST_AUTO_TEST_CASE(gapLosesThePositionButNotTheStateInForce)
{
    ConfigState reader;
    reader.apply(0, change(0, "a"));
    reader.expiredBefore(2);
    reader.apply(2, change(1, "stale"));
    BOOST_TEST(reader.version() == 1U);
    BOOST_TEST(reader.current()->author == "a");
    BOOST_TEST(!reader.isPositionKnown());
}

// Guards against G9: an instance that adopted the state of a peer reverts to an older version when it reads
// old records.
BOOST_AUTO_TEST_CASE(adoptedStateIsNotRevertedByOldRecords)
{
    const std::vector<std::string> log = {change(0, "a"), change(1, "b"), change(2, "c")};
    ConfigState peer;
    applyFrom(peer, log, 0);
    ConfigState fresh;
    BOOST_TEST(fresh.adopt(peer.stateText()));
    BOOST_TEST(!fresh.adopt(peer.stateText()));
    applyFrom(fresh, log, 0);
    BOOST_TEST(fresh.version() == 3U);
    BOOST_TEST((fresh.apply(3, change(3, "d")) == RecordEffect::Accepted));
}

// Guards against a peer that has missed records and whose state moves the replay of a reader that has not.
BOOST_AUTO_TEST_CASE(adoptedStateWithoutPositionDoesNotMoveTheReplay)
{
    ConfigState peer;
    applyFrom(peer, {change(0, "a"), change(1, "b"), change(2, "c")}, 0);
    peer.expiredBefore(9);
    ConfigState reader;
    reader.apply(0, change(0, "a"));
    BOOST_TEST(reader.adopt(peer.stateText()));
    BOOST_TEST(reader.version() == 3U);
    BOOST_TEST(reader.nextOffset() == 1U);
    BOOST_TEST((reader.apply(1, change(1, "b")) == RecordEffect::Accepted));
    // The replay is at version 2 now; the version in force must not decrease to it.
    BOOST_TEST(reader.version() == 3U);
    BOOST_TEST(reader.current()->author == "c");
}

// Guards against readers that disagree because they started at different offsets. Each reader with a known
// position must have the state of a reader of the whole log, and no reader's version may decrease.
BOOST_AUTO_TEST_CASE(readersFromDifferentOffsetsAgree)
{
    constexpr uint32_t seed = 20261204;
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    size_t positioned = 0;
    for (int round = 0; round < 200; ++round) {
        const std::vector<std::string> log = randomLog(random);
        ConfigState whole;
        applyFrom(whole, log, 0);
        for (size_t first = 1; first < log.size(); ++first) {
            ConfigState late;
            // Some readers have read the first records before they expired.
            const size_t seen = random() % (first + 1);
            for (size_t offset = 0; offset < seen; ++offset)
                late.apply(offset, log[offset]);
            late.expiredBefore(first);
            uint64_t version = late.version();
            for (size_t offset = first; offset < log.size(); ++offset) {
                late.apply(offset, log[offset]);
                BOOST_REQUIRE(late.version() >= version);
                version = late.version();
            }
            BOOST_REQUIRE(late.version() <= whole.version());
            if (!late.isPositionKnown())
                continue;
            ++positioned;
            BOOST_REQUIRE_EQUAL(late.version(), whole.version());
            BOOST_REQUIRE_EQUAL(late.current()->changeId, whole.current()->changeId);
        }
    }
    BOOST_TEST(positioned > 1'000U);
}

BOOST_AUTO_TEST_SUITE_END()
