// Follows frame boundaries in a byte stream, so that the proxy can cut inside a frame and name the sender.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace turmericwell {

// What a stream carries.
enum class StreamKind : uint8_t {
    Opaque,
    // Frames of the first deployment's protocol, or of fleet-entry and fleet-agent.
    Frames,
    FleetFrames,
};

class FrameTracker
{
public:
    explicit FrameTracker(StreamKind kind)
        : m_kind(kind)
    { }

    void consume(std::span<const uint8_t> bytes);
    bool atBoundary() const { return m_headerFill == 0 && m_payloadLeft == 0; }
    // Name in the greeting that opened the stream. Empty until the first frame is complete; an
    // empty string if that frame names nobody.
    const std::optional<std::string> &sender() const { return m_sender; }

private:
    void nameSender();
    static std::string greetingName(std::span<const uint8_t> frame);
    static std::string fleetGreetingName(std::span<const uint8_t> frame);

    const StreamKind m_kind;
    std::vector<uint8_t> m_header;
    size_t m_headerFill = 0;
    size_t m_payloadLeft = 0;
    std::vector<uint8_t> m_first;
    std::optional<std::string> m_sender;
};

} // namespace turmericwell
