// Rules for which of two entries opens the connection and when an unresponsive entry is reported as dead.
#pragma once

#include "membership/roster.h"
#include "turmericwell/millis.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

enum class HelloDecision : uint8_t {
    // This entry dialled and the peer answered: use the connection.
    Adopt,
    // The peer dialled: use the connection and answer with this entry's hello.
    AdoptAndAnswer,
    // The peer dialled, but this entry has to dial: answer, close the connection and dial the peer.
    RejectAndDial,
    // This entry dialled itself, or a peer that has to dial: close the connection and do not dial again.
    Reject,
};

// Exactly one side of each pair dials, so that both sides use the same connection. If both could dial, each
// could close the connection that the other uses, and the messages sent on it would be lost.
HelloDecision decideHello(std::string_view self, std::string_view peer, bool dialledBySelf);

struct FailureOptions
{
    // A member without contact for this long is reported as dead.
    Millis peerTimeout = {2'000};
    // Additional delay per position in the roster before a member reports. Usually only one leave is
    // appended, and of two members that have no contact with each other, one reads its own leave before it
    // reports the other.
    Millis reportStagger = {500};
    // Interval at which a report is repeated until the roster reflects it.
    Millis repeatInterval = {2'000};
    // A longer time between two ticks means that this process was paused; ticks are far more frequent.
    Millis pauseThreshold = {1'000};
};

// Detects members that have to be reported as dead. Not thread-safe.
class FailureDetector
{
public:
    FailureDetector(std::string self, FailureOptions options);

    void heard(const std::string &peer, Millis now);
    // Returns the members for which a leave is to be appended now.
    std::vector<ProcessId> tick(const std::vector<EntryMember> &members, Millis now);

private:
    struct Peer
    {
        uint64_t incarnation = 0;
        Millis lastContact;
        Millis reportedAt = {INT64_MIN / 4};
    };

    const std::string m_self;
    const FailureOptions m_options;
    std::map<std::string, Peer> m_peers;
    Millis m_tickedAt = {INT64_MIN / 4};
};

} // namespace turmericwell
