// Connections between the processes of an emulation: latency, order of frames, cuts and lost processes.
//
// A connection behaves like TCP. Frames arrive in order; a cut holds them back until it heals; a process that
// is killed resets its connections, one that loses power does not.
#pragma once

#include "net/eventqueue.h"
#include "net/framelink.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace turmericwell {

// Names one process of an emulation over all its lives.
using HostNumber = uint32_t;

class EmulatedLink;

struct EmulatedNetworkOptions
{
    uint64_t seed = 1;
    // One way, each frame draws a delay between the two.
    Millis leastDelay = {0};
    Millis mostDelay = {2};
};

class EmulatedNetwork
{
public:
    EmulatedNetwork(EmulatedNetworkOptions options, EventQueue &events);
    ~EmulatedNetwork();

    // Address of the host's processes.
    static Address addressOf(HostNumber host);
    // A process starts on the host and runs its calls on this context.
    void up(HostNumber host, IoContext &io);
    // The process is gone. Its peers see a reset, or nothing.
    void down(HostNumber host, bool resetsConnections);
    bool isUp(HostNumber host) const { return m_hosts.contains(host); }
    // Nothing passes from one host to the other until the given time.
    void cut(HostNumber from, HostNumber to, Millis until);
    bool isCut(HostNumber from, HostNumber to) const;
    // Names the process that now lives on the host; 0 if there is none.
    uint64_t lifeOf(HostNumber host) const;
    // Runs a call in the process of this life; dropped if it is gone.
    void postTo(HostNumber host, uint64_t life, std::function<void()> call);
    Millis drawDelay();
    // Number of frames that all processes have sent.
    uint64_t frames() const { return m_frames; }

    // The network as one process sees it.
    std::unique_ptr<LinkNetwork> networkOf(HostNumber host);

private:
    friend class EmulatedLink;
    friend class HostNetwork;

    struct Host
    {
        IoContext *io = nullptr;
        // Tells the processes of one host apart.
        uint64_t life = 0;
        // Null unless the process listens.
        LinkNetwork::OnLink onAccept;
        std::vector<std::weak_ptr<EmulatedLink>> links;
    };

    void listen(HostNumber host, LinkNetwork::OnLink onAccept);
    void dial(HostNumber from, HostNumber to, Millis timeout, LinkNetwork::OnLink onDone);
    void connect(HostNumber from, HostNumber to, const LinkNetwork::OnLink &onDone);
    Millis cutUntil(HostNumber from, HostNumber to) const;

    const EmulatedNetworkOptions m_options;
    EventQueue &m_events;
    std::mt19937_64 m_random;
    std::map<HostNumber, Host> m_hosts;
    std::map<std::pair<HostNumber, HostNumber>, Millis> m_cuts;
    uint64_t m_lives = 0;
    uint64_t m_frames = 0;
};

} // namespace turmericwell
