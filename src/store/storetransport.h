// The way of an entry's calls to the store: directly, or by way of another entry.
//
// The store can turn away or lose touch with single instances while it serves the others. A call that fails
// directly, or is not answered soon, is sent through a peer as well; the first useful answer counts. All
// calls are idempotent: reads, joins, and appends that carry a sequence number or whose repetition does no
// harm.
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
    // Sends the call through a peer; false if there is none that reaches the store.
    using Relay = std::function<bool(const HttpRequest &request, Millis timeout, Done onDone)>;

    StoreTransport(IoContext &io, const Address &store, StructuredLog &log);

    void setRelay(Relay relay) { m_relay = std::move(relay); }
    void request(HttpRequest request, Millis timeout, Done onDone);
    // For peers, whose calls are not sent on to a third process.
    void direct(HttpRequest request, Millis timeout, Done onDone);
    bool isDirectFailing() const { return m_directFailing; }

private:
    struct Call;

    void sendDirect(const std::shared_ptr<Call> &call);
    void sendRelayed(const std::shared_ptr<Call> &call);
    void finished(const std::shared_ptr<Call> &call, const HttpResult &result);
    void noteDirect(bool works, const HttpResult &result);

    HttpClient m_client;
    Timers m_timers;
    StructuredLog &m_log;
    Relay m_relay;
    bool m_directFailing = false;
    Millis m_nextProbe;
};

} // namespace turmericwell
