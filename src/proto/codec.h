// Encodes and decodes the messages of src/proto/envelope.fbs. Buffers from the network are verified before
// they are accessed.
#pragma once

#include "proto/envelope_generated.h"
#include "turmericwell/task.h"

#include <boost/leaf/result.hpp>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace turmericwell {

// The payload of a frame is not a valid envelope.
struct CodecError
{
    std::string detail;
};

using Message = wire::EnvelopeT;

// Returns a complete frame, including its header.
std::vector<uint8_t> encodeEnvelope(const Message &message);

// Returns a complete frame for a message body such as wire::PingT.
template <typename Body>
std::vector<uint8_t> encodeMessage(Body body)
{
    Message message;
    message.body.Set(std::move(body));
    return encodeEnvelope(message);
}

boost::leaf::result<std::unique_ptr<Message>> decodeMessage(std::span<const uint8_t> payload);

// Conversions between wire types and the value types of the decision logic.
wire::Key toWire(const Fingerprint &fingerprint);
Fingerprint fromWire(const wire::Key &key);
wire::TaskRef toWire(const TaskRef &task);
TaskRef fromWire(const wire::TaskRef &task);
std::unique_ptr<wire::TaskStartT> toWire(const TaskStart &start);
TaskStart fromWire(const wire::TaskStartT &start);
std::unique_ptr<wire::TaskResultT> toWire(const TaskResult &result);
TaskResult fromWire(const wire::TaskResultT &result);
std::unique_ptr<wire::TargetInfoT> toWire(const TargetInfo &target);
TargetInfo fromWire(const wire::TargetInfoT &target);
std::unique_ptr<wire::AnswerT> toWire(const Answer &answer);
Answer fromWire(const wire::AnswerT &answer);
std::unique_ptr<wire::SubmissionT> toWire(const SubmissionRequest &request);
SubmissionRequest fromWire(const wire::SubmissionT &submission);

} // namespace turmericwell
