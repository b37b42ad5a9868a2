// Subcommand validate: checks a directory of declarations.
#include "cli/options.h"

#include <iostream>

namespace turmericwell {

namespace json = boost::json;
namespace options = boost::program_options;

static void printAll(const Problems &problems, std::string_view format)
{
    if (format != "json") {
        printProblems(problems);
        std::cerr << problems.size() << (problems.size() == 1 ? " problem" : " problems")
                  << "; the declarations are not valid\n";
        return;
    }
    json::array list;
    for (const Problem &problem : problems)
        list.push_back(
            json::object{{"file", problem.file}, {"key", problem.key}, {"reason", problem.reason}});
    std::cout << json::serialize(json::object{{"outcome", "invalid"}, {"problems", std::move(list)}}) << '\n';
}

LoadedDeclarations loadDeclarations(const std::string &directory, std::string_view format)
{
    LoadedDeclarations result;
    Problems problems;
    const std::vector<DeclarationFile> files = readDeclarationFiles(directory, problems);
    result.declarations = parseDeclarations(files, problems);
    if (!problems.empty()) {
        printAll(problems, format);
        result.exit = ExitCode::InvalidDeclarations;
    }
    return result;
}

ExitCode validateCommand(std::span<const std::string> arguments)
{
    std::string directory;
    std::string format;
    options::options_description description("options");
    description.add_options()("DIR", options::value(&directory)->required(),
                              "directory of declaration files (*.json)")(
        "format", options::value(&format)->default_value("text"), "text or json");
    const CommandLine line = parseCommandLine(
        arguments, "validate", description, "DIR",
        "Exit codes: 0 valid, 2 bad usage, 3 invalid declarations (all problems are printed).\n");
    if (line.exit)
        return *line.exit;
    if (!isFormat(format)) {
        std::cerr << "turmericwell validate: --format must be text or json\n";
        return ExitCode::BadUsage;
    }
    const LoadedDeclarations loaded = loadDeclarations(directory, format);
    if (loaded.exit)
        return *loaded.exit;
    const Declarations &all = loaded.declarations;
    if (format == "json")
        std::cout << json::serialize(json::object{{"outcome", "valid"}, {"declarations", toJson(all)}})
                  << '\n';
    else
        std::cout << "valid: " << all.zones.size() << " zones, " << all.services.size() << " services, "
                  << all.teams.size() << " teams, " << all.targetGroups.size() << " target groups, "
                  << all.jobClasses.size() << " job classes\n";
    return ExitCode::Done;
}

} // namespace turmericwell
