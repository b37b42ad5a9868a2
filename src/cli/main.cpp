// Command line of turmericwell.
#include "cli/commands.h"

#include <array>
#include <iostream>
#include <span>
#include <string_view>

namespace {

using turmericwell::ExitCode;

struct Command
{
    std::string_view name;
    std::string_view summary;
    ExitCode (*run)(std::span<const std::string> arguments);
};

constexpr std::array commands = {
    Command{"entry", "run an entry: caller interface, ownership of keys, routing",
            turmericwell::entryCommand},
    Command{"agent", "run an agent beside a target", turmericwell::agentCommand},
    Command{"fleet-entry", "run an entry on a platform with a store", turmericwell::fleetEntryCommand},
    Command{"fleet-agent", "run an agent on a platform with a store", turmericwell::fleetAgentCommand},
    Command{"validate", "check a directory of declarations", turmericwell::validateCommand},
    Command{"apply", "publish a directory of declarations", turmericwell::applyCommand},
    Command{"show", "show the configuration in force and the instances", turmericwell::showCommand},
    Command{"explain", "explain what would happen to a job, without submitting it",
            turmericwell::explainCommand},
    Command{"timeline", "merge the events of all processes", turmericwell::timelineCommand},
    Command{"bench", "drive entries with load and measure it", turmericwell::benchCommand},
    Command{"emulate", "play days with faults in virtual time", turmericwell::emulateCommand},
};

void printUsage(std::ostream &out)
{
    out << "usage: turmericwell COMMAND [options]\n\ncommands:\n";
    for (const Command &command : commands)
        out << "  " << command.name << std::string(14 - command.name.size(), ' ') << command.summary << '\n';
    out << "\nturmericwell COMMAND --help describes the options of a command.\n"
           "exit codes: 0 done, 1 failure, 2 bad usage or settings, 3 invalid declarations, 4 conflict,\n"
           "            5 outcome not known, 6 job would be rejected, 7 another entry owns the job\n";
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty()) {
        printUsage(std::cerr);
        return static_cast<int>(ExitCode::BadUsage);
    }
    if (arguments[0] == "--help") {
        printUsage(std::cout);
        return 0;
    }
    if (arguments[0] == "--version") {
        std::cout << "turmericwell " << TW_VERSION << '\n';
        return 0;
    }
    for (const Command &command : commands) {
        if (command.name == arguments[0])
            return static_cast<int>(command.run(std::span(arguments).subspan(1)));
    }
    std::cerr << "unknown command \"" << arguments[0] << "\"\n";
    printUsage(std::cerr);
    return static_cast<int>(ExitCode::BadUsage);
}
