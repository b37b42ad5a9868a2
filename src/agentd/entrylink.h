// Connection of an agent to one entry, re-established whenever it is lost.
#pragma once

#include "net/framelink.h"
#include "proto/codec.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace turmericwell {

// Must be used on one thread only.
class EntryLink : public std::enable_shared_from_this<EntryLink>
{
public:
    struct Handlers
    {
        // First message to send on each connection.
        std::function<std::vector<uint8_t>()> hello;
        std::function<void(EntryLink &, const Message &)> onMessage;
        std::function<void(EntryLink &)> onLost;
    };

    EntryLink(IoContext &io, Address address, Handlers handlers);

    void start();
    // Sends the frame if the entry is connected and discards it otherwise.
    void send(std::vector<uint8_t> frame);
    // Like send(), for a frame that the entry answers immediately. Closes the connection if the entry does
    // not answer; a connection that is open only on this side would otherwise never be replaced.
    void ping(std::vector<uint8_t> frame);
    void stop();

    const Address &address() const { return m_address; }
    bool isConnected() const { return m_link != nullptr; }
    // Entry at the other end; its name is empty until its Welcome was received.
    const ProcessId &entry() const { return m_entry; }
    void setEntry(ProcessId entry) { m_entry = std::move(entry); }

private:
    void dial();
    void scheduleDial();
    void connected(FrameLinkPtr link);
    void received(std::span<const uint8_t> payload);
    void lost(const std::string &reason);

    IoContext &m_io;
    Address m_address;
    Handlers m_handlers;
    boost::asio::steady_timer m_timer;
    FrameLinkPtr m_link;
    ProcessId m_entry;
    bool m_stopped = false;
    // Pings sent since the last frame was received from the entry.
    uint32_t m_unanswered = 0;
};

} // namespace turmericwell
