// The subcommands of turmericwell.
#pragma once

#include <span>
#include <string>
#include <vector>

namespace turmericwell {

enum class ExitCode : unsigned char {
    Done = 0,
    Failure = 1,
    BadUsage = 2,
    InvalidDeclarations = 3,
    Conflict = 4,
    OutcomeNotKnown = 5,
    WouldBeRejected = 6,
    OtherOwner = 7,
};

ExitCode entryCommand(std::span<const std::string> arguments);
ExitCode agentCommand(std::span<const std::string> arguments);
ExitCode fleetEntryCommand(std::span<const std::string> arguments);
ExitCode fleetAgentCommand(std::span<const std::string> arguments);
ExitCode validateCommand(std::span<const std::string> arguments);
ExitCode applyCommand(std::span<const std::string> arguments);
ExitCode showCommand(std::span<const std::string> arguments);
ExitCode explainCommand(std::span<const std::string> arguments);
ExitCode timelineCommand(std::span<const std::string> arguments);
ExitCode benchCommand(std::span<const std::string> arguments);
ExitCode emulateCommand(std::span<const std::string> arguments);

} // namespace turmericwell
