// Frame headers and envelopes from the network: any bytes must give a message or an error, and what was
// decoded must encode to something that decodes again.
#include "net/framelink.h"
#include "proto/codec.h"

#include <boost/leaf/handle_errors.hpp>
#include <cstdlib>

using namespace turmericwell;

// A valid StartBatch, which the fuzzer damages: random bytes alone never pass the verifier.
static std::vector<uint8_t> validFrame()
{
    wire::StartBatchT batch;
    for (uint32_t i = 0; i < 3; ++i) {
        const TaskStart start{.task = {.submission = {.high = 1, .low = 2}, .index = i},
                              .service = "kiosk",
                              .call = "unlock",
                              .payload = R"({"runMs":1})"};
        batch.tasks.push_back(toWire(start));
    }
    return encodeMessage(std::move(batch));
}

static void decode(std::span<const uint8_t> payload)
{
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(message, decodeMessage(payload));
            const std::vector<uint8_t> frame = encodeEnvelope(*message);
            BOOST_LEAF_AUTO(again, decodeMessage(std::span(frame).subspan(frameHeaderBytes)));
            if (again->body.type != message->body.type)
                std::abort();
            return {};
        },
        [](const CodecError &) {}, [] {});
}

// The first byte chooses raw bytes or a damaged valid frame, which three bytes each change: position and
// value.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size == 0)
        return 0;
    const std::span<const uint8_t> input(data + 1, size - 1);
    if (data[0] % 2 == 0) {
        if (input.size() >= frameHeaderBytes) {
            const FrameHeader header = decodeFrameHeader(input.first<frameHeaderBytes>());
            if (frameHeaderProblem(header).empty() && header.payloadBytes > maxFrameBytes)
                std::abort();
        }
        decode(input);
        return 0;
    }
    static const std::vector<uint8_t> valid = validFrame();
    std::vector<uint8_t> payload(valid.begin() + frameHeaderBytes, valid.end());
    for (size_t i = 0; i + 2 < input.size(); i += 3)
        payload[(input[i] * 256U + input[i + 1]) % payload.size()] = input[i + 2];
    decode(payload);
    return 0;
}
