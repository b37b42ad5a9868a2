// State that the connections of an HTTP server share: which of them are closed to make room for others.
#include "net/httpsession.h"

#include <algorithm>
#include <poll.h>

namespace turmericwell {

namespace asio = boost::asio;

constexpr int64_t evictionIntervalMs = 100;
// POLLRDHUP: the other side sends no more. POLLHUP, POLLERR: it takes nothing either.
constexpr short peerEndEvents = POLLRDHUP | POLLHUP | POLLERR;

void HttpServerShared::rejected(std::string_view limit, const asio::ip::address &client) const
{
    if (options.onRejected)
        options.onRejected(limit, client.to_string());
}

size_t HttpServerShared::connectionCount()
{
    const std::lock_guard lock(mutex);
    return sessions.size();
}

size_t HttpServerShared::connectionsOf(const asio::ip::address &client)
{
    const std::lock_guard lock(mutex);
    const auto found = connectionsByClient.find(client);
    return found == connectionsByClient.end() ? 0 : found->second;
}

std::vector<std::shared_ptr<HttpSession>> HttpServerShared::openSessions()
{
    std::vector<std::shared_ptr<HttpSession>> open;
    const std::lock_guard lock(mutex);
    open.reserve(sessions.size());
    for (HttpSession *session : sessions) {
        if (std::shared_ptr<HttpSession> alive = session->weak_from_this().lock())
            open.push_back(std::move(alive));
    }
    return open;
}

void HttpServerShared::updatePeers(std::span<const std::shared_ptr<HttpSession>> sessions)
{
    std::vector<pollfd> polled;
    polled.reserve(sessions.size());
    for (const std::shared_ptr<HttpSession> &session : sessions)
        polled.push_back({.fd = session->handle(), .events = POLLRDHUP, .revents = 0});
    if (polled.empty() || ::poll(polled.data(), polled.size(), 0) <= 0)
        return;
    for (size_t i = 0; i < polled.size(); ++i)
        sessions[i]->setPeerEnded((polled[i].revents & peerEndEvents) != 0);
}

bool HttpServerShared::evictConnections(size_t most)
{
    std::vector<std::pair<int64_t, std::shared_ptr<HttpSession>>> ranked;
    std::vector<std::shared_ptr<HttpSession>> open = openSessions();
    updatePeers(open);
    for (std::shared_ptr<HttpSession> &session : open) {
        if (const std::optional<int64_t> rank = session->evictionRank())
            ranked.emplace_back(*rank, std::move(session));
    }
    const size_t count = std::min(most, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(count), ranked.end());
    for (size_t i = 0; i < count; ++i)
        ranked[i].second->evict();
    return count > 0;
}

void HttpServerShared::evictHolders(int64_t nowMs)
{
    if (nowMs < m_nextEvictionMs)
        return;
    m_nextEvictionMs = nowMs + evictionIntervalMs;
    for (const std::shared_ptr<HttpSession> &session : openSessions()) {
        if (session->holdsIncompleteRequest(nowMs))
            session->evict();
    }
}

} // namespace turmericwell
