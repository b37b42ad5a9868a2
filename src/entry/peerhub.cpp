// Messages among entries. Of two entries, the one with the higher name dials.
#include "entry/peerhub.h"

#include "observe/log.h"

#include <boost/leaf/handle_errors.hpp>

namespace turmericwell {

namespace leaf = boost::leaf;

static const Logger &logger()
{
    static const Logger instance("peer");
    return instance;
}

PeerHub::PeerHub(IoContext &io, EntryMember self, Dispatcher &dispatcher, Handlers handlers)
    : m_io(io)
    , m_self(std::move(self))
    , m_dispatcher(dispatcher)
    , m_handlers(std::move(handlers))
{ }

void PeerHub::connectTo(const EntryMember &member)
{
    if (member.id.name >= m_self.id.name || isConnected(member.id.name))
        return;
    if (const std::optional<Address> address = Address::parse(member.address))
        dial(*address);
}

void PeerHub::connectToAddress(const Address &address)
{
    if (address.text() == m_self.address)
        return;
    {
        const std::lock_guard lock(m_mutex);
        const auto known = m_nameAt.find(address.text());
        if (known != m_nameAt.end() && (known->second >= m_self.id.name || m_links.contains(known->second)))
            return;
    }
    dial(address);
}

void PeerHub::dial(const Address &address)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_closing || !m_dialling.insert(address.text()).second)
            return;
    }
    constexpr Millis connectTimeout = {1'000};
    dialFrameLink(m_io, address, connectTimeout, [this, address](const FrameLinkPtr &link) {
        if (link) {
            dialled(link, address);
            return;
        }
        const std::lock_guard lock(m_mutex);
        m_dialling.erase(address.text());
    });
}

void PeerHub::dialled(const FrameLinkPtr &link, const Address &address)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_closing)
            return;
        m_dialled[link] = address;
        m_heardAt[link] = Clock::now();
    }
    // The link keeps its handlers until it is closed, so they must not keep the link.
    link->start(
        {.onFrame =
             [this, weak = std::weak_ptr(link)](std::span<const uint8_t> payload) {
                 const FrameLinkPtr link = weak.lock();
                 leaf::try_handle_all(
                     [&]() -> leaf::result<void> {
                         BOOST_LEAF_AUTO(message, decodeMessage(payload));
                         handle(link, *message);
                         return {};
                     },
                     [&](const CodecError &error) { link->close(error.detail); },
                     [&] { link->close("bad message"); });
             },
         .onClosed = [this, weak = std::weak_ptr(link)](const std::string &) { closed(weak.lock()); }});
    link->send(helloFrame());
}

std::vector<uint8_t> PeerHub::helloFrame() const
{
    wire::PeerHelloT hello;
    hello.entry = m_self.id.name;
    hello.incarnation = m_self.id.incarnation;
    hello.zone = m_self.zone;
    hello.address = m_self.address;
    return encodeMessage(std::move(hello));
}

void PeerHub::adopt(const FrameLinkPtr &link, const wire::PeerHelloT &hello)
{
    HelloDecision decision = HelloDecision::Reject;
    FrameLinkPtr replaced;
    {
        const std::lock_guard lock(m_mutex);
        const auto dialledTo = m_dialled.find(link);
        decision = decideHello(m_self.id.name, hello.entry, dialledTo != m_dialled.end());
        if (decision == HelloDecision::Adopt || decision == HelloDecision::AdoptAndAnswer) {
            FrameLinkPtr &known = m_links[hello.entry];
            if (known != link)
                replaced = std::exchange(known, link);
            m_names.erase(replaced);
            m_names[link] = hello.entry;
            m_incarnations[hello.entry] = hello.incarnation;
            m_heardAt[link] = Clock::now();
        }
        if (dialledTo != m_dialled.end())
            m_nameAt[dialledTo->second.text()] = hello.entry;
    }
    if (replaced)
        replaced->close("the entry has connected again");
    if (decision == HelloDecision::AdoptAndAnswer || decision == HelloDecision::RejectAndDial)
        link->send(helloFrame());
    if (decision == HelloDecision::Reject || decision == HelloDecision::RejectAndDial) {
        link->closeAfterWrites();
        if (decision == HelloDecision::RejectAndDial)
            connectTo(
                {.id = {.name = hello.entry, .incarnation = hello.incarnation}, .address = hello.address});
        return;
    }
    logger().info("entry " + hello.entry + " is connected");
}

void PeerHub::closed(const FrameLinkPtr &link)
{
    std::string name;
    std::vector<Reply> lost;
    {
        const std::lock_guard lock(m_mutex);
        for (auto it = m_pending.begin(); it != m_pending.end();) {
            if (it->second.link == link) {
                lost.push_back(std::move(it->second.onAnswer));
                it = m_pending.erase(it);
            } else {
                ++it;
            }
        }
        const auto found = m_names.find(link);
        if (found != m_names.end()) {
            name = found->second;
            m_names.erase(found);
            m_links.erase(name);
            m_incarnations.erase(name);
            m_balances.erase(name);
        }
        const auto dialledTo = m_dialled.find(link);
        if (dialledTo != m_dialled.end()) {
            m_dialling.erase(dialledTo->second.text());
            m_dialled.erase(dialledTo);
        }
        m_heardAt.erase(link);
    }
    if (!name.empty()) {
        logger().info("entry " + name + " is disconnected");
        m_handlers.onGone(name);
    }
    for (const Reply &handler : lost)
        handler(std::nullopt);
}

FrameLinkPtr PeerHub::linkTo(const std::string &peer) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_links.find(peer);
    return found == m_links.end() ? nullptr : found->second;
}

FrameLinkPtr PeerHub::linkTo(const ProcessId &peer) const
{
    const std::lock_guard lock(m_mutex);
    const auto incarnation = m_incarnations.find(peer.name);
    const auto found = m_links.find(peer.name);
    const bool connected = incarnation != m_incarnations.end() && incarnation->second == peer.incarnation;
    return connected && found != m_links.end() ? found->second : nullptr;
}

std::string PeerHub::nameOf(const FrameLinkPtr &link) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_names.find(link);
    return found == m_names.end() ? std::string() : found->second;
}

bool PeerHub::isConnected(const std::string &peer) const
{
    return linkTo(peer) != nullptr;
}

std::vector<std::string> PeerHub::connectedPeers() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> result;
    for (const auto &[name, link] : m_links)
        result.push_back(name);
    return result;
}

// Returns zero if the connection has been closed since it was looked up: closed() would not see the handler.
uint64_t PeerHub::remember(const FrameLinkPtr &link, Reply onAnswer)
{
    const std::lock_guard lock(m_mutex);
    if (!m_names.contains(link))
        return 0;
    const uint64_t id = m_nextRequest++;
    m_pending[id] = {.link = link, .onAnswer = std::move(onAnswer)};
    return id;
}

bool PeerHub::forward(const ProcessId &peer, const SubmissionRequest &request, Reply onAnswer)
{
    const FrameLinkPtr link = linkTo(peer);
    if (!link)
        return false;
    wire::ForwardT forward;
    forward.request_id = remember(link, std::move(onAnswer));
    if (forward.request_id == 0)
        return false;
    forward.submission = toWire(request);
    forward.balance = balanceFor(peer.name);
    link->send(encodeMessage(std::move(forward)));
    return true;
}

bool PeerHub::lookup(const ProcessId &peer, const Fingerprint &key, bool cancel, Reply onAnswer)
{
    const FrameLinkPtr link = linkTo(peer);
    if (!link)
        return false;
    wire::LookupT lookup;
    lookup.request_id = remember(link, std::move(onAnswer));
    if (lookup.request_id == 0)
        return false;
    lookup.key = std::make_unique<wire::Key>(toWire(key));
    lookup.cancel = cancel;
    link->send(encodeMessage(std::move(lookup)));
    return true;
}

void PeerHub::answer(const FrameLinkPtr &link, uint64_t requestId, const Answer &answer)
{
    const std::string peer = nameOf(link);
    if (peer.empty())
        return;
    wire::ForwardAnswerT message;
    message.request_id = requestId;
    message.answer = toWire(answer);
    message.balance = balanceFor(peer);
    link->send(encodeMessage(std::move(message)));
}

void PeerHub::sendHeartbeats()
{
    const wire::PeerPingT ping = m_handlers.status();
    for (const std::string &peer : connectedPeers()) {
        if (const FrameLinkPtr link = linkTo(peer))
            link->send(encodeMessage(wire::PeerPingT(ping)));
    }
}

void PeerHub::closeSilent(Millis now, Millis bound)
{
    std::vector<FrameLinkPtr> silent;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[link, heardAt] : m_heardAt) {
            if (now - heardAt > bound)
                silent.push_back(link);
        }
    }
    for (const FrameLinkPtr &link : silent)
        link->close("no message within the bound");
}

void PeerHub::pullConfig(const std::string &peer, uint64_t version, uint64_t view)
{
    const FrameLinkPtr link = linkTo(peer);
    if (!link)
        return;
    wire::ConfigPullT pull;
    pull.config_version = version;
    pull.view = view;
    link->send(encodeMessage(std::move(pull)));
}

void PeerHub::send(const std::string &peer, std::vector<uint8_t> frame)
{
    if (const FrameLinkPtr link = linkTo(peer))
        link->send(std::move(frame));
}

bool PeerHub::send(const ProcessId &peer, std::vector<uint8_t> frame)
{
    const FrameLinkPtr link = linkTo(peer);
    if (link)
        link->send(std::move(frame));
    return link != nullptr;
}

ProcessId PeerHub::idOf(const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_incarnations.find(name);
    return {.name = name, .incarnation = found == m_incarnations.end() ? 0 : found->second};
}

void PeerHub::handle(const FrameLinkPtr &link, const Message &message)
{
    if (message.body.type == wire::Body::PeerHello) {
        adopt(link, *message.body.AsPeerHello());
        return;
    }
    const std::string peer = nameOf(link);
    if (peer.empty())
        return;
    {
        const std::lock_guard lock(m_mutex);
        m_heardAt[link] = Clock::now();
    }
    switch (message.body.type) {
    case wire::Body::PeerPing: {
        const wire::PeerPingT &ping = *message.body.AsPeerPing();
        {
            const std::lock_guard lock(m_mutex);
            m_balances[peer].report(ping.idle_credits, ping.queued);
        }
        m_handlers.onHeard(peer, ping);
        break;
    }
    case wire::Body::Forward: {
        const wire::ForwardT &forward = *message.body.AsForward();
        if (forward.balance)
            takeBalance(peer, *forward.balance);
        if (forward.submission) {
            m_handlers.onForward(
                fromWire(*forward.submission),
                [this, link, id = forward.request_id](const Answer &result) { answer(link, id, result); });
        }
        break;
    }
    case wire::Body::ForwardAnswer:
        takeForwardAnswer(link, *message.body.AsForwardAnswer());
        break;
    case wire::Body::Lookup: {
        const wire::LookupT &lookup = *message.body.AsLookup();
        if (lookup.key)
            m_handlers.onLookup(
                fromWire(*lookup.key), lookup.cancel,
                [this, link, id = lookup.request_id](const Answer &result) { answer(link, id, result); });
        break;
    }
    case wire::Body::CreditAsk: {
        const wire::CreditAskT &ask = *message.body.AsCreditAsk();
        {
            const std::lock_guard lock(m_mutex);
            m_balances[peer].report(ask.idle_credits, ask.queued);
        }
        wire::CreditTransferT transfer;
        transfer.balance = balanceFor(peer);
        // The peer does not wait for a reply, and one without credits would be of no use.
        if (transfer.balance->transfer.empty())
            break;
        ++m_creditTransfers;
        link->send(encodeMessage(std::move(transfer)));
        break;
    }
    case wire::Body::CreditTransfer:
        if (message.body.AsCreditTransfer()->balance)
            takeBalance(peer, *message.body.AsCreditTransfer()->balance);
        break;
    case wire::Body::Handover:
        m_handlers.onHandover(idOf(peer), *message.body.AsHandover());
        break;
    case wire::Body::ConfigPull:
        m_handlers.onConfigPull(peer, *message.body.AsConfigPull());
        break;
    case wire::Body::ConfigPush:
        m_handlers.onConfigPush(*message.body.AsConfigPush());
        break;
    default:
        logger().warning("entry " + peer + " sent a message that entries do not take from each other");
    }
}

void PeerHub::takeForwardAnswer(const FrameLinkPtr &link, const wire::ForwardAnswerT &message)
{
    if (message.balance)
        takeBalance(nameOf(link), *message.balance);
    Reply handler;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_pending.find(message.request_id);
        if (found == m_pending.end() || found->second.link != link)
            return;
        handler = std::move(found->second.onAnswer);
        m_pending.erase(found);
    }
    handler(message.answer ? std::optional(fromWire(*message.answer)) : std::nullopt);
}

void PeerHub::closeAll()
{
    std::vector<FrameLinkPtr> links;
    {
        const std::lock_guard lock(m_mutex);
        m_closing = true;
        for (const auto &[name, link] : m_links)
            links.push_back(link);
        for (const auto &[link, address] : m_dialled)
            links.push_back(link);
    }
    for (const FrameLinkPtr &link : links)
        link->closeAfterWrites();
}

} // namespace turmericwell
