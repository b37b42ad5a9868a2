// Tests the codec of the messages between entries and agents.
#include "proto/fleetcodec.h"
#include "net/framelink.h"

#include <boost/test/unit_test.hpp>

using namespace turmericwell;

BOOST_AUTO_TEST_SUITE(fleetcodec)

// Guards against reading scalars at misaligned addresses, which the undefined behaviour sanitizer reports and
// some processors do not support: a message can start at any address in a receive buffer.
BOOST_AUTO_TEST_CASE(messagesAreDecodedAtAnyAddress)
{
    fleet::ClaimT claim;
    claim.partition = 7;
    claim.epoch = 1'234'567'890'123;
    const std::vector<uint8_t> frame = encodeFleetMessage(claim);
    const std::span payload = std::span(frame).subspan(frameHeaderBytes);
    for (size_t shift = 0; shift < 2 * sizeof(uint64_t); ++shift) {
        std::vector<uint8_t> buffer(shift);
        buffer.insert(buffer.end(), payload.begin(), payload.end());
        const auto envelope = decodeFleetMessage(std::span(buffer).subspan(shift));
        BOOST_TEST_REQUIRE((envelope != nullptr));
        BOOST_TEST_REQUIRE(envelope->body.AsClaim() != nullptr);
        BOOST_TEST(envelope->body.AsClaim()->epoch == claim.epoch);
    }
}

// Guards against reads beyond the end of a truncated message.
BOOST_AUTO_TEST_CASE(truncatedMessagesAreRejected)
{
    fleet::JobAnswerT answer;
    answer.call = 9;
    answer.reason = "no room";
    const std::vector<uint8_t> frame = encodeFleetMessage(answer);
    const std::span payload = std::span(frame).subspan(frameHeaderBytes);
    for (size_t length = 0; length < payload.size() / 2; ++length) {
        const std::vector<uint8_t> cut(payload.begin(), payload.begin() + static_cast<ptrdiff_t>(length));
        BOOST_TEST((decodeFleetMessage(cut) == nullptr));
    }
}

BOOST_AUTO_TEST_SUITE_END()
