// Subcommand explain: what an entry would do with a job, and why. The job is not submitted.
#include "cli/options.h"
#include "net/http.h"

#include <boost/json.hpp>
#include <iostream>

namespace turmericwell {

namespace json = boost::json;
namespace options = boost::program_options;

namespace {

std::string text(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    if (!value || value->is_null())
        return "unknown";
    return value->is_string() ? std::string(std::string_view(value->get_string())) : json::serialize(*value);
}

bool flag(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_bool() && value->get_bool();
}

const json::object &member(const json::object &object, std::string_view key)
{
    static const json::object empty;
    const json::value *value = object.if_contains(key);
    return value && value->is_object() ? value->get_object() : empty;
}

const json::array &list(const json::object &object, std::string_view key)
{
    static const json::array empty;
    const json::value *value = object.if_contains(key);
    return value && value->is_array() ? value->get_array() : empty;
}

void printStep(const json::object &step)
{
    std::cout << "step " << text(step, "step") << ", " << text(step, "tasks")
              << " tasks: " << text(step, "choice");
    if (text(step, "choice") == "wait")
        std::cout << " for the rack of the data, at most " << text(step, "longestWaitMs") << " ms";
    std::cout << "; expected start after " << text(step, "startMs") << " ms, end after "
              << text(step, "endMs") << " ms\n";
    bool isFirst = true;
    for (const json::value &item : list(step, "workers")) {
        if (!item.is_object())
            continue;
        const json::object &worker = item.get_object();
        std::cout << (isFirst ? "  best:  " : "  next:  ") << text(worker, "worker") << " in "
                  << text(worker, "zone")
                  << (flag(worker, "near") ? ", near the data" : ", far from the data") << ", free "
                  << text(worker, "freeCpuMilli") << " mCPU, slowness " << text(worker, "slowness")
                  << ", score " << text(worker, "score") << '\n';
        isFirst = false;
    }
    for (const auto &[reason, count] : member(step, "excluded"))
        std::cout << "  excluded: " << json::serialize(count) << " workers: " << std::string_view(reason)
                  << '\n';
}

void printExplanation(const json::object &answer)
{
    std::cout << "job " << text(answer, "job") << " of queue " << text(answer, "queue") << ", partition "
              << text(answer, "partition") << '\n';
    const std::string owner = text(answer, "owner");
    if (!flag(answer, "isOwner")) {
        std::cout << (owner.empty() ? "the owner is not known"
                                    : "the owner is " + owner + " at " + text(answer, "ownerAddress")
                              + "; ask its metrics port")
                  << '\n';
        return;
    }
    std::cout << "owner " << owner << " at " << text(answer, "ownerAddress") << "; the job is "
              << text(answer, "knownAs") << " there; time until the deadline " << text(answer, "objectiveMs")
              << " ms\n";
    const json::object &admission = member(answer, "admission");
    std::cout << (flag(admission, "admitted") ? "admitted"
                                              : "rejected: " + text(admission, "reason") + "; retry after "
                          + text(admission, "retryAfterMs") + " ms")
              << " (predicted wait " << text(admission, "predictedWaitMs") << " ms, allowed "
              << text(admission, "allowedWaitMs") << " ms, slack " << text(admission, "slackMs") << " ms)\n";
    for (const json::value &step : list(answer, "steps")) {
        if (step.is_object())
            printStep(step.get_object());
    }
}

ExitCode exitCodeOf(const json::object &answer)
{
    if (!flag(answer, "isOwner"))
        return ExitCode::OtherOwner;
    return flag(member(answer, "admission"), "admitted") ? ExitCode::Done : ExitCode::WouldBeRejected;
}

ExitCode ask(const Address &address, std::string body, bool asJson)
{
    constexpr Millis timeout = {3'000};
    HttpResult result;
    IoContext io;
    HttpClient http(io, address);
    http.request({.method = "POST", .path = "/v1/explain", .body = std::move(body)}, timeout,
                 [&](HttpResult received) { result = std::move(received); });
    io.run();
    if (!result.response) {
        std::cerr << "turmericwell explain: the entry was not reached: " << result.error << '\n';
        return ExitCode::Failure;
    }
    boost::system::error_code error;
    const json::value answer = json::parse(result.response->body, error);
    if (error || !answer.is_object() || result.response->status != 200) {
        std::cerr << "turmericwell explain: status " << result.response->status << ": "
                  << result.response->body << '\n';
        return ExitCode::Failure;
    }
    if (asJson)
        std::cout << json::serialize(answer) << '\n';
    else
        printExplanation(answer.get_object());
    return exitCodeOf(answer.get_object());
}

} // namespace

ExitCode explainCommand(std::span<const std::string> arguments)
{
    std::string entry;
    std::string file;
    options::options_description description("options");
    description.add_options()("entry", options::value(&entry)->required(),
                              "IP address and metrics port of an entry")(
        "job", options::value(&file)->required(),
        "JSON file with host, path and job: where a client submits the job, and the body")(
        "json", "print the answer as JSON");
    const CommandLine line = parseCommandLine(
        arguments, "explain", description, "",
        "Exit codes: 0 the job would be admitted, 1 no answer, 2 bad usage,\n"
        "            6 it would be rejected, 7 another entry owns it or the owner is unknown.\n");
    if (line.exit)
        return *line.exit;
    const std::optional<Address> address = Address::parse(entry);
    if (!address) {
        std::cerr << "turmericwell explain: --entry must be IP:PORT\n";
        return ExitCode::BadUsage;
    }
    std::optional<std::string> body = readFile(file);
    if (!body) {
        std::cerr << file << ": cannot be read\n";
        return ExitCode::BadUsage;
    }
    boost::system::error_code error;
    const json::value job = json::parse(*body, error);
    if (error || !job.is_object()) {
        std::cerr << file << ": not a JSON object" << (error ? ": " + error.message() : "") << '\n';
        return ExitCode::BadUsage;
    }
    return ask(*address, std::move(*body), line.values.contains("json"));
}

} // namespace turmericwell
