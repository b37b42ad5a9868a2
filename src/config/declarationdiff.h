// What differs between two versions of the declarations, in lines for operators.
#pragma once

#include "config/declarations.h"

#include <string>
#include <vector>

namespace turmericwell {

// One line for each item that is added ("+"), removed ("-") or has another value ("~").
std::vector<std::string> diffDeclarations(const Declarations &before, const Declarations &after);

} // namespace turmericwell
