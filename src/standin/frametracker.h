// Follows frame boundaries in a byte stream, so that the proxy can cut inside a frame and name the sender.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace turmericwell {

class FrameTracker
{
public:
    void consume(std::span<const uint8_t> bytes);
    bool atBoundary() const { return m_headerFill == 0 && m_payloadLeft == 0; }
    // Name in the Hello or PeerHello that opened the stream. Empty until the first frame is complete; an
    // empty string if that frame names nobody.
    const std::optional<std::string> &sender() const { return m_sender; }

private:
    void nameSender();

    std::vector<uint8_t> m_header;
    size_t m_headerFill = 0;
    size_t m_payloadLeft = 0;
    std::vector<uint8_t> m_first;
    std::optional<std::string> m_sender;
};

} // namespace turmericwell
