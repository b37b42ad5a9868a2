// Subcommands that run a process on a platform with a store.
#include "cli/options.h"
#include "observe/log.h"
#include "platform/roles.h"

#include <cstdlib>
#include <iostream>

namespace turmericwell {

namespace options = boost::program_options;

static constexpr const char *settingsVariable = "TURMERICWELL_CONFIG";

namespace {

using ParseSettings = FleetSettings (*)(const std::string &file, std::string_view text, Problems &problems);
using RunRole = int (*)(const FleetSettings &settings);

} // namespace

static ExitCode runFleetRole(std::span<const std::string> arguments, std::string_view name,
                             ParseSettings parse, RunRole run)
{
    std::string file;
    if (const char *fromEnvironment = std::getenv(settingsVariable))
        file = fromEnvironment;
    options::options_description description("options");
    description.add_options()("settings", options::value(&file),
                              "JSON settings file; TURMERICWELL_CONFIG names it otherwise");
    const CommandLine line = parseCommandLine(arguments, name, description);
    if (line.exit)
        return *line.exit;
    if (file.empty()) {
        std::cerr << "turmericwell " << name << ": --settings is missing\n";
        return ExitCode::BadUsage;
    }
    const std::optional<std::string> text = readFile(file);
    if (!text) {
        std::cerr << file << ": cannot be read\n";
        return ExitCode::BadUsage;
    }
    Problems problems;
    const FleetSettings settings = parse(file, *text, problems);
    if (!problems.empty()) {
        printProblems(problems);
        return ExitCode::BadUsage;
    }
    initLogging(LogLevel::Warning);
    return static_cast<ExitCode>(run(settings));
}

ExitCode fleetEntryCommand(std::span<const std::string> arguments)
{
    return runFleetRole(arguments, "fleet-entry", parseFleetEntrySettings, platform::runEntryRole);
}

ExitCode fleetAgentCommand(std::span<const std::string> arguments)
{
    return runFleetRole(arguments, "fleet-agent", parseFleetAgentSettings, platform::runAgentRole);
}

} // namespace turmericwell
