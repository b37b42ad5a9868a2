// Connections that carry length-prefixed, versioned frames between processes of the system. The interfaces
// are implemented over TCP here, and by the emulation.
#pragma once

#include "net/address.h"
#include "turmericwell/millis.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace turmericwell {

using IoContext = boost::asio::io_context;
using TcpSocket = boost::asio::ip::tcp::socket;

constexpr uint16_t protocolVersion = 1;
constexpr size_t frameHeaderBytes = 6;
constexpr uint32_t maxFrameBytes = 8U << 20U;
// Limit of the send queue. A peer that stops reading makes the queue grow; above the limit the connection is
// closed.
constexpr size_t maxQueuedBytes = 64U << 20U;

struct FrameHeader
{
    uint32_t payloadBytes = 0;
    uint16_t version = 0;
};

// Decodes a frame header without validating it; see frameHeaderProblem.
FrameHeader decodeFrameHeader(std::span<const uint8_t, frameHeaderBytes> bytes);
// Validates a header: returns an empty string if it is valid, otherwise the reason to close the connection.
std::string frameHeaderProblem(const FrameHeader &header);
// Writes the header of a complete frame, whose payload starts at offset frameHeaderBytes.
void writeFrameHeader(std::span<uint8_t> frame);

// A connection that delivers complete frames in order until either side closes it.
class FrameLink
{
public:
    struct Handlers
    {
        // Called in the order of arrival; calls for the same link never overlap.
        std::function<void(std::span<const uint8_t> payload)> onFrame;
        // Called once, after the last onFrame.
        std::function<void(const std::string &reason)> onClosed;
    };

    virtual ~FrameLink() = default;
    virtual void start(Handlers handlers) = 0;
    // Sends a complete frame, including its header. Thread-safe; frames from the same thread are sent in the
    // order of the calls.
    virtual void send(std::vector<uint8_t> frame) = 0;
    // Like send, but the frame stays queued until the next send or flush, so that several frames share one
    // write.
    virtual void sendLater(std::vector<uint8_t> frame) = 0;
    virtual void flush() = 0;
    // Closes the connection after all queued frames have been written.
    virtual void closeAfterWrites() = 0;
    virtual void close(const std::string &reason) = 0;
    // Received frames with a larger payload close the connection. The limit is maxFrameBytes until the first
    // call.
    virtual void limitFrames(uint32_t mostPayloadBytes) { static_cast<void>(mostPayloadBytes); }

    virtual uint64_t bytesSent() const = 0;
    virtual uint64_t bytesReceived() const = 0;
    virtual std::string remoteText() const = 0;
};

using FrameLinkPtr = std::shared_ptr<FrameLink>;

class TcpFrameLink : public FrameLink, public std::enable_shared_from_this<TcpFrameLink>
{
public:
    explicit TcpFrameLink(TcpSocket socket);

    void start(Handlers handlers) override;
    void send(std::vector<uint8_t> frame) override;
    void sendLater(std::vector<uint8_t> frame) override;
    void flush() override;
    void closeAfterWrites() override;
    void close(const std::string &reason) override;
    void limitFrames(uint32_t mostPayloadBytes) override { m_mostPayloadBytes = mostPayloadBytes; }

    uint64_t bytesSent() const override { return m_bytesSent; }
    uint64_t bytesReceived() const override { return m_bytesReceived; }
    std::string remoteText() const override { return m_remoteText; }

private:
    void readSome();
    // Passes each complete frame in the buffer to onFrame and retains the incomplete rest. Returns false if
    // the connection was closed.
    bool takeFrames();
    void enqueue(std::vector<uint8_t> frame);
    void writeQueued();
    void finish(const std::string &reason);

    TcpSocket m_socket;
    Handlers m_handlers;
    std::string m_remoteText;
    // The first m_received bytes have been received but not yet passed to onFrame.
    std::vector<uint8_t> m_buffer;
    size_t m_received = 0;
    std::atomic<uint32_t> m_mostPayloadBytes = maxFrameBytes;
    // Accessed only on the socket's strand. m_writing holds the frames of the write in progress.
    std::deque<std::vector<uint8_t>> m_queue;
    std::vector<std::vector<uint8_t>> m_writing;
    size_t m_queuedBytes = 0;
    // True if sendLater has queued frames since the last flush.
    std::atomic<bool> m_unflushed = false;
    bool m_closed = false;
    bool m_closeAfterWrites = false;
    std::atomic<uint64_t> m_bytesSent = 0;
    std::atomic<uint64_t> m_bytesReceived = 0;
};

// Accepts connections until destroyed.
class LinkListener
{
public:
    virtual ~LinkListener() = default;
};

// Transport through which a process accepts connections from other processes and connects to them.
class LinkNetwork
{
public:
    using OnLink = std::function<void(FrameLinkPtr)>;

    virtual ~LinkNetwork() = default;
    virtual std::unique_ptr<LinkListener> listen(const Address &address, OnLink onAccept) = 0;
    // Makes one connection attempt; the callback receives null if it failed or exceeded the timeout.
    virtual void dial(const Address &address, Millis timeout, OnLink onDone) = 0;
};

class FrameListener : public LinkListener
{
public:
    FrameListener(IoContext &io, const Address &address, std::function<void(FrameLinkPtr)> onAccept);
    ~FrameListener() override;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

// Makes one connection attempt; the callback receives null if it failed or exceeded the timeout.
void dialFrameLink(IoContext &io, const Address &address, Millis timeout,
                   std::function<void(FrameLinkPtr)> onDone);

class TcpNetwork : public LinkNetwork
{
public:
    explicit TcpNetwork(IoContext &io)
        : m_io(io)
    { }
    std::unique_ptr<LinkListener> listen(const Address &address, OnLink onAccept) override;
    void dial(const Address &address, Millis timeout, OnLink onDone) override;

private:
    IoContext &m_io;
};

} // namespace turmericwell
