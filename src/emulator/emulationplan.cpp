// Draws troubles and names them.
#include "emulator/emulationplan.h"

#include "core/overloaded.h"

#include <algorithm>
#include <random>

namespace turmericwell {

constexpr Millis leastLength = {200};
constexpr Millis mostLength = {4'000};
// Longer than a membership lasts without renewal, and up to beyond the time after which agents count as gone.
constexpr Millis leastIsolation = {1'500};
constexpr Millis mostIsolation = {13'000};
constexpr int64_t leastTroublesOfASeries = 3;
constexpr int64_t mostTroublesOfASeries = 8;
constexpr Millis seriesLength = {6'000};
// Shorter than the time after which the entries take an agent for gone, so that it comes back to its runs.
constexpr Millis leastQuickRestart = {100};
constexpr Millis mostQuickRestart = {900};
// Share of the orders that a worker with hanging runs carries out seconds later, if any.
constexpr double hangingWorkerLateShare = 0.7;
// Longer than the interval of the announcements, so that the worker calls another agent.
constexpr Millis leastDeafness = {500};
constexpr Millis mostDeafness = {5'000};
constexpr Millis latestStrayAnnouncement = {4'000};
constexpr double leastRepeatedAnswers = 0.02;
constexpr double mostRepeatedAnswers = 0.4;
constexpr Millis leastLateOrders = {500};
constexpr Millis mostLateOrders = {2'500};
constexpr double leastLateShare = 0.1;
constexpr double mostLateShare = 0.7;
constexpr Millis leastOutage = {2'500};
constexpr Millis mostOutage = {5'000};

namespace {

class PlanDraw
{
public:
    explicit PlanDraw(const PlanOptions &options)
        : m_options(options)
        , m_random(options.seed)
    { }

    EmulationPlan plan()
    {
        EmulationPlan result;
        const int64_t count = m_options.most == 0 ? 0 : whole(1, m_options.most);
        for (int64_t number = 0; number < count; ++number) {
            result.push_back({.at = {whole(m_options.begin.count, m_options.end.count)},
                              .length = {whole(leastLength.count, mostLength.count)},
                              .trouble = trouble()});
        }
        for (int64_t number = whole(0, m_options.mostIsolations); number > 0; --number)
            result.push_back(isolation());
        for (int64_t number = whole(0, m_options.mostGroupCuts); number > 0; --number)
            result.push_back(groupCut());
        for (int64_t number = whole(0, m_options.mostAgentSeries); number > 0; --number)
            addAgentSeries(result);
        for (int64_t number = whole(0, m_options.mostZoneCuts); number > 0; --number)
            addZoneCut(result);
        for (int64_t number = whole(0, m_options.mostStrayAnnouncements); number > 0; --number)
            addStrayAnnouncement(result);
        for (uint32_t number = 0; number < m_options.workerCrashes; ++number)
            result.push_back(
                {.at = length(m_options.begin, m_options.end), .trouble = CrashWorker{.worker = worker()}});
        for (int64_t number = whole(0, m_options.mostLateOrders); number > 0; --number)
            addLateOrders(result);
        std::sort(result.begin(), result.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
        return result;
    }

private:
    PlannedTrouble isolation()
    {
        const Millis at{whole(m_options.begin.count, m_options.end.count)};
        const uint32_t index = entry().index;
        if (chance(0.5))
            return {.at = at,
                    .length = {whole(leastIsolation.count, mostIsolation.count)},
                    .trouble = IsolateEntry{.entry = index}};
        return {.at = at,
                .length = {whole(leastOutage.count, mostOutage.count)},
                .trouble = RestartWithoutStore{.entry = index}};
    }
    PlannedTrouble groupCut()
    {
        std::vector<ProcessName> group{entry()};
        const int64_t agents = whole(1, std::max<int64_t>(1, m_options.size.agents / 2));
        const uint32_t first = worker();
        for (int64_t number = 0; number < agents; ++number)
            group.push_back(
                {fleet::ProcessRole::Agent, static_cast<uint32_t>((first + number) % m_options.size.agents)});
        return {.at = {whole(m_options.begin.count, m_options.end.count)},
                .length = {whole(leastIsolation.count, mostIsolation.count)},
                .trouble = CutGroup{.processes = std::move(group)}};
    }
    // A random range of consecutive processes of the role; its end wraps round.
    void addRange(std::vector<ProcessName> &group, fleet::ProcessRole role, uint32_t all, int64_t least)
    {
        const int64_t count = whole(least, all);
        const int64_t first = whole(0, all - 1);
        for (int64_t number = 0; number < count; ++number)
            group.push_back({role, static_cast<uint32_t>((first + number) % all)});
    }
    void addZoneCut(EmulationPlan &plan)
    {
        std::vector<ProcessName> group;
        addRange(group, fleet::ProcessRole::Entry, m_options.size.entries, 1);
        addRange(group, fleet::ProcessRole::Agent, m_options.size.agents, 0);
        const Millis at = length(m_options.begin, m_options.end);
        const Millis lasting = length(leastIsolation, mostIsolation);
        plan.push_back({.at = at, .length = lasting, .trouble = CutGroup{.processes = std::move(group)}});
        const Millis meanwhile = at + length({0}, lasting);
        if (chance(0.3))
            plan.push_back({.at = meanwhile, .trouble = StopProcess{.process = entry()}});
        if (chance(0.3))
            plan.push_back({.at = meanwhile,
                            .length = length(leastLength, mostLength),
                            .trouble = KillProcess{.process = entry(), .losesPower = chance(0.5)}});
        if (chance(0.3))
            plan.push_back({.at = meanwhile,
                            .length = length(leastOutage, mostOutage),
                            .trouble = TroubleStore{.trouble = StoreRefuses{}}});
    }
    PlannedTrouble agentTrouble(const ProcessName &agent, Millis at)
    {
        const Millis length{whole(leastOutage.count, mostOutage.count)};
        switch (whole(0, 2)) {
        case 0:
            return {.at = at,
                    .length = length,
                    .trouble = TroubleWorker{
                        .worker = agent.index,
                        .trouble = {.late = chance(0.5) ? hangingWorkerLateShare : 0, .hangs = true}}};
        case 1:
            return {.at = at, .length = length, .trouble = CutLink{.from = entry(), .to = agent}};
        default:
            return {.at = at,
                    .length = {whole(leastQuickRestart.count, mostQuickRestart.count)},
                    .trouble = KillProcess{.process = agent, .losesPower = chance(0.5)}};
        }
    }
    void addAgentSeries(EmulationPlan &plan)
    {
        const ProcessName agent{fleet::ProcessRole::Agent, worker()};
        const int64_t begin = whole(m_options.begin.count, m_options.end.count);
        for (int64_t number = whole(leastTroublesOfASeries, mostTroublesOfASeries); number > 0; --number)
            plan.push_back(agentTrouble(agent, {begin + whole(0, seriesLength.count)}));
    }
    Millis length(Millis least, Millis most) { return {whole(least.count, most.count)}; }
    AnnounceAnotherWorker anotherWorker(uint32_t agent)
    {
        using Born = AnnounceAnotherWorker::Born;
        using CalledAt = AnnounceAnotherWorker::CalledAt;
        AnnounceAnotherWorker stray{.agent = agent,
                                    .namesCalledWorker = chance(0.3),
                                    .hasUnknownService = chance(0.3),
                                    .born = static_cast<Born>(whole(0, 2)),
                                    .address = static_cast<CalledAt>(whole(0, 2))};
        // Only the worker itself can name both its id and its life.
        if (stray.namesCalledWorker && stray.born == Born::Present)
            stray.born = Born::Later;
        return stray;
    }
    // The agent does not acknowledge announcements for a while, so its worker calls the next agent.
    void addDeafAgent(EmulationPlan &plan, const ProcessName &agent, Millis at)
    {
        if (chance(0.5))
            plan.push_back({.at = at + length({0}, latestStrayAnnouncement),
                            .trouble = CrashWorker{.worker = agent.index}});
        const Millis deaf = length(leastDeafness, mostDeafness);
        if (chance(0.5))
            plan.push_back({.at = at, .length = deaf, .trouble = PauseProcess{.process = agent}});
        else
            plan.push_back({.at = at,
                            .length = deaf,
                            .trouble = KillProcess{.process = agent, .losesPower = chance(0.5)}});
    }
    void addStrayAnnouncement(EmulationPlan &plan)
    {
        const ProcessName agent{fleet::ProcessRole::Agent, worker()};
        const Millis at = length(m_options.begin, m_options.end);
        const Millis later = at + length({0}, latestStrayAnnouncement);
        const Millis lasting = length(leastLength, mostLength);
        switch (whole(0, 3)) {
        case 0:
            addDeafAgent(plan, agent, at);
            return;
        case 1:
            plan.push_back({.at = at, .trouble = CrashWorker{.worker = agent.index}});
            plan.push_back(
                {.at = later, .length = lasting, .trouble = AnnounceFormerLife{.worker = agent.index}});
            break;
        case 2:
            plan.push_back({.at = later, .length = lasting, .trouble = anotherWorker(agent.index)});
            break;
        default:
            plan.push_back(
                {.at = at,
                 .length = lasting,
                 .trouble = TroubleWorker{
                     .worker = agent.index,
                     .trouble = {.repeatsAnswers = part(leastRepeatedAnswers, mostRepeatedAnswers)}}});
        }
        // The agent may be at its start, when it knows no worker yet.
        if (chance(0.4))
            plan.push_back({.at = at,
                            .length = length(leastQuickRestart, mostQuickRestart),
                            .trouble = KillProcess{.process = agent, .losesPower = chance(0.5)}});
    }
    void addLateOrders(EmulationPlan &plan)
    {
        const uint32_t number = worker();
        const Millis at = length(m_options.begin, m_options.end);
        const Millis lasting = length(leastLateOrders, mostLateOrders);
        plan.push_back({.at = at,
                        .length = lasting,
                        .trouble = TroubleWorker{.worker = number,
                                                 .trouble = {.late = part(leastLateShare, mostLateShare),
                                                             .lateOrdersOutliveCrash = true}}});
        plan.push_back({.at = at + length({0}, lasting), .trouble = CrashWorker{.worker = number}});
    }
    int64_t whole(int64_t least, int64_t most)
    {
        return std::uniform_int_distribution<int64_t>(least, most)(m_random);
    }
    double part(double least, double most)
    {
        return std::uniform_real_distribution<double>(least, most)(m_random);
    }
    bool chance(double share) { return part(0, 1) < share; }
    uint32_t worker() { return static_cast<uint32_t>(whole(0, m_options.size.agents - 1)); }
    ProcessName entry()
    {
        return {fleet::ProcessRole::Entry, static_cast<uint32_t>(whole(0, m_options.size.entries - 1))};
    }
    ProcessName process() { return chance(0.5) ? entry() : ProcessName{fleet::ProcessRole::Agent, worker()}; }

    StoreTrouble storeTrouble()
    {
        switch (whole(0, 4)) {
        case 0:
            return StoreRefuses{};
        case 1:
            return StoreIsSilent{};
        case 2:
            return StoreLosesAnswers{.share = part(0.1, 0.6)};
        case 3:
            return StoreIsLate{.share = part(0.1, 0.6)};
        default:
            return StoreIsSlow{.factor = whole(10, 100)};
        }
    }

    WorkerTrouble workerTrouble()
    {
        switch (whole(0, 4)) {
        case 0:
            return {.slowness = part(2, 8)};
        case 1:
            return {.failing = part(0.3, 1)};
        case 2:
            return {.losesAnswers = part(0.05, 0.5)};
        case 3:
            return {.late = part(0.02, 0.2)};
        default:
            return {.hangs = true};
        }
    }

    Trouble trouble()
    {
        switch (whole(0, 11)) {
        case 0:
        case 1:
            return KillProcess{.process = process(), .losesPower = chance(0.5)};
        case 2:
            return PauseProcess{.process = process()};
        case 3:
            return StopProcess{.process = process()};
        case 4:
            return RestartEntriesInTurn{.gap = {whole(300, 3'000)}};
        case 5:
            return KillAll{.losesPower = chance(0.5)};
        case 6:
            return CutLink{.from = entry(), .to = process(), .bothWays = chance(0.6)};
        case 7:
            return TroubleStore{.trouble = storeTrouble(),
                                .process = chance(0.5) ? std::optional(process()) : std::nullopt};
        case 8:
            return TroubleWorker{.worker = worker(), .trouble = workerTrouble()};
        case 9:
            return CrashWorker{.worker = worker()};
        case 10:
            return DealAnew{};
        default:
            return Burst{.factor = part(1.3, 2.2)};
        }
    }

    const PlanOptions &m_options;
    std::mt19937_64 m_random;
};

} // namespace

EmulationPlan drawPlan(const PlanOptions &options)
{
    return PlanDraw(options).plan();
}

EmulationPlan planOf(const OutageOfAll &outage)
{
    return {{.at = outage.at,
             .length = outage.length,
             .trouble = KillAll{.losesPower = outage.losesPower,
                                .withWorkers = outage.withWorkers,
                                .startSpread = outage.startSpread}}};
}

EmulationPlan planOf(const SlowRestart &restart)
{
    return {
        {.at = restart.at,
         .length = restart.length,
         .trouble = TroubleStore{.trouble = StoreIsSlow{.factor = restart.storeFactor}}},
        {.at = restart.at, .length = restart.length, .trouble = RestartEntriesInTurn{.gap = restart.gap}}};
}

static std::string text(const ProcessName &process)
{
    return (process.role == fleet::ProcessRole::Entry ? "entry-" : "agent-") + std::to_string(process.index);
}

static std::string text(const StoreTrouble &trouble)
{
    return std::visit(Overloaded{[](std::monostate) { return "works"; },
                                 [](const StoreRefuses &) { return "refuses"; },
                                 [](const StoreIsSilent &) { return "is silent"; },
                                 [](const StoreLosesAnswers &) { return "loses answers"; },
                                 [](const StoreIsLate &) { return "carries appends out late"; },
                                 [](const StoreIsSlow &) { return "is slow"; }},
                      trouble);
}

static std::string text(const WorkerTrouble &trouble)
{
    if (trouble.hangs)
        return "hangs";
    if (trouble.failing > 0)
        return "fails runs";
    if (trouble.losesAnswers > 0)
        return "loses answers";
    if (trouble.repeatsAnswers > 0)
        return "repeats answers to list polls";
    if (trouble.lateOrdersOutliveCrash)
        return "carries orders out late, also in its next life";
    return trouble.late > 0 ? "carries orders out late" : "is slow";
}

static std::string text(const AnnounceAnotherWorker &stray)
{
    using Born = AnnounceAnotherWorker::Born;
    using CalledAt = AnnounceAnotherWorker::CalledAt;
    std::string result = stray.namesCalledWorker ? "its worker" : "another worker";
    if (stray.hasUnknownService)
        result += ", of an unknown service";
    if (stray.born == Born::Missing)
        result += ", without a life";
    else
        result += stray.born == Born::Later ? ", of a later life" : ", of the same life";
    if (stray.address != CalledAt::Missing)
        result += stray.address == CalledAt::WorkersAddress ? ", at its address" : ", at another address";
    return result;
}

std::string troubleText(const Trouble &trouble)
{
    return std::visit(
        Overloaded{
            [](const KillProcess &kill) {
                return text(kill.process) + (kill.losesPower ? " loses power" : " is killed");
            },
            [](const PauseProcess &pause) { return text(pause.process) + " is paused"; },
            [](const StopProcess &stop) { return text(stop.process) + " is stopped"; },
            [](const RestartEntriesInTurn &restart) {
                return "entries are restarted in turn, every " + std::to_string(restart.gap.count) + " ms";
            },
            [](const KillAll &kill) {
                return std::string(kill.losesPower ? "all lose power" : "all are killed")
                    + (kill.withWorkers ? ", the workers too" : "");
            },
            [](const CutLink &cut) {
                return text(cut.from) + (cut.bothWays ? " and " : " cannot send to ") + text(cut.to)
                    + (cut.bothWays ? " are cut off from each other" : "");
            },
            [](const TroubleStore &store) {
                return "store " + text(store.trouble) + (store.process ? " for " + text(*store.process) : "");
            },
            [](const TroubleWorker &worker) {
                return "worker-" + std::to_string(worker.worker) + " " + text(worker.trouble);
            },
            [](const CrashWorker &crash) { return "worker-" + std::to_string(crash.worker) + " crashes"; },
            [](const DealAnew &) { return std::string("partitions are dealt anew"); },
            [](const IsolateEntry &cut) {
                return "entry-" + std::to_string(cut.entry) + " is cut off from everything";
            },
            [](const RestartWithoutStore &restart) {
                return "store is down and entry-" + std::to_string(restart.entry) + " is restarted";
            },
            [](const CutGroup &cut) {
                std::string names;
                for (const ProcessName &process : cut.processes)
                    names += (names.empty() ? "" : ", ") + text(process);
                return names + " are cut off from the store and all other processes";
            },
            [](const AnnounceAnotherWorker &stray) {
                return "agent-" + std::to_string(stray.agent) + " hears announcements of " + text(stray);
            },
            [](const AnnounceFormerLife &former) {
                return "announcements of the former life of worker-" + std::to_string(former.worker)
                    + " arrive late";
            },
            [](const Burst &burst) { return "burst of " + std::to_string(burst.factor) + " times the load"; },
        },
        trouble);
}

} // namespace turmericwell
