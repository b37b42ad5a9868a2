// Requests from callers: any method, path and body must give a submission, a lookup or a refusal with a 4xx
// status. The first line of the input is the request line, the rest is the body.
#include "entry/callerapi.h"

#include <boost/json.hpp>
#include <cstdlib>

using namespace turmericwell;

static Config makeConfig()
{
    Config config{.version = 1};
    config.declarations.services = {{.name = "kiosk", .calls = {{.name = "unlock"}}}};
    config.declarations.jobClasses = {{.name = "scan", .service = "kiosk", .call = "unlock", .maxTasks = 3}};
    return config;
}

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static const Config config = makeConfig();
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const std::string_view line = text.substr(0, text.find('\n'));
    const size_t space = line.find(' ');
    HttpRequest request{.method = std::string(line.substr(0, space)), .headers = {{"idempotency-key", "k"}}};
    if (space != std::string_view::npos)
        request.path = line.substr(space + 1);
    if (line.size() < text.size())
        request.body = text.substr(line.size() + 1);
    const CallerRequest parsed = parseCallerRequest(request, config);
    if (const auto *refusal = std::get_if<BadRequest>(&parsed)) {
        if (refusal->status < 400 || refusal->status > 499)
            std::abort();
        boost::json::parse(toHttpResponse(*refusal).body);
    } else if (const auto *submission = std::get_if<SubmissionRequest>(&parsed)) {
        if (submission->tasks.empty() || submission->keyText.empty())
            std::abort();
    }
    return 0;
}
