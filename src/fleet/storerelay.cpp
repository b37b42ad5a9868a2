// Relays store calls between entries: one entry performs a call on behalf of another that cannot reach the
// store.
#include "fleet/entrynode.h"

namespace turmericwell {

static constexpr const char *contentType = "content-type";

bool EntryNode::relayStoreCall(const HttpRequest &request, Millis timeout, StoreTransport::Done onDone)
{
    std::vector<NodeLinkPtr> relays;
    for (const auto &[name, peer] : m_peers) {
        if (peer.report.store_reachable)
            relays.push_back(peer.link);
    }
    if (relays.empty())
        return false;
    const uint64_t number = m_nextStoreRelay++;
    // In turn, so that the calls of many entries that lost the store do not all go through the same one.
    const NodeLinkPtr link = relays[number % relays.size()];
    m_storeRelays[number] = std::move(onDone);
    fleet::StoreRelayT message;
    message.call = number;
    message.method = request.method;
    message.target = request.path;
    if (const auto header = request.headers.find(contentType); header != request.headers.end())
        message.content_type = header->second;
    message.body.assign(request.body.begin(), request.body.end());
    message.timeout_ms = timeout.count;
    link->send(std::move(message));
    m_timers.after(timeout, [this, number] {
        if (auto call = m_storeRelays.extract(number))
            call.mapped()({.error = "relaying entry did not answer within the timeout", .sent = true});
    });
    return true;
}

void EntryNode::performStoreRelay(const NodeLinkPtr &link, fleet::StoreRelayT &message)
{
    HttpRequest request{.method = std::move(message.method), .path = std::move(message.target)};
    request.body.assign(message.body.begin(), message.body.end());
    request.headers[contentType] = std::move(message.content_type);
    m_transport.direct(std::move(request), {message.timeout_ms},
                       [weak = std::weak_ptr(link), number = message.call](const HttpResult &result) {
                           const NodeLinkPtr peer = weak.lock();
                           if (!peer)
                               return;
                           fleet::StoreRelayAnswerT answer;
                           answer.call = number;
                           answer.sent = result.sent;
                           if (result.response) {
                               answer.status = static_cast<uint32_t>(result.response->status);
                               answer.body.assign(result.response->body.begin(), result.response->body.end());
                           }
                           peer->send(std::move(answer));
                       });
}

void EntryNode::storeRelayAnswered(fleet::StoreRelayAnswerT &message)
{
    auto call = m_storeRelays.extract(message.call);
    if (!call)
        return;
    HttpResult result{.sent = message.sent};
    if (message.status != 0) {
        result.response.emplace();
        result.response->status = static_cast<int>(message.status);
        result.response->body.assign(message.body.begin(), message.body.end());
    } else {
        result.error = "relaying entry received no answer from the store";
    }
    call.mapped()(std::move(result));
}

} // namespace turmericwell
