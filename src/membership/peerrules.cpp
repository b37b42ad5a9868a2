// Of two entries, the one with the higher name dials.
#include "membership/peerrules.h"

namespace turmericwell {

HelloDecision decideHello(std::string_view self, std::string_view peer, bool dialledBySelf)
{
    if (peer == self)
        return HelloDecision::Refuse;
    if (dialledBySelf)
        return self > peer ? HelloDecision::Adopt : HelloDecision::Refuse;
    return peer > self ? HelloDecision::AdoptAndAnswer : HelloDecision::RefuseAndDial;
}

} // namespace turmericwell
