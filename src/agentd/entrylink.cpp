// Connection set-up, supervision and message decoding for one entry.
#include "agentd/entrylink.h"

#include "observe/log.h"

#include <boost/asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace turmericwell {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

static const Logger &logger()
{
    static const Logger instance("agent");
    return instance;
}

EntryLink::EntryLink(IoContext &io, Address address, Handlers handlers)
    : m_io(io)
    , m_address(std::move(address))
    , m_handlers(std::move(handlers))
    , m_timer(io)
{ }

void EntryLink::start()
{
    dial();
}

void EntryLink::stop()
{
    m_stopped = true;
    m_timer.cancel();
    if (m_link)
        m_link->closeAfterWrites();
}

void EntryLink::send(std::vector<uint8_t> frame)
{
    if (m_link)
        m_link->send(std::move(frame));
}

void EntryLink::ping(std::vector<uint8_t> frame)
{
    // The limit counts pings rather than time, because a process that was paused must first read the answers
    // that are already buffered.
    constexpr uint32_t maxUnanswered = 3;
    if (!m_link)
        return;
    if (m_unanswered >= maxUnanswered) {
        m_link->close("no answer to " + std::to_string(maxUnanswered) + " pings");
        return;
    }
    ++m_unanswered;
    m_link->send(std::move(frame));
}

void EntryLink::dial()
{
    if (m_stopped)
        return;
    constexpr Millis connectTimeout = {1'000};
    dialFrameLink(m_io, m_address, connectTimeout, [self = shared_from_this()](FrameLinkPtr link) {
        if (link && !self->m_stopped)
            self->connected(std::move(link));
        else
            self->scheduleDial();
    });
}

void EntryLink::scheduleDial()
{
    if (m_stopped)
        return;
    constexpr Millis retryDelay = {300};
    m_timer.expires_after(std::chrono::milliseconds(retryDelay.count));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error)
            self->dial();
    });
}

void EntryLink::connected(FrameLinkPtr link)
{
    m_link = std::move(link);
    m_unanswered = 0;
    // The handlers hold only weak references to this object: the frame link owns its handlers until it is
    // closed, and this object owns the frame link.
    const auto onFrame = [weak = weak_from_this()](std::span<const uint8_t> payload) {
        if (const auto self = weak.lock())
            self->received(payload);
    };
    const auto onClosed = [weak = weak_from_this()](const std::string &why) {
        if (const auto self = weak.lock())
            self->lost(why);
    };
    m_link->start({.onFrame = onFrame, .onClosed = onClosed});
    m_link->send(m_handlers.hello());
}

void EntryLink::received(std::span<const uint8_t> payload)
{
    m_unanswered = 0;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(message, decodeMessage(payload));
            m_handlers.onMessage(*this, *message);
            return {};
        },
        [&](const CodecError &error) { m_link->close(error.detail); },
        [&] { m_link->close("cannot decode a message from the entry"); });
}

void EntryLink::lost(const std::string &why)
{
    logger().info("connection to entry " + m_address.text() + " lost: " + why);
    m_link = nullptr;
    m_handlers.onLost(*this);
    m_entry = {};
    scheduleDial();
}

} // namespace turmericwell
