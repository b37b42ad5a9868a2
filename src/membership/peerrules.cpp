// Of two entries, the one whose name sorts higher dials.
#include "membership/peerrules.h"

#include <algorithm>

namespace turmericwell {

HelloDecision decideHello(std::string_view self, std::string_view peer, bool dialledBySelf)
{
    if (peer == self)
        return HelloDecision::Reject;
    if (dialledBySelf)
        return self > peer ? HelloDecision::Adopt : HelloDecision::Reject;
    return peer > self ? HelloDecision::AdoptAndAnswer : HelloDecision::RejectAndDial;
}

FailureDetector::FailureDetector(std::string self, FailureOptions options)
    : m_self(std::move(self))
    , m_options(options)
{ }

void FailureDetector::heard(const std::string &peer, Millis now)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end())
        found->second.lastContact = std::max(found->second.lastContact, now);
}

std::vector<ProcessId> FailureDetector::tick(const std::vector<EntryMember> &members, Millis now)
{
    // A pause of this process looks like missing contact with every peer, so the time-outs start again.
    const bool wasPaused = now - m_tickedAt > m_options.pauseThreshold;
    m_tickedAt = now;
    std::map<std::string, Peer> peers;
    std::vector<ProcessId> dead;
    int64_t position = 0;
    int64_t ownPosition = -1;
    for (const EntryMember &member : members) {
        if (member.id.name == m_self)
            ownPosition = position;
        ++position;
    }
    for (const EntryMember &member : members) {
        if (member.id.name == m_self)
            continue;
        const auto known = m_peers.find(member.id.name);
        Peer peer = {.incarnation = member.id.incarnation, .lastContact = now};
        if (!wasPaused && known != m_peers.end() && known->second.incarnation == member.id.incarnation)
            peer = known->second;
        const Millis bound = m_options.peerTimeout + m_options.reportStagger * ownPosition;
        // An entry that is not a member does not report others.
        if (ownPosition >= 0 && now - peer.lastContact > bound
            && now - peer.reportedAt > m_options.repeatInterval) {
            peer.reportedAt = now;
            dead.push_back(member.id);
        }
        peers[member.id.name] = peer;
    }
    m_peers = std::move(peers);
    return dead;
}

} // namespace turmericwell
