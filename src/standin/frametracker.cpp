// Frame boundaries and the name in the first frame.
#include "standin/frametracker.h"

#include "net/framelink.h"
#include "proto/codec.h"
#include "proto/fleetcodec.h"

#include <algorithm>

namespace turmericwell {

void FrameTracker::consume(std::span<const uint8_t> bytes)
{
    while (!bytes.empty()) {
        if (m_payloadLeft > 0) {
            const size_t taken = std::min(m_payloadLeft, bytes.size());
            if (!m_sender)
                m_first.insert(m_first.end(), bytes.begin(), bytes.begin() + static_cast<ptrdiff_t>(taken));
            m_payloadLeft -= taken;
            bytes = bytes.subspan(taken);
            if (m_payloadLeft == 0 && !m_sender)
                nameSender();
            continue;
        }
        m_header.resize(frameHeaderBytes);
        m_header[m_headerFill++] = bytes.front();
        bytes = bytes.subspan(1);
        if (m_headerFill < frameHeaderBytes)
            continue;
        m_headerFill = 0;
        m_payloadLeft =
            decodeFrameHeader(std::span<const uint8_t, frameHeaderBytes>(m_header.data(), frameHeaderBytes))
                .payloadBytes;
    }
}

void FrameTracker::nameSender()
{
    m_sender = m_kind == StreamKind::FleetFrames ? fleetGreetingName(m_first) : greetingName(m_first);
    m_first.clear();
}

std::string FrameTracker::greetingName(std::span<const uint8_t> frame)
{
    const auto message = decodeMessage(frame);
    if (!message)
        return {};
    if (const wire::HelloT *hello = (*message)->body.AsHello())
        return hello->agent;
    const wire::PeerHelloT *peer = (*message)->body.AsPeerHello();
    return peer ? peer->entry : std::string();
}

std::string FrameTracker::fleetGreetingName(std::span<const uint8_t> frame)
{
    const auto message = decodeFleetMessage(frame);
    const fleet::HelloT *hello = message ? message->body.AsHello() : nullptr;
    return hello ? hello->node : std::string();
}

} // namespace turmericwell
