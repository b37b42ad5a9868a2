// Subcommand timeline: merges the events of all processes.
#include "cli/options.h"
#include "net/http.h"
#include "observe/eventlog.h"

#include <algorithm>
#include <iostream>
#include <sstream>

namespace turmericwell {

namespace options = boost::program_options;

static bool readEvents(const Address &address, std::vector<Event> &events)
{
    bool done = false;
    IoContext io;
    HttpClient http(io, address);
    http.request({.method = "GET", .path = "/v1/events"}, {5'000}, [&](const HttpResult &result) {
        if (!result.response)
            return;
        done = true;
        std::istringstream lines(result.response->body);
        std::string line;
        while (std::getline(lines, line)) {
            if (std::optional<Event> event = eventFromJson(line))
                events.push_back(std::move(*event));
        }
    });
    io.run();
    return done;
}

ExitCode timelineCommand(std::span<const std::string> arguments)
{
    std::vector<std::string> processes;
    std::string format;
    std::string job;
    options::options_description description("options");
    description.add_options()("process", options::value(&processes)->required()->composing(),
                              "IP address and port of a process's HTTP interface; may be repeated")(
        "format", options::value(&format)->default_value("text"),
        "text or json")("job", options::value(&job), "only events of this job fingerprint");
    const CommandLine line = parseCommandLine(arguments, "timeline", description);
    if (line.exit)
        return *line.exit;
    std::vector<Event> events;
    ExitCode exit = ExitCode::Done;
    for (const std::string &process : processes) {
        const std::optional<Address> address = Address::parse(process);
        if (!address || !readEvents(*address, events)) {
            std::cerr << process << ": events cannot be read\n";
            exit = ExitCode::Failure;
        }
    }
    std::stable_sort(events.begin(), events.end(),
                     [](const Event &a, const Event &b) { return a.time < b.time; });
    for (const Event &event : events) {
        if (!job.empty() && event.job != job)
            continue;
        if (format == "json")
            std::cout << toJsonText(event) << '\n';
        else
            std::cout << event.time.count << ' ' << event.process << ' ' << toString(event.kind) << ' '
                      << event.task << ' ' << event.target << ' ' << event.reason << '\n';
    }
    return exit;
}

} // namespace turmericwell
