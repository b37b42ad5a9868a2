// Deployments and traffic that can be emulated by name.
#pragma once

#include "emulator/emulation.h"

#include <optional>
#include <string_view>

namespace turmericwell {

// The name of one of the deployments in examples/: "himal" or "qalhat". Nothing for others.
std::optional<EmulationOptions> emulatedSite(std::string_view name);

} // namespace turmericwell
