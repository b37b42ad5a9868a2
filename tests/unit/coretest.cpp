// Tests of the core value types.
#include "turmericwell/fingerprint.h"
#include "turmericwell/task.h"

#include <boost/test/unit_test.hpp>

using namespace turmericwell;

BOOST_AUTO_TEST_SUITE(core)

// Guards against keys of two services that map to the same submission record.
BOOST_AUTO_TEST_CASE(fingerprintsOfDifferentServicesDiffer)
{
    BOOST_TEST((Fingerprint::ofKey("a", "bc") != Fingerprint::ofKey("ab", "c")));
    BOOST_TEST((Fingerprint::ofKey("a", "k") == Fingerprint::ofKey("a", "k")));
}

BOOST_AUTO_TEST_CASE(fingerprintHexRoundTrip)
{
    const Fingerprint key = Fingerprint::ofKey("kiosk", "k-1");
    BOOST_TEST((Fingerprint::fromHex(key.hex()) == key));
    BOOST_TEST(!Fingerprint::fromHex("xyz").has_value());
    BOOST_TEST(!Fingerprint::fromHex(std::string(32, 'g')).has_value());
}

BOOST_AUTO_TEST_CASE(taskTextNamesTheAttemptOnlyAfterTheFirst)
{
    TaskRef task{.submission = {.high = 1, .low = 2}, .index = 3};
    BOOST_TEST(task.text() == "00000000000000010000000000000002-3");
    task.attempt = 1;
    BOOST_TEST(task.text() == "00000000000000010000000000000002-3.1");
}

BOOST_AUTO_TEST_SUITE_END()
