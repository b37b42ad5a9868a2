// Declaration files from operators: any text must give declarations or problems. Accepted declarations must
// survive the canonical form unchanged, since that form is what all processes read from the log.
#include "config/declarations.h"

#include <boost/json.hpp>
#include <cstdlib>

using namespace turmericwell;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const DeclarationFile file{.name = "fuzz.json", .text = text};
    Problems problems;
    const Declarations declarations = parseDeclarations({&file, 1}, problems);
    if (!problems.empty())
        return 0;
    const boost::json::value canonical = toJson(declarations);
    Problems readProblems;
    const Declarations again = declarationsFromJson(canonical, readProblems);
    if (!readProblems.empty() || boost::json::serialize(toJson(again)) != boost::json::serialize(canonical))
        std::abort();
    return 0;
}
