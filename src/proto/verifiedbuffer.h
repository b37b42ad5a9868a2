// Encodes FlatBuffers tables as frames for the connections between processes, and verifies and unpacks tables
// from untrusted bytes. Shared by the codecs of all schemas.
#pragma once

#include "net/framelink.h"

#include <algorithm>
#include <cstdint>
#include <flatbuffers/flatbuffers.h>
#include <memory>
#include <span>
#include <vector>

namespace turmericwell {

inline constexpr size_t initialBufferBytes = 512;

// Returns a complete frame, including its header.
template <typename Table>
std::vector<uint8_t> encodeTableFrame(const typename Table::NativeTableType &object)
{
    flatbuffers::FlatBufferBuilder builder(initialBufferBytes);
    builder.Finish(Table::Pack(builder, &object));
    std::vector<uint8_t> frame(frameHeaderBytes + builder.GetSize());
    std::copy_n(builder.GetBufferPointer(), builder.GetSize(), frame.begin() + frameHeaderBytes);
    writeFrameHeader(frame);
    return frame;
}

// Verifies the buffer and unpacks it; null if it is not a valid table. FlatBuffers reads scalars in place, so
// a buffer that is not aligned to the size of the largest scalar is copied first.
template <typename Table>
std::unique_ptr<typename Table::NativeTableType> unpackTable(std::span<const uint8_t> bytes)
{
    std::vector<uint8_t> aligned;
    if (reinterpret_cast<uintptr_t>(bytes.data()) % sizeof(flatbuffers::largest_scalar_t) != 0) {
        aligned.assign(bytes.begin(), bytes.end());
        bytes = aligned;
    }
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!verifier.VerifyBuffer<Table>(nullptr))
        return nullptr;
    return std::unique_ptr<typename Table::NativeTableType>(
        flatbuffers::GetRoot<Table>(bytes.data())->UnPack());
}

} // namespace turmericwell
