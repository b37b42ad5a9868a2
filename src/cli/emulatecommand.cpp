// Subcommand emulate: days of the whole system in virtual time, with drawn troubles.
#include "cli/options.h"
#include "emulator/emulationcheck.h"
#include "emulator/emulationsites.h"
#include "emulator/returntoservice.h"
#include "emulator/unservedjobs.h"
#include "observe/log.h"

#include <atomic>
#include <boost/json.hpp>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <thread>

namespace turmericwell {

namespace json = boost::json;
namespace options = boost::program_options;

namespace {

struct EmulateSettings
{
    std::string site = "himal";
    uint64_t firstSeed = 1;
    uint32_t days = 1;
    uint32_t threads = 1;
    uint32_t lengthSeconds = 20;
    uint32_t settleMs = 4'000;
    double load = 1;
    double keptShare = 0.3;
    uint32_t mostTroubles = 8;
    uint32_t mostIsolations = 0;
    uint32_t mostGroupCuts = 0;
    uint32_t mostZoneCuts = 0;
    uint32_t mostAgentSeries = 0;
    uint32_t mostStrayAnnouncements = 0;
    uint32_t workerCrashes = 0;
    uint32_t mostLateOrders = 0;
    double twoStepShare = 0;
    double askedShare = 0;
    double longTaskShare = 0;
    // 0 for the traffic's own deadline.
    uint32_t deadlineMs = 0;
    uint32_t mostResubmissions = 0;
    // 0 for the site's own numbers.
    uint32_t entries = 0;
    uint32_t agents = 0;
    uint32_t partitions = 0;
    uint32_t runsPerEpoch = RunNumbers::defaultRangeSize;
    double withdrawnShare = 0;
    uint32_t admissionSlackPercent = 45;
    uint32_t queueAllowancePercent = 10;
    uint32_t leaveWithoutWorkerMs = 0;
    uint32_t urgentSlackPercent = 100;
    // 0 for no such trouble; times after the beginning of the traffic.
    uint32_t allDownMs = 0;
    uint32_t startSpreadMs = 100;
    bool workersDown = false;
    uint32_t slowRestartMs = 0;
    uint32_t storeFactor = 65;
    bool serveUntilTaken = false;
    bool joinKnownFleetAtOnce = false;
    std::string order = "latest-start";
    std::string placement = "most-free";
    bool learnWorkerSpeeds = false;
    std::string moveLongRuns = "by-ratio";
    std::string admission = "slack";
};

struct DayResult
{
    uint64_t seed = 0;
    EmulationPlan plan;
    EmulationService service;
    UnservedCounts unserved;
    std::vector<BrokenPromise> broken;
    double storeCalls = 0;
    // Messages between processes, for each process and second of the day.
    double messagesPerProcess = 0;
    // Only on days on which all processes are down, or entries are restarted with a slow store.
    bool isReturn = false;
    std::optional<Millis> halfServedAfter;
    std::optional<Millis> nineTenthsServedAfter;
    std::optional<KindService> duringTrouble;
};

constexpr int64_t msPerSecond = 1'000;
constexpr int64_t wholePercent = 100;
constexpr Millis firstPlannedTrouble = {3'000};
// The entries are restarted one after the other within the slow time.
constexpr int64_t restartedPercent = 80;
// Jobs that are submitted in this time after the start of all processes are counted by themselves.
constexpr Millis returnTime = {3'000};
constexpr double half = 0.5;
constexpr double nineTenths = 0.9;
// Troubles begin in the first part of the day, so that the rest shows the recovery.
constexpr int64_t troubledPercent = 60;
constexpr Millis firstTrouble = {1'000};
// Jobs of two steps with the longest tasks end in this time, also if a trouble has interrupted them.
constexpr Millis finishOfLongTasks = {45'000};

void addPlannedTroubles(const EmulateSettings &settings, EmulationOptions &day)
{
    EmulationPlan planned;
    if (settings.allDownMs > 0)
        planned = planOf(OutageOfAll{.at = firstPlannedTrouble,
                                     .length = {settings.allDownMs},
                                     .startSpread = {settings.startSpreadMs},
                                     .withWorkers = settings.workersDown});
    else if (settings.slowRestartMs > 0)
        planned = planOf(SlowRestart{.at = firstPlannedTrouble,
                                     .length = {settings.slowRestartMs},
                                     .storeFactor = settings.storeFactor,
                                     .gap = Millis{settings.slowRestartMs} * restartedPercent / wholePercent
                                         / day.size.entries});
    day.spreadsAnnouncements = !planned.empty();
    day.plan.insert(day.plan.end(), planned.begin(), planned.end());
}

EmulationOptions dayOptions(const EmulateSettings &settings, uint64_t seed, bool writesLogs)
{
    EmulationOptions day = *emulatedSite(settings.site);
    day.seed = seed;
    day.settleTime = {settings.settleMs};
    day.length = {settings.lengthSeconds * msPerSecond};
    day.traffic.load = settings.load;
    day.traffic.keptShare = settings.keptShare;
    day.traffic.twoStepShare = settings.twoStepShare;
    day.traffic.askedShare = settings.askedShare;
    day.traffic.longTaskShare = settings.longTaskShare;
    if (settings.longTaskShare > 0)
        day.finish = finishOfLongTasks;
    day.traffic.mostResubmissions = settings.mostResubmissions;
    if (settings.deadlineMs > 0)
        day.traffic.deadline = {settings.deadlineMs};
    day.admissionSlackPercent = settings.admissionSlackPercent;
    day.queueAllowancePercent = settings.queueAllowancePercent;
    day.leaveWithoutWorker = {settings.leaveWithoutWorkerMs};
    day.urgentSlackPercent = settings.urgentSlackPercent;
    day.queueOrder = *parseQueueOrder(settings.order);
    day.placement = *parsePlacementPolicy(settings.placement);
    day.learnWorkerSpeeds = settings.learnWorkerSpeeds;
    day.moveLongRuns = *parseLongRunPolicy(settings.moveLongRuns);
    day.admission = *parseAdmissionPolicy(settings.admission);
    day.workersCallNextAgent = settings.mostStrayAnnouncements > 0;
    day.servesUntilTaken = settings.serveUntilTaken;
    day.joinsKnownFleetAtOnce = settings.joinKnownFleetAtOnce;
    day.writesLogs = writesLogs;
    if (settings.entries > 0)
        day.size.entries = settings.entries;
    if (settings.agents > 0)
        day.size.agents = settings.agents;
    if (settings.partitions > 0)
        day.partitions = settings.partitions;
    day.runsPerEpoch = std::max(1U, settings.runsPerEpoch);
    day.traffic.withdrawnShare = settings.withdrawnShare;
    day.plan = drawPlan({.seed = seed,
                         .size = day.size,
                         .begin = firstTrouble,
                         .end = day.length * troubledPercent / 100,
                         .most = settings.mostTroubles,
                         .mostIsolations = settings.mostIsolations,
                         .mostGroupCuts = settings.mostGroupCuts,
                         .mostZoneCuts = settings.mostZoneCuts,
                         .mostAgentSeries = settings.mostAgentSeries,
                         .mostStrayAnnouncements = settings.mostStrayAnnouncements,
                         .workerCrashes = settings.workerCrashes,
                         .mostLateOrders = settings.mostLateOrders});
    addPlannedTroubles(settings, day);
    return day;
}

void measurePlannedTroubles(const EmulateSettings &settings, const EmulationOptions &day,
                            const EmulationRecord &record, DayResult &result)
{
    if (settings.allDownMs > 0) {
        const Millis start = firstPlannedTrouble + Millis{settings.allDownMs};
        result.isReturn = true;
        result.halfServedAfter = timeUntilServed(record, day, firstPlannedTrouble, start, half);
        result.nineTenthsServedAfter = timeUntilServed(record, day, firstPlannedTrouble, start, nineTenths);
        result.duringTrouble = serviceWithin(record, day, {.begin = start, .end = start + returnTime});
    } else if (settings.slowRestartMs > 0) {
        result.duringTrouble = serviceWithin(
            record, day,
            {.begin = firstPlannedTrouble, .end = firstPlannedTrouble + Millis{settings.slowRestartMs}});
    }
}

double messagesPerProcess(const EmulationRecord &record, const EmulationOptions &day)
{
    const auto processes = static_cast<double>(day.size.entries + day.size.agents);
    const double seconds = static_cast<double>(record.end.count - record.begin.count) / msPerSecond;
    return static_cast<double>(record.frames) / processes / seconds;
}

DayResult playDay(const EmulateSettings &settings, uint64_t seed, bool writesLogs)
{
    const EmulationOptions day = dayOptions(settings, seed, writesLogs);
    const EmulationRecord record = Emulation(day).run();
    DayResult result{.seed = seed,
                     .plan = day.plan,
                     .service = measureService(record, day),
                     .unserved = countUnserved(record, day),
                     .broken = checkPromises(record, day),
                     .storeCalls = record.storeCalls,
                     .messagesPerProcess = messagesPerProcess(record, day)};
    measurePlannedTroubles(settings, day, record, result);
    return result;
}

json::object toJson(const UnservedCounts &unserved)
{
    return {{"refused", unserved.refused},
            {"failed", unserved.failed},
            {"standing_still", unserved.standingStill},
            {"without_capacity", unserved.withoutCapacity},
            {"during_trouble", unserved.duringTrouble},
            {"without_answer", unserved.withoutAnswer},
            {"example_of_standing_still", jobIdText(unserved.exampleOfStandingStill)}};
}

json::value returnToJson(const DayResult &day)
{
    if (!day.duringTrouble)
        return nullptr;
    const auto time = [](const std::optional<Millis> &value) {
        return value ? json::value(value->count) : json::value(nullptr);
    };
    return json::object{{"asked", day.duringTrouble->asked},
                        {"in_time", day.duringTrouble->inTime},
                        {"late", day.duringTrouble->late},
                        {"refused", day.duringTrouble->refused},
                        {"not_served", day.duringTrouble->notServed},
                        {"half_served_after_ms", time(day.halfServedAfter)},
                        {"nine_tenths_served_after_ms", time(day.nineTenthsServedAfter)}};
}

json::object toJson(const DayResult &day)
{
    const KindService total = day.service.total();
    json::array broken;
    for (const BrokenPromise &promise : day.broken)
        broken.push_back(json::object{{"promise", promiseName(promise.promise)}, {"what", promise.what}});
    json::array plan;
    for (const PlannedTrouble &planned : day.plan)
        plan.push_back(json::object{{"at_ms", planned.at.count},
                                    {"for_ms", planned.length.count},
                                    {"trouble", troubleText(planned.trouble)}});
    json::array kinds;
    for (const KindService &kind : day.service.kinds)
        kinds.push_back(json::object{
            {"asked", kind.asked}, {"in_time", kind.inTime}, {"late", kind.late}, {"refused", kind.refused}});
    return {{"seed", day.seed},
            {"kinds", std::move(kinds)},
            {"asked", total.asked},
            {"in_time", total.inTime},
            {"late", total.late},
            {"refused", total.refused},
            {"not_served", total.notServed},
            {"unserved", toJson(day.unserved)},
            {"work_in_time", day.service.workInTime},
            {"work_bound", day.service.workBound},
            {"p50_ratio", day.service.medianRatio},
            {"p99_ratio", day.service.p99Ratio},
            {"wasted", day.service.wasted},
            {"restart_delays_ms", json::value_from(day.service.restartDelays)},
            {"store_calls", day.storeCalls},
            {"messages_per_process_s", day.messagesPerProcess},
            {"planned_trouble", returnToJson(day)},
            {"broken", std::move(broken)},
            {"plan", std::move(plan)}};
}

void printUnserved(const UnservedCounts &unserved)
{
    if (unserved.total() == 0)
        return;
    std::cout << "  unserved " << unserved.total() << ": " << unserved.refused << " refused, "
              << unserved.failed << " failed, " << unserved.standingStill << " standing still, "
              << unserved.withoutCapacity << " waiting without capacity, " << unserved.duringTrouble
              << " waiting during a trouble, " << unserved.withoutAnswer << " without an answer";
    if (unserved.standingStill > 0)
        std::cout << "; job " << jobIdText(unserved.exampleOfStandingStill) << " stood still";
    std::cout << '\n';
}

void printReturn(const DayResult &day)
{
    if (!day.duringTrouble)
        return;
    const KindService &service = *day.duringTrouble;
    const auto text = [](const std::optional<Millis> &time) {
        return time ? std::to_string(time->count) + " ms" : std::string("never");
    };
    std::cout << "  of " << service.asked << " jobs of the planned trouble " << service.inTime << " in time, "
              << service.late << " late, " << service.refused << " refused, "
              << service.notServed - service.refused << " not served otherwise";
    if (day.isReturn)
        std::cout << "; half of the service after " << text(day.halfServedAfter) << ", nine tenths after "
                  << text(day.nineTenthsServedAfter);
    std::cout << '\n';
}

void printDay(const DayResult &day)
{
    const KindService total = day.service.total();
    std::cout << "seed " << day.seed << ": " << total.asked << " jobs, " << total.inTime << " in time, "
              << total.late << " late, " << total.refused << " refused, " << total.notServed - total.refused
              << " not served otherwise; work in time " << std::fixed << std::setprecision(3)
              << day.service.workInTime << " of " << day.service.workBound << ", median "
              << day.service.medianRatio << " and p99 " << day.service.p99Ratio << " times the longest task; "
              << day.service.wasted << " wasted\n";
    printReturn(day);
    printUnserved(day.unserved);
    if (day.broken.empty())
        return;
    for (const PlannedTrouble &planned : day.plan)
        std::cout << "  " << planned.at.count << " ms, for " << planned.length.count
                  << " ms: " << troubleText(planned.trouble) << '\n';
    for (const BrokenPromise &promise : day.broken)
        std::cout << "  broken " << promiseName(promise.promise) << ": " << promise.what << '\n';
}

// Days are independent of each other, so each thread plays whole days.
std::vector<DayResult> playDays(const EmulateSettings &settings, bool writesLogs, bool printsDays)
{
    std::vector<DayResult> results(settings.days);
    std::atomic<uint32_t> next = 0;
    std::mutex output;
    const auto play = [&] {
        for (uint32_t number = next++; number < settings.days; number = next++) {
            results[number] = playDay(settings, settings.firstSeed + number, writesLogs);
            const std::lock_guard lock(output);
            if (printsDays)
                printDay(results[number]);
        }
    };
    std::vector<std::jthread> threads;
    for (uint32_t number = 0; number < std::max(1U, settings.threads); ++number)
        threads.emplace_back(play);
    threads.clear();
    return results;
}

} // namespace

ExitCode emulateCommand(std::span<const std::string> arguments)
{
    EmulateSettings settings;
    bool asJson = false;
    bool writesLogs = false;
    options::options_description description("options");
    description.add_options()("site", options::value(&settings.site), "himal (default) or qalhat")(
        "first-seed", options::value(&settings.firstSeed), "seed of the first day")(
        "days", options::value(&settings.days), "number of days, each with the next seed")(
        "threads", options::value(&settings.threads), "days that are played at the same time")(
        "length-s", options::value(&settings.lengthSeconds), "seconds of traffic in a day")(
        "entries", options::value(&settings.entries), "number of entries; the site's own if 0")(
        "agents", options::value(&settings.agents),
        "number of agents, each with a worker; the site's own if 0. The rates stay the same: see load")(
        "partitions", options::value(&settings.partitions), "partitions of the jobs; the site's own if 0")(
        "runs-per-epoch", options::value(&settings.runsPerEpoch),
        "run numbers that an owner may use without a record; with few of them each day has tasks that pass "
        "them")(
        "withdrawn-share", options::value(&settings.withdrawnShare),
        "share of the jobs without an answer after 0.25 s that their client leaves and cancels at another "
        "entry")("load", options::value(&settings.load), "multiplies the rates of the site")(
        "kept-share", options::value(&settings.keptShare), "share of the jobs that have to be kept")(
        "troubles", options::value(&settings.mostTroubles), "most troubles in a day; 0 for none")(
        "isolations", options::value(&settings.mostIsolations),
        "besides, most entries that are cut off from everything or restarted while the store is down")(
        "settle-ms", options::value(&settings.settleMs),
        "time between the start of the processes and the traffic")(
        "group-cuts", options::value(&settings.mostGroupCuts),
        "besides, most groups of one entry and some agents that are cut off from all others and the store")(
        "zone-cuts", options::value(&settings.mostZoneCuts),
        "besides, most groups of any number of entries and agents that are cut off from all others and the "
        "store")("agent-series", options::value(&settings.mostAgentSeries),
                 "besides, most series of restarts, link cuts and hanging runs of one agent")(
        "stray-announcements", options::value(&settings.mostStrayAnnouncements),
        "besides, most agents that hear announcements which are not of their worker, or repeated answers of "
        "it; "
        "workers whose agent does not acknowledge call the next agent")(
        "worker-crashes", options::value(&settings.workerCrashes), "besides, number of crashes of workers")(
        "late-orders", options::value(&settings.mostLateOrders),
        "besides, most workers that crash while orders are on their way, which their next life carries out")(
        "deadline-ms", options::value(&settings.deadlineMs),
        "how long clients wait for an answer; the traffic's own if 0")(
        "resubmissions", options::value(&settings.mostResubmissions),
        "most times that a client submits a job again after its deadline")(
        "two-step-share", options::value(&settings.twoStepShare),
        "share of the jobs that have a second step, which depends on the first")(
        "asked-share", options::value(&settings.askedShare),
        "share of the kept jobs that a client asks for, at any entry, some seconds later")(
        "long-task-share", options::value(&settings.longTaskShare),
        "share of the kept jobs whose tasks run for 3 to 9 s")(
        "slack-percent", options::value(&settings.admissionSlackPercent),
        "share of a job's slack that the predicted wait may take")(
        "leave-without-worker-ms", options::value(&settings.leaveWithoutWorkerMs),
        "agents without a worker for this long withdraw their registration; 0 for never")(
        "queue-allowance-percent", options::value(&settings.queueAllowancePercent),
        "orders that may wait at an agent, in percent of its worker's processors")(
        "urgent-slack-percent", options::value(&settings.urgentSlackPercent),
        "part of the wait allowed to more urgent jobs that a job may add to; 0 for no limit")(
        "all-down-ms", options::value(&settings.allDownMs),
        "besides, all processes lose power for this long, 3 s after the beginning of the traffic")(
        "start-spread-ms", options::value(&settings.startSpreadMs),
        "they are back at different times within this span")(
        "workers-down", options::bool_switch(&settings.workersDown), "the workers lose power with them")(
        "slow-restart-ms", options::value(&settings.slowRestartMs),
        "besides, the store is slow for this long while all entries are restarted in turn")(
        "store-factor", options::value(&settings.storeFactor), "how many times slower the store then is")(
        "join-known-fleet-at-once", options::bool_switch(&settings.joinKnownFleetAtOnce),
        "entries that restart join without waiting for other processes to appear")(
        "serve-until-taken", options::bool_switch(&settings.serveUntilTaken),
        "entries serve a partition that they give up until its next owner has loaded it")(
        "order", options::value(&settings.order), "latest-start (default) or arrival")(
        "placement", options::value(&settings.placement), "most-free (default), least-free or any")(
        "learn-worker-speeds", options::bool_switch(&settings.learnWorkerSpeeds),
        "agents estimate the speeds of their workers, and entries place tasks by them")(
        "move-long-runs", options::value(&settings.moveLongRuns), "by-ratio (default) or by-evidence")(
        "admission", options::value(&settings.admission),
        "slack (default) or forecast")("json", options::bool_switch(&asJson), "prints one JSON object a day")(
        "log", options::bool_switch(&writesLogs), "writes the decision logs of all processes");
    const CommandLine line =
        parseCommandLine(arguments, "emulate", description, "",
                         "Equal options and seeds give equal days. Exit code 1: a promise was broken.\n");
    if (line.exit)
        return *line.exit;
    if (!emulatedSite(settings.site)) {
        std::cerr << "turmericwell emulate: --site: \"" << settings.site << "\" is not known\n";
        return ExitCode::BadUsage;
    }
    if (!parseQueueOrder(settings.order) || !parsePlacementPolicy(settings.placement)
        || !parseAdmissionPolicy(settings.admission)) {
        std::cerr << "turmericwell emulate: --order, --placement or --admission is not known\n";
        return ExitCode::BadUsage;
    }
    if (!parseLongRunPolicy(settings.moveLongRuns)) {
        std::cerr << "turmericwell emulate: --move-long-runs is not known\n";
        return ExitCode::BadUsage;
    }
    if (writesLogs && settings.days > 1) {
        std::cerr << "turmericwell emulate: --log needs a single day\n";
        return ExitCode::BadUsage;
    }
    initLogging(LogLevel::Error);
    const std::vector<DayResult> results = playDays(settings, writesLogs, !asJson);
    size_t broken = 0;
    for (const DayResult &day : results) {
        if (asJson)
            std::cout << json::serialize(toJson(day)) << '\n';
        broken += day.broken.empty() ? 0 : 1;
    }
    if (!asJson)
        std::cout << results.size() << " days, " << broken << " with a broken promise\n";
    return broken == 0 ? ExitCode::Done : ExitCode::Failure;
}

} // namespace turmericwell
