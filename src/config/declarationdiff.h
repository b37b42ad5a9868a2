// Differences between two versions of the declarations, as text lines for operators.
#pragma once

#include "config/declarations.h"

#include <string>
#include <vector>

namespace turmericwell {

// Returns one line for each added item ("+"), removed item ("-") and changed value ("~").
std::vector<std::string> diffDeclarations(const Declarations &before, const Declarations &after);

} // namespace turmericwell
