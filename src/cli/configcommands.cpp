// Subcommands for the configuration: validate, apply and show.
#include "cli/options.h"
#include "config/configstate.h"
#include "net/http.h"
#include "platform/logclient.h"

#include <iostream>

namespace turmericwell {

namespace options = boost::program_options;

namespace {

struct LoadedDeclarations
{
    Declarations declarations;
    std::optional<ExitCode> exit;
};

LoadedDeclarations loadDeclarations(const std::string &directory)
{
    LoadedDeclarations result;
    Problems problems;
    const std::vector<DeclarationFile> files = readDeclarationFiles(directory, problems);
    result.declarations = parseDeclarations(files, problems);
    if (!problems.empty()) {
        printProblems(problems);
        result.exit = ExitCode::InvalidDeclarations;
    }
    return result;
}

// Reads the config stream to its end.
bool readConfig(IoContext &io, LogClient &log, ConfigState &state)
{
    constexpr size_t batch = 500;
    constexpr Millis timeout = {5'000};
    uint64_t next = state.nextOffset();
    while (true) {
        std::optional<ReadResult> result;
        log.read(stream::config, next, batch, {0}, timeout,
                 [&](ReadResult read) { result = std::move(read); });
        io.restart();
        io.run();
        if (!result || result->status == ReadStatus::Failed)
            return false;
        if (result->status == ReadStatus::Expired) {
            state.expiredBefore(result->oldest);
            next = result->oldest;
            continue;
        }
        for (const LogRecord &record : result->records)
            state.apply(record.offset, record.data);
        next = result->next;
        if (result->records.empty())
            return true;
    }
}

} // namespace

ExitCode validateCommand(std::span<const std::string> arguments)
{
    std::string directory;
    options::options_description description("options");
    description.add_options()("DIR", options::value(&directory)->required(),
                              "directory of declaration files");
    const CommandLine line = parseCommandLine(arguments, "validate", description, "DIR");
    if (line.exit)
        return *line.exit;
    const LoadedDeclarations loaded = loadDeclarations(directory);
    if (loaded.exit)
        return *loaded.exit;
    std::cout << "valid: " << loaded.declarations.zones.size() << " zones, "
              << loaded.declarations.services.size() << " services, " << loaded.declarations.teams.size()
              << " teams\n";
    return ExitCode::Done;
}

ExitCode applyCommand(std::span<const std::string> arguments)
{
    std::string directory;
    std::string logAddress;
    std::string author;
    options::options_description description("options");
    description.add_options()("DIR", options::value(&directory)->required(),
                              "directory of declaration files")(
        "log", options::value(&logAddress)->required(), "IP address and port of the log service")(
        "author", options::value(&author)->default_value("operator"), "who makes the change");
    const CommandLine line = parseCommandLine(arguments, "apply", description, "DIR");
    if (line.exit)
        return *line.exit;
    const std::optional<Address> address = Address::parse(logAddress);
    if (!address) {
        std::cerr << "--log must be IP:PORT\n";
        return ExitCode::BadUsage;
    }
    const LoadedDeclarations loaded = loadDeclarations(directory);
    if (loaded.exit)
        return *loaded.exit;
    IoContext io;
    LogClient log(io, *address);
    ConfigState state;
    if (!readConfig(io, log, state)) {
        std::cerr << "the log cannot be read; nothing was applied\n";
        return ExitCode::Failure;
    }
    const ChangeRecord change = makeChangeRecord(state.version(), author, loaded.declarations);
    log.append(stream::config, change.text, {5'000}, [](const AppendResult &) {});
    io.restart();
    io.run();
    if (!readConfig(io, log, state)) {
        std::cerr << "the log cannot be read; the outcome of change " << change.id << " is not known\n";
        return ExitCode::OutcomeNotKnown;
    }
    if (state.current()->changeId != change.id) {
        std::cerr << "conflict: " << state.current()->author << " made version " << state.version()
                  << " first\n";
        return ExitCode::Conflict;
    }
    std::cout << "version " << state.version() << " is in force\n";
    return ExitCode::Done;
}

ExitCode showCommand(std::span<const std::string> arguments)
{
    std::vector<std::string> entries;
    options::options_description description("options");
    description.add_options()("entry", options::value(&entries)->required()->composing(),
                              "IP address and port of an entry's HTTP interface; may be repeated");
    const CommandLine line = parseCommandLine(arguments, "show", description);
    if (line.exit)
        return *line.exit;
    ExitCode exit = ExitCode::Done;
    for (const std::string &entry : entries) {
        const std::optional<Address> address = Address::parse(entry);
        if (!address) {
            std::cerr << "--entry must be IP:PORT\n";
            return ExitCode::BadUsage;
        }
        IoContext io;
        HttpClient http(io, *address);
        http.request({.method = "GET", .path = "/v1/show"}, {3'000}, [&](const HttpResult &result) {
            if (result.response) {
                std::cout << result.response->body << '\n';
            } else {
                std::cerr << entry << ": " << result.error << '\n';
                exit = ExitCode::Failure;
            }
        });
        io.run();
    }
    return exit;
}

} // namespace turmericwell
