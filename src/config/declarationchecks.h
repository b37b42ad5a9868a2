// Checks that need all declaration files: references between declarations and names that are used twice.
#pragma once

#include "config/declarations.h"

#include <span>
#include <string>

namespace turmericwell {

// The declarations of one file. The position of an item is its position in the file's array.
struct ParsedFile
{
    std::string name;
    Declarations declarations;
};

// Returns the declarations of all files, and adds a problem for each name that stands twice, each reference
// without a declaration, and each value that contradicts another one.
Declarations mergeDeclarations(std::span<const ParsedFile> files, Problems &problems);

} // namespace turmericwell
