// Connection of an agent to one entry, dialled again whenever it is lost.
#pragma once

#include "net/framelink.h"
#include "proto/codec.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace turmericwell {

// Used on one thread only.
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
    // Sends if connected, otherwise drops the frame.
    void send(std::vector<uint8_t> frame);
    // Like send, for a frame that the entry answers at once. Closes a connection whose entry answers nothing:
    // one that is open on this side only would otherwise never be dialled again.
    void ping(std::vector<uint8_t> frame);
    void stop();

    const Address &address() const { return m_address; }
    bool isConnected() const { return m_link != nullptr; }
    // The entry at the other end; its name is empty until it has said so.
    const ProcessId &entry() const { return m_entry; }
    void setEntry(ProcessId entry) { m_entry = std::move(entry); }

private:
    void dial();
    void dialLater();
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
    // Pings since the last frame from the entry.
    uint32_t m_unanswered = 0;
};

} // namespace turmericwell
