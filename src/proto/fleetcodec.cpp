// FlatBuffers codec for jobs.
#include "proto/fleetcodec.h"

#include "net/framelink.h"

namespace turmericwell {

constexpr size_t initialBufferBytes = 512;

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
    flatbuffers::FlatBufferBuilder builder(initialBufferBytes);
    builder.Finish(fleet::Envelope::Pack(builder, &envelope));
    std::vector<uint8_t> frame(frameHeaderBytes + builder.GetSize());
    std::copy_n(builder.GetBufferPointer(), builder.GetSize(), frame.begin() + frameHeaderBytes);
    writeFrameHeader(frame);
    return frame;
}

std::unique_ptr<fleet::EnvelopeT> decodeFleetMessage(std::span<const uint8_t> payload)
{
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!fleet::VerifyEnvelopeBuffer(verifier))
        return nullptr;
    std::unique_ptr<fleet::EnvelopeT> envelope(fleet::GetEnvelope(payload.data())->UnPack());
    if (envelope->body.type == fleet::Body::NONE || envelope->body.value == nullptr)
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
    const auto *data = reinterpret_cast<const uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<fleet::JobRecord>(nullptr))
        return std::nullopt;
    JobRecord record;
    flatbuffers::GetRoot<fleet::JobRecord>(data)->UnPackTo(&record);
    return record;
}

} // namespace turmericwell
