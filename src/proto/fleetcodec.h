// Encodes and decodes the messages and stored records of src/proto/fleet.fbs. Buffers are verified before
// they are accessed.
#pragma once

#include "jobs/taskid.h"
#include "proto/fleet_generated.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace turmericwell {

using JobSpec = fleet::JobSpecT;
using StepSpec = fleet::StepSpecT;
using JobRecord = fleet::JobRecordT;
using JobPhase = fleet::JobPhase;
using EndKind = fleet::EndKind;
using LostCause = fleet::LostCause;
using RejectReason = fleet::RejectReason;

fleet::RunRef toWire(const RunId &run);
RunId fromWire(const fleet::RunRef &run);
// A missing reference decodes as RunId{}. No run has this identifier, since run numbers are positive.
RunId fromWire(const std::unique_ptr<fleet::RunRef> &run);

// Returns a complete frame, including its header.
std::vector<uint8_t> encodeFleetEnvelope(const fleet::EnvelopeT &envelope);

template <typename Body>
std::vector<uint8_t> encodeFleetMessage(Body body)
{
    fleet::EnvelopeT envelope;
    envelope.body.Set(std::move(body));
    return encodeFleetEnvelope(envelope);
}

// Null if the payload is not a valid envelope or has no body.
std::unique_ptr<fleet::EnvelopeT> decodeFleetMessage(std::span<const uint8_t> payload);

std::string encodeJobRecord(const JobRecord &record);
// Empty if the bytes are not a valid record.
std::optional<JobRecord> decodeJobRecord(std::string_view bytes);

} // namespace turmericwell
