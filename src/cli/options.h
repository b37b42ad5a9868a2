// Option parsing that all subcommands share.
#pragma once

#include "cli/commands.h"
#include "config/declarations.h"

#include <boost/program_options.hpp>
#include <optional>
#include <span>
#include <string>

namespace turmericwell {

struct CommandLine
{
    boost::program_options::variables_map values;
    // Set if the command ends here: help or version was printed, or the usage was bad.
    std::optional<ExitCode> exit;
};

// Adds --help and --version. `positional` names the option that takes the arguments without a dash, or is
// empty. The help ends with `notes`.
CommandLine parseCommandLine(std::span<const std::string> arguments, std::string_view name,
                             boost::program_options::options_description description,
                             const char *positional = "", std::string_view notes = "");
bool isFormat(std::string_view text);

// Reads a whole file; empty if it cannot be read.
std::optional<std::string> readFile(const std::string &path);
// Reads all *.json files of a directory in the order of their names. A directory that cannot be read, or has
// none, is a problem.
std::vector<DeclarationFile> readDeclarationFiles(const std::string &directory, Problems &problems);
void printProblems(const Problems &problems);

struct LoadedDeclarations
{
    Declarations declarations;
    // Set if the declarations are not valid; all problems were printed.
    std::optional<ExitCode> exit;
};
LoadedDeclarations loadDeclarations(const std::string &directory, std::string_view format);

} // namespace turmericwell
