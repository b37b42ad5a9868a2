// One listening address of the proxy and the connections through it.
#pragma once

#include "net/address.h"
#include "net/framelink.h"
#include "standin/faultset.h"
#include "standin/frametracker.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace turmericwell {

struct ProxyLinkSettings
{
    std::string name;
    Address listen;
    Address to;
    // With frames, the first one names the process that dialled.
    StreamKind stream = StreamKind::Opaque;
};

class ProxyConnection;

// Runs on a context with one thread.
class ProxyLink
{
public:
    ProxyLink(IoContext &io, ProxyLinkSettings settings, FaultSet &faults);
    ~ProxyLink();

    // Applies resets to idle connections and lets held bytes go on; called regularly.
    void tick();
    const std::string &name() const { return m_settings.name; }
    size_t connections() const { return m_connections.size(); }
    uint64_t bytes() const { return m_bytes; }

private:
    friend class ProxyConnection;
    void accept();

    IoContext &m_io;
    ProxyLinkSettings m_settings;
    FaultSet &m_faults;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<ProxyConnection>> m_connections;
    uint64_t m_bytes = 0;
};

} // namespace turmericwell
