// Transport of an entry's calls to the store: directly, or relayed by another entry.
//
// The store can reject or lose the connection to single instances while it serves the others. A direct call
// that fails or is not answered in time is also relayed through a peer; the first useful answer is used. All
// calls are idempotent: reads, joins, and appends that carry a sequence number or whose repetition is
// harmless.
#pragma once

#include "net/http.h"
#include "net/timers.h"
#include "observe/structuredlog.h"

#include <functional>
#include <memory>

namespace turmericwell {

class StoreTransport
{
public:
    using Done = std::function<void(HttpResult)>;
    // Sends the call through a peer; returns false if no peer can reach the store.
    using Relay = std::function<bool(const HttpRequest &request, Millis timeout, Done onDone)>;

    StoreTransport(IoContext &io, const Address &store, StructuredLog &log);

    void setRelay(Relay relay) { m_relay = std::move(relay); }
    void request(HttpRequest request, Millis timeout, Done onDone);
    // Sends a call on behalf of a peer; it is not relayed to a third process.
    void direct(HttpRequest request, Millis timeout, Done onDone);
    bool isDirectFailing() const { return m_directFailing; }

private:
    struct Call;

    void sendDirect(const std::shared_ptr<Call> &call);
    void sendRelayed(const std::shared_ptr<Call> &call);
    void attemptFinished(const std::shared_ptr<Call> &call, const HttpResult &result);
    void recordDirectResult(bool works, const HttpResult &result);

    HttpClient m_client;
    Timers m_timers;
    StructuredLog &m_log;
    Relay m_relay;
    bool m_directFailing = false;
    Millis m_nextProbe;
};

} // namespace turmericwell
