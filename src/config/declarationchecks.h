// Checks across all declaration files: references between declarations and duplicate names.
#pragma once

#include "config/declarations.h"

#include <span>
#include <string>

namespace turmericwell {

// The declarations of one file. Items have the same index here as in the file's array.
struct ParsedFile
{
    std::string name;
    Declarations declarations;
};

// Returns the declarations of all files. Adds a problem for each duplicate name, each reference to something
// that is not declared, and each value that is inconsistent with another value.
Declarations mergeDeclarations(std::span<const ParsedFile> files, Problems &problems);

} // namespace turmericwell
