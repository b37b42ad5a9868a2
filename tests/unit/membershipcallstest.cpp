// Tests of calls that wait for the owner of a key, with a controlled clock.
#include "entry/ownercalls.h"

#include <boost/test/unit_test.hpp>

using namespace turmericwell;
using namespace turmericwell::literals;

namespace {

const ProcessId self = {.name = "entry-1", .incarnation = 1};
const ProcessId owner = {.name = "entry-2", .incarnation = 1};
const ProcessId nextOwner = {.name = "entry-3", .incarnation = 1};

struct CallsFixture
{
    CallsFixture()
        : calls(self,
                {.place = [this](const Fingerprint &) { return KeyPlace{.owner = place}; },
                 .forward =
                     [this](const ProcessId &peer, const SubmissionRequest &, OwnerCalls::Reply reply) {
                         return recordCall(forwards, peer, std::move(reply));
                     },
                 .lookup =
                     [this](const ProcessId &peer, const Fingerprint &, bool, OwnerCalls::Reply reply) {
                         return recordCall(lookups, peer, std::move(reply));
                     },
                 .submitHere =
                     [this](const SubmissionRequest &, const AnswerDelivery &deliver) {
                         ++submittedHere;
                         deliver({.outcome = Outcome::Complete});
                     },
                 .lookupHere = [this](const Fingerprint &, bool) { return recordHere; },
                 .lookupOwn = [this](const Fingerprint &) { return ownRecord; }})
    { }

    bool recordCall(std::vector<ProcessId> &list, const ProcessId &peer, OwnerCalls::Reply &&handler)
    {
        if (!connected)
            return false;
        list.push_back(peer);
        reply = std::move(handler);
        return true;
    }

    void submit()
    {
        calls.submit(
            {.tasks = {"1"}, .budget = 1'000_ms}, [this](const Answer &given) { answer = given; }, 0_ms);
    }

    std::optional<ProcessId> place = owner;
    bool connected = true;
    std::vector<ProcessId> forwards;
    std::vector<ProcessId> lookups;
    OwnerCalls::Reply reply;
    int submittedHere = 0;
    Answer recordHere = {.status = 404};
    std::optional<Answer> ownRecord;
    std::optional<Answer> answer;
    OwnerCalls calls;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(membershipcalls, CallsFixture)

// Guards against a second run after the first owner died (G1, G6): the next owner only receives a lookup of
// the key, not the submission.
BOOST_AUTO_TEST_CASE(nextOwnerReceivesALookupButNotTheSubmission)
{
    submit();
    place = std::nullopt;
    reply(std::nullopt);
    calls.tick(100_ms);
    BOOST_TEST(!answer.has_value());
    place = nextOwner;
    calls.tick(200_ms);
    BOOST_TEST(forwards.size() == 1U);
    BOOST_REQUIRE(lookups.size() == 1U);
    BOOST_TEST((lookups.front() == nextOwner));
    reply(Answer{.outcome = Outcome::Complete, .status = 200});
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST((answer->outcome == Outcome::Complete));
}

// Guards against treating "not found" from the next owner as proof that nothing ran.
BOOST_AUTO_TEST_CASE(keyThatTheNextOwnerDoesNotKnowIsUnknown)
{
    submit();
    place = self;
    reply(std::nullopt);
    calls.tick(100_ms);
    BOOST_TEST(submittedHere == 0);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST((answer->outcome == Outcome::Unknown));
    BOOST_TEST(answer->reason == reason::entryLost);
}

// Guards against an unknown outcome after a broken connection to an owner that is still alive: the same
// incarnation recognizes the key, so the submission can be sent again.
BOOST_AUTO_TEST_CASE(sameIncarnationGetsTheSubmissionAgain)
{
    submit();
    reply(std::nullopt);
    calls.tick(100_ms);
    BOOST_TEST(forwards.size() == 2U);
}

// Guards against an answer derived from an entry that does not own the key in its view.
BOOST_AUTO_TEST_CASE(replyFromAnEntryThatIsNotTheOwnerIsRetried)
{
    submit();
    reply(Answer{.status = statusNotOwner});
    BOOST_TEST(!answer.has_value());
    place = self;
    calls.tick(100_ms);
    BOOST_TEST(submittedHere == 1);
}

// Guards against an answer from a claim while the results are still being collected from the agents.
BOOST_AUTO_TEST_CASE(pendingKeyIsOnlyAnsweredFromOwnSubmissions)
{
    place = std::nullopt;
    recordHere = {.outcome = Outcome::Unknown, .reason = std::string(reason::entryLost), .status = 504};
    BOOST_TEST(calls.lookupAsOwner({}, false).status == statusNotOwner);
    ownRecord = Answer{.outcome = Outcome::Complete, .status = 200};
    BOOST_TEST(calls.lookupAsOwner({}, false).status == 200);
    place = self;
    BOOST_TEST(calls.lookupAsOwner({}, false).status == 504);
}

// Guards against callers that wait past their deadline for an owner that does not return.
BOOST_AUTO_TEST_CASE(waitingEndsAtTheDeadlineWithUnknown)
{
    connected = false;
    submit();
    calls.tick(999_ms);
    BOOST_TEST(!answer.has_value());
    calls.tick(1'000_ms);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST((answer->outcome == Outcome::Unknown));
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(calls.waiting() == 0U);
}

// Guards against a caller that never receives an answer because its owner is paused or the answer was lost;
// it must receive status 504.
BOOST_AUTO_TEST_CASE(waiterGetsOneAnswerAtItsDeadline)
{
    Waiters waiters;
    int answers = 0;
    Answer last;
    const WaiterId waiter = waiters.add(
        [&](const Answer &given) {
            ++answers;
            last = given;
        },
        500_ms);
    waiters.expire(499_ms);
    BOOST_TEST(answers == 0);
    waiters.expire(500_ms);
    waiters.answer(waiter, {.outcome = Outcome::Complete});
    BOOST_TEST(answers == 1);
    BOOST_TEST(last.status == 504);
    BOOST_TEST((last.outcome == Outcome::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
