// Sizes and loads of the two deployments.
#include "emulator/emulationsites.h"

namespace turmericwell {

// Tasks of 60 ms, 0.2 s and 0.9 s that ask for as much work each, on about 1.6 of 16 processors.
static std::vector<JobKind> kindsOf(int64_t cpuMilli)
{
    return {
        {.queue = "short", .perSecond = 34.4, .tasks = 8, .meanRunTime = {60}, .cpuMilli = cpuMilli},
        {.queue = "long",
         .perSecond = 6.25,
         .tasks = 4,
         .meanRunTime = {900},
         .cpuMilli = cpuMilli,
         .priority = 2},
        {.queue = "common",
         .perSecond = 100,
         .tasks = 2,
         .meanRunTime = {200},
         .cpuMilli = cpuMilli,
         .priority = 1},
    };
}

std::optional<EmulationOptions> emulatedSite(std::string_view name)
{
    EmulationOptions options;
    if (name == "himal") {
        options.size = {.entries = 4, .agents = 11};
        options.workerCapacity = {16'000, 32'000, 0};
        options.traffic.kinds = kindsOf(1'600);
        return options;
    }
    if (name == "qalhat") {
        options.size = {.entries = 3, .agents = 11};
        options.workerCapacity = {32'000, 128'000, 0};
        options.traffic.kinds = kindsOf(3'100);
        return options;
    }
    return std::nullopt;
}

} // namespace turmericwell
