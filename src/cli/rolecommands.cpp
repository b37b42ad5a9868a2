// Subcommands that run a process: entry and agent.
#include "agentd/runagent.h"
#include "cli/options.h"
#include "entry/runentry.h"
#include "observe/log.h"

#include <iostream>

namespace turmericwell {

namespace options = boost::program_options;

namespace {

struct RoleOptions
{
    std::string settingsFile;
    std::string settingsText;
    std::optional<ExitCode> exit;
};

RoleOptions parseRoleOptions(std::span<const std::string> arguments, std::string_view name)
{
    RoleOptions result;
    std::string level;
    options::options_description description("options");
    description.add_options()("settings", options::value(&result.settingsFile)->required(),
                              "JSON settings file")(
        "log-level", options::value(&level)->default_value("info"), "debug, info, warning or error");
    const CommandLine line = parseCommandLine(arguments, name, description);
    result.exit = line.exit;
    if (result.exit)
        return result;
    static constexpr std::array<std::string_view, 4> levels = {"debug", "info", "warning", "error"};
    const auto *const found = std::find(levels.begin(), levels.end(), level);
    if (found == levels.end()) {
        std::cerr << "turmericwell " << name << ": --log-level must be debug, info, warning or error\n";
        result.exit = ExitCode::BadUsage;
        return result;
    }
    initLogging(static_cast<LogLevel>(found - levels.begin()));
    const std::optional<std::string> text = readFile(result.settingsFile);
    if (!text) {
        std::cerr << result.settingsFile << ": cannot be read\n";
        result.exit = ExitCode::BadUsage;
        return result;
    }
    result.settingsText = *text;
    return result;
}

} // namespace

ExitCode entryCommand(std::span<const std::string> arguments)
{
    const RoleOptions role = parseRoleOptions(arguments, "entry");
    if (role.exit)
        return *role.exit;
    Problems problems;
    const EntrySettings settings = parseEntrySettings(role.settingsFile, role.settingsText, problems);
    if (!problems.empty()) {
        printProblems(problems);
        return ExitCode::BadUsage;
    }
    return static_cast<ExitCode>(runEntry(settings));
}

ExitCode agentCommand(std::span<const std::string> arguments)
{
    const RoleOptions role = parseRoleOptions(arguments, "agent");
    if (role.exit)
        return *role.exit;
    Problems problems;
    const AgentSettings settings = parseAgentSettings(role.settingsFile, role.settingsText, problems);
    if (!problems.empty()) {
        printProblems(problems);
        return ExitCode::BadUsage;
    }
    return static_cast<ExitCode>(runAgent(settings));
}

} // namespace turmericwell
