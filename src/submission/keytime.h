// Creation time that an idempotency key may contain.
#pragma once

#include "turmericwell/millis.h"

#include <optional>
#include <string_view>

namespace turmericwell {

// Returns the creation time in a UUIDv7 or in a key that starts with a 13-digit Unix time in ms and '-'.
// Empty for any other key.
std::optional<Millis> creationTimeOfKey(std::string_view key);

} // namespace turmericwell
