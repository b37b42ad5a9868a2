// Tests of the ejection of failing targets.
#include "limits/ejector.h"

#include <boost/test/unit_test.hpp>

using namespace turmericwell;
using namespace turmericwell::literals;

namespace {

bool fail(Ejector &ejector, const std::string &target, size_t targets, Millis now)
{
    bool ejected = false;
    for (int i = 0; i < 5; ++i)
        ejected = ejector.record(target, true, targets, now);
    return ejected;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ejectorTests)

BOOST_AUTO_TEST_CASE(oneSuccessAmongFiveAnswersKeepsTheTarget)
{
    Ejector ejector;
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(!ejector.record("a", i % 5 != 4, 3, 0_ms));
}

BOOST_AUTO_TEST_CASE(ejectionsDoubleUpToAMinute)
{
    Ejector ejector;
    Millis now = 0_ms;
    for (const Millis length : {5'000_ms, 10'000_ms, 20'000_ms, 40'000_ms, 60'000_ms, 60'000_ms}) {
        BOOST_TEST(fail(ejector, "a", 3, now));
        BOOST_TEST(ejector.restore(now + length - 1_ms).empty());
        BOOST_TEST(ejector.restore(now + length).size() == 1);
        now += length;
    }
    ejector.record("a", false, 3, now);
    BOOST_TEST(fail(ejector, "a", 3, now));
    BOOST_TEST(ejector.restore(now + 5'000_ms).size() == 1);
}

// Guards against the ejection of all targets of a service by a fault that they share.
BOOST_AUTO_TEST_CASE(atMostAThirdIsEjected)
{
    Ejector ejector;
    size_t ejected = 0;
    for (int i = 0; i < 11; ++i)
        ejected += fail(ejector, std::to_string(i), 11, 0_ms) ? 1 : 0;
    BOOST_TEST(ejected == 3);
    BOOST_TEST(!fail(ejector, "only", 2, 0_ms));
}

// Guards against an ejection that is extended by late failures of tasks sent before it.
BOOST_AUTO_TEST_CASE(failuresDuringAnEjectionDoNotCount)
{
    Ejector ejector;
    BOOST_TEST(fail(ejector, "a", 3, 0_ms));
    BOOST_TEST(!fail(ejector, "a", 3, 4'000_ms));
    BOOST_TEST(ejector.restore(5'000_ms).size() == 1);
    BOOST_TEST(!ejector.record("a", true, 3, 5'000_ms));
}

BOOST_AUTO_TEST_SUITE_END()
