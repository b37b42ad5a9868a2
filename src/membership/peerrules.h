// Rules on which entry dials which, and on when a silent entry counts as dead.
#pragma once

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

} // namespace turmericwell
