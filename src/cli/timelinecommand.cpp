// Subcommand timeline: merges the events of processes and of the log.
#include "cli/options.h"
#include "logservice/logclient.h"
#include "net/http.h"
#include "observe/eventlog.h"
#include "observe/timeline.h"
#include "turmericwell/fingerprint.h"

#include <iostream>
#include <sstream>

namespace turmericwell {

namespace json = boost::json;
namespace options = boost::program_options;

namespace {

constexpr Millis readTimeout = {5'000};

bool readProcess(const Address &address, std::vector<Event> &events)
{
    bool done = false;
    IoContext io;
    HttpClient http(io, address);
    http.request({.method = "GET", .path = "/v1/events"}, readTimeout, [&](const HttpResult &result) {
        if (!result.response || result.response->status != 200)
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

void readRecord(const LogRecord &record, std::vector<Event> &events)
{
    boost::system::error_code error;
    const json::value value = json::parse(record.data, error);
    const json::object *object = error ? nullptr : value.if_object();
    const json::value *list = object ? object->if_contains("events") : nullptr;
    if (!list || !list->is_array())
        return;
    for (const json::value &text : list->get_array()) {
        if (!text.is_string())
            continue;
        if (std::optional<Event> event = eventFromJson(std::string_view(text.get_string())))
            events.push_back(std::move(*event));
    }
}

// Reads the events stream from its oldest record to its end.
bool readLog(const Address &address, std::vector<Event> &events)
{
    constexpr size_t batch = 100;
    IoContext io;
    LogClient log(io, address);
    uint64_t next = 0;
    while (true) {
        ReadResult result;
        log.read(stream::events, next, batch, {0}, readTimeout,
                 [&](ReadResult read) { result = std::move(read); });
        io.restart();
        io.run();
        if (result.status == ReadStatus::Failed)
            return false;
        for (const LogRecord &record : result.records)
            readRecord(record, events);
        next = result.status == ReadStatus::Expired ? result.oldest : result.next;
        if (result.status == ReadStatus::Done && result.records.empty())
            return true;
    }
}

struct TimelineOptions
{
    std::vector<std::string> processes;
    std::vector<std::string> logs;
    std::string format;
    std::string key;
    std::string service;
    TimelineFilter filter;
};

options::options_description describe(TimelineOptions &timeline)
{
    options::options_description description("options");
    description.add_options()(
        "process", options::value(&timeline.processes)->composing(),
        "IP address and port of the HTTP interface of an entry or agent; may be repeated")(
        "log", options::value(&timeline.logs), "IP address and port of the log service, for shipped events")(
        "job", options::value(&timeline.filter.job), "only this submission, by its fingerprint")(
        "key", options::value(&timeline.key),
        "only the submission with this idempotency key; needs --service")(
        "service", options::value(&timeline.service), "service that the key belongs to")(
        "task", options::value(&timeline.filter.task), "only this task, by its id")(
        "zone", options::value(&timeline.filter.zone), "only events in this availability zone, or about it")(
        "target", options::value(&timeline.filter.target), "only events of this target, or of this agent")(
        "format", options::value(&timeline.format)->default_value("text"),
        "text, or json with one object a line");
    return description;
}

bool readAll(const TimelineOptions &timeline, std::vector<Event> &events)
{
    bool isComplete = true;
    const auto read = [&](const std::vector<std::string> &places, auto readPlace) {
        for (const std::string &place : places) {
            const std::optional<Address> address = Address::parse(place);
            if (address && readPlace(*address, events))
                continue;
            std::cerr << place << ": events cannot be read; the timeline is incomplete\n";
            isComplete = false;
        }
    };
    read(timeline.processes, readProcess);
    read(timeline.logs, readLog);
    return isComplete;
}

} // namespace

ExitCode timelineCommand(std::span<const std::string> arguments)
{
    TimelineOptions timeline;
    const CommandLine line = parseCommandLine(arguments, "timeline", describe(timeline), "",
                                              "At least one --process or --log is needed.\n"
                                              "Exit codes: 0 all events were read, 1 a source was not "
                                              "reached (the rest is printed), 2 bad usage.\n");
    if (line.exit)
        return *line.exit;
    if (!isFormat(timeline.format) || timeline.processes.size() + timeline.logs.size() == 0
        || timeline.key.empty() != timeline.service.empty()) {
        std::cerr << "turmericwell timeline: needs --process or --log, --key together with --service, and "
                     "--format text or json\n";
        return ExitCode::BadUsage;
    }
    if (!timeline.key.empty())
        timeline.filter.job = Fingerprint::ofKey(timeline.service, timeline.key).hex();
    std::vector<Event> events;
    const bool isComplete = readAll(timeline, events);
    // Causes are found among all events, also among those that are not shown.
    events = filterTimeline(mergeTimeline(std::move(events)), timeline.filter);
    if (timeline.format == "json") {
        for (const Event &event : events)
            std::cout << toJsonText(event) << '\n';
    } else {
        for (const std::string &text : timelineText(events))
            std::cout << text << '\n';
    }
    return isComplete ? ExitCode::Done : ExitCode::Failure;
}

} // namespace turmericwell
