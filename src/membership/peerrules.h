// Rules on which entry dials which, and on when a silent entry counts as dead.
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
    // This entry dialled and the peer answered.
    Adopt,
    // The peer dialled; answer with this entry's own hello.
    AdoptAndAnswer,
    // The peer dialled but this entry is the one that dials: answer, close, and dial the peer's address.
    RefuseAndDial,
    // This entry dialled a peer that is the one that dials, or itself: close and do not dial again.
    Refuse,
};

// Both sides must keep the same connection. If either side could dial, each could close the connection that
// the other one keeps, and messages on the remaining half would be lost.
HelloDecision decideHello(std::string_view self, std::string_view peer, bool dialledBySelf);

struct FailureOptions
{
    // A member that was not heard for this long is reported as dead.
    Millis peerTimeout = {2'000};
    // Wait of each further member before it reports, so that usually one leave is appended, and of two
    // members that do not hear each other one reads its own leave before it reports the other.
    Millis reportStep = {500};
    // A report is repeated while it has not shown up in the roster.
    Millis repeat = {2'000};
    // Ticks come far more often than this: a longer gap means that this process was paused.
    Millis pause = {1'000};
};

// Finds the members that are dead. Not thread-safe.
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
        Millis heardAt;
        Millis reportedAt = {INT64_MIN / 4};
    };

    const std::string m_self;
    const FailureOptions m_options;
    std::map<std::string, Peer> m_peers;
    Millis m_tickedAt = {INT64_MIN / 4};
};

} // namespace turmericwell
