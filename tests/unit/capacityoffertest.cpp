// Tests of CapacityOffer: scarce free resources of a worker are offered to one entry at a time.
#include "worker/capacityoffer.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

namespace {

// Passes on a turn that is over, at a worker with 10 processors, one of them free.
void advance(CapacityOffer &offer, const std::map<uint32_t, EntryNumber> &owners, Millis now)
{
    if (offer.isTurnOver(1'000, 10'000, now))
        offer.passTurn(owners, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(CapacityOfferTest)

// Guards against orders of several entries for the same freed resources, all but one of which are rejected.
BOOST_AUTO_TEST_CASE(scarceResourcesAreOfferedToOneEntry)
{
    CapacityOffer offer;
    offer.runEnded(2, {1'000});
    BOOST_TEST(offer.freeCpuFor(2, 1'000, 10'000) == 1'000);
    BOOST_TEST(offer.freeCpuFor(1, 1'000, 10'000) == 0);
    BOOST_TEST(offer.freeCpuFor(1, -500, 10'000) == -500);
    BOOST_TEST(offer.freeCpuFor(1, 1'500, 10'000) == 1'500);
}

// Guards against resources that remain offered to an entry with nothing to start, and against equal turns for
// entries that own unequal numbers of partitions.
BOOST_AUTO_TEST_CASE(turnsFollowThePartitions)
{
    CapacityOffer offer;
    const std::map<uint32_t, EntryNumber> owners = {{0, 1}, {1, 1}, {2, 1}, {3, 2}};
    Millis now = {1'000};
    offer.runEnded(2, now);
    advance(offer, owners, now + Millis{10});
    BOOST_TEST(offer.freeCpuFor(2, 1'000, 10'000) == 1'000);
    int turnsOfFirst = 0;
    for (int turn = 0; turn < 4; ++turn) {
        now += CapacityOffer::turnLength;
        advance(offer, owners, now);
        if (offer.freeCpuFor(1, 1'000, 10'000) > 0)
            ++turnsOfFirst;
    }
    BOOST_TEST(turnsOfFirst == 3);
    // No entry has used the resources during its turns.
    advance(offer, owners, now + CapacityOffer::turnLength);
    BOOST_TEST(offer.freeCpuFor(1, 1'000, 10'000) == 1'000);
    BOOST_TEST(offer.freeCpuFor(2, 1'000, 10'000) == 1'000);
}

// Guards against resources that no entry may use after the entry whose turn it is has disconnected.
BOOST_AUTO_TEST_CASE(resourcesWithoutOwnersAreOfferedToAll)
{
    CapacityOffer offer;
    offer.runEnded(2, {1'000});
    advance(offer, {}, {1'020});
    BOOST_TEST(offer.freeCpuFor(1, 1'000, 10'000) == 1'000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
