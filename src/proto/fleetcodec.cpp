// FlatBuffers codec for the messages and records of jobs.
#include "proto/fleetcodec.h"

#include "proto/verifiedbuffer.h"

namespace turmericwell {

fleet::RunRef toWire(const RunId &run)
{
    return {run.task.job, run.task.occurrence, run.task.step, run.task.index, run.number};
}

RunId fromWire(const fleet::RunRef &run)
{
    return {
        .task = {.job = run.job(), .occurrence = run.occurrence(), .step = run.step(), .index = run.index()},
        .number = run.run()};
}

RunId fromWire(const std::unique_ptr<fleet::RunRef> &run)
{
    return run ? fromWire(*run) : RunId{};
}

std::vector<uint8_t> encodeFleetEnvelope(const fleet::EnvelopeT &envelope)
{
    return encodeTableFrame<fleet::Envelope>(envelope);
}

std::unique_ptr<fleet::EnvelopeT> decodeFleetMessage(std::span<const uint8_t> payload)
{
    std::unique_ptr<fleet::EnvelopeT> envelope = unpackTable<fleet::Envelope>(payload);
    if (!envelope || envelope->body.type == fleet::Body::NONE || envelope->body.value == nullptr)
        return nullptr;
    return envelope;
}

std::string encodeJobRecord(const JobRecord &record)
{
    flatbuffers::FlatBufferBuilder builder(initialBufferBytes);
    builder.Finish(fleet::JobRecord::Pack(builder, &record));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<JobRecord> decodeJobRecord(std::string_view bytes)
{
    const std::unique_ptr<JobRecord> record =
        unpackTable<fleet::JobRecord>({reinterpret_cast<const uint8_t *>(bytes.data()), bytes.size()});
    if (!record)
        return std::nullopt;
    return std::move(*record);
}

} // namespace turmericwell
