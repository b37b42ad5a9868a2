// Entry point of the unit tests.
#define BOOST_TEST_MODULE turmericwell
#include <boost/test/unit_test.hpp>
