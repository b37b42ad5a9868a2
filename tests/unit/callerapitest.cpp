// Tests of the requests of callers: what they may ask for, and what is refused.
#include "entry/callerapi.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

namespace {

Config makeConfig()
{
    Config config{.version = 1};
    config.declarations.services = {{.name = "kiosk", .calls = {{.name = "unlock"}}}};
    return config;
}

CallerRequest parse(const std::string &key, const std::string &body)
{
    return parseCallerRequest({.method = "POST",
                               .path = "/v1/services/kiosk/requests",
                               .headers = {{"idempotency-key", key}},
                               .body = body},
                              makeConfig());
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallerApiTest)

// Guards against a request that is held for years: a time that is far beyond any wait of a caller overflows
// when it is added to the present one.
BOOST_AUTO_TEST_CASE(deadlineIsBounded)
{
    for (const std::string deadline : {"3600001", "1000000000000000", "9223372036854775807"}) {
        const CallerRequest parsed = parse("k", R"({"call":"unlock","deadlineMs":)" + deadline + "}");
        const auto *request = std::get_if<SubmissionRequest>(&parsed);
        BOOST_TEST_REQUIRE(request != nullptr);
        BOOST_TEST(request->budget.count == 3'600'000);
    }
    const CallerRequest parsed = parse("k", R"({"call":"unlock","deadlineMs":1500})");
    BOOST_TEST(std::get<SubmissionRequest>(parsed).budget.count == 1'500);
}

// Guards against times that are no positive whole numbers, and against keys that answers cannot repeat.
BOOST_AUTO_TEST_CASE(invalidInputIsRefused)
{
    for (const std::string deadline : {"0", "-1", "1.5", "9223372036854775808", "\"10\""})
        BOOST_CHECK(std::holds_alternative<BadRequest>(
            parse("k", R"({"call":"unlock","deadlineMs":)" + deadline + "}")));
    BOOST_CHECK(std::holds_alternative<BadRequest>(parse("", R"({"call":"unlock"})")));
    BOOST_CHECK(std::holds_alternative<BadRequest>(parse("\xff\xfe", R"({"call":"unlock"})")));
    BOOST_CHECK(std::holds_alternative<BadRequest>(parse(std::string(257, 'k'), R"({"call":"unlock"})")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
