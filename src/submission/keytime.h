// Creation time that an idempotency key may carry.
#pragma once

#include "turmericwell/millis.h"

#include <optional>
#include <string_view>

namespace turmericwell {

// Reads a UUIDv7, or a 13-digit Unix time in ms followed by '-'. Empty for any other key.
std::optional<Millis> creationTimeOfKey(std::string_view key);

} // namespace turmericwell
