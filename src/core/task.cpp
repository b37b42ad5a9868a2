// Text format of task references.
#include "turmericwell/task.h"

namespace turmericwell {

std::string TaskRef::text() const
{
    std::string result = submission.hex() + "-" + std::to_string(index);
    if (attempt > 0)
        result += "." + std::to_string(attempt);
    return result;
}

} // namespace turmericwell
