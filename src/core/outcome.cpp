// Names of outcomes.
#include "turmericwell/outcome.h"

namespace turmericwell {

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Complete:
        return "complete";
    case Outcome::Failed:
        return "failed";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace turmericwell
