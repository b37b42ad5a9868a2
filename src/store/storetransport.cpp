// Direct and relayed attempts of each call to the store.
#include "store/storetransport.h"

#include <algorithm>

namespace turmericwell {

constexpr size_t directConnections = 24;
// A call without an answer is also relayed through a peer this long before its timeout.
constexpr Millis relayTime = {400};
// Minimum time for the direct attempt before the call is also relayed.
constexpr Millis minRelayDelay = {150};
// While direct calls fail, a direct attempt is made at this interval.
constexpr Millis probeInterval = {300};
constexpr int statusTooMany = 429;
constexpr int statusUnavailable = 503;

struct StoreTransport::Call
{
    HttpRequest request;
    Millis timeout;
    Done onDone;
    uint32_t outstanding = 0;
    bool relayed = false;
    // An attempt without an answer may have been carried out.
    bool uncertain = false;
    HttpResult lastFailure;
};

static bool isUseful(const HttpResult &result)
{
    return result.response && result.response->status != statusUnavailable
        && result.response->status != statusTooMany;
}

StoreTransport::StoreTransport(IoContext &io, const Address &store, StructuredLog &log)
    : m_client(io, store, {.maxConnections = directConnections})
    , m_timers(io)
    , m_log(log)
{ }

void StoreTransport::direct(HttpRequest request, Millis timeout, Done onDone)
{
    m_client.request(std::move(request), timeout,
                     [this, guard = m_timers.guard(), onDone = std::move(onDone)](const HttpResult &result) {
                         if (!guard.expired())
                             recordDirectResult(isUseful(result), result);
                         onDone(result);
                     });
}

void StoreTransport::recordDirectResult(bool works, const HttpResult &result)
{
    if (works != m_directFailing)
        return;
    m_directFailing = !works;
    const int status = result.response ? result.response->status : 0;
    m_log.always(Clock::now(), works ? "store_reached_directly" : "store_not_reached_directly",
                 {{"status", status}, {"error", result.error}});
}

void StoreTransport::request(HttpRequest request, Millis timeout, Done onDone)
{
    auto call = std::make_shared<Call>();
    call->request = std::move(request);
    call->timeout = timeout;
    call->onDone = std::move(onDone);
    const Millis now = Clock::now();
    if (m_directFailing) {
        sendRelayed(call);
        if (call->relayed && now < m_nextProbe)
            return;
        m_nextProbe = now + probeInterval;
    }
    sendDirect(call);
    if (call->relayed)
        return;
    m_timers.after(std::max(minRelayDelay, timeout - relayTime), [this, call] {
        if (call->onDone)
            sendRelayed(call);
    });
}

void StoreTransport::sendDirect(const std::shared_ptr<Call> &call)
{
    ++call->outstanding;
    direct(call->request, call->timeout, [this, call, guard = m_timers.guard()](const HttpResult &result) {
        if (!guard.expired())
            attemptFinished(call, result);
    });
}

void StoreTransport::sendRelayed(const std::shared_ptr<Call> &call)
{
    if (call->relayed || !m_relay)
        return;
    call->relayed = m_relay(call->request, call->timeout,
                            [this, call, guard = m_timers.guard()](const HttpResult &result) {
                                if (!guard.expired())
                                    attemptFinished(call, result);
                            });
    if (call->relayed)
        ++call->outstanding;
}

void StoreTransport::attemptFinished(const std::shared_ptr<Call> &call, const HttpResult &result)
{
    --call->outstanding;
    if (!call->onDone)
        return;
    if (isUseful(result)) {
        std::exchange(call->onDone, {})(result);
        return;
    }
    call->uncertain = call->uncertain || (!result.response && result.sent);
    call->lastFailure = result;
    if (!call->relayed)
        sendRelayed(call);
    if (call->outstanding > 0)
        return;
    // The rejection of one attempt does not show that no other attempt was carried out.
    if (call->uncertain) {
        call->lastFailure.response.reset();
        call->lastFailure.sent = true;
    }
    std::exchange(call->onDone, {})(call->lastFailure);
}

} // namespace turmericwell
