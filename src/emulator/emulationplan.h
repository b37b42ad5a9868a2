// The troubles of an emulated day.
#pragma once

#include "emulator/emulatedstore.h"
#include "emulator/emulatedworker.h"

#include <string>
#include <variant>
#include <vector>

namespace turmericwell {

struct EmulatedSize
{
    uint32_t entries = 3;
    uint32_t agents = 11;
};

struct ProcessName
{
    fleet::ProcessRole role = fleet::ProcessRole::Entry;
    uint32_t index = 0;
};

// Ends the process without notice; it starts again at the end of the trouble. Without power its connections
// are not reset.
struct KillProcess
{
    ProcessName process;
    bool losesPower = false;
};
struct PauseProcess
{
    ProcessName process;
};
// A planned stop; the process starts again when it has ended.
struct StopProcess
{
    ProcessName process;
};
// Planned stops of all entries, one after the other.
struct RestartEntriesInTurn
{
    Millis gap;
};
struct KillAll
{
    bool losesPower = false;
    // Workers lose power with their agents and have nothing left when they are back.
    bool withWorkers = false;
    // The processes are back at different times up to this long after the end of the trouble.
    Millis startSpread = {0};
};
// One way only, or both.
struct CutLink
{
    ProcessName from;
    ProcessName to;
    bool bothWays = true;
};
struct TroubleStore
{
    StoreTrouble trouble;
    // All processes if empty.
    std::optional<ProcessName> process;
};
struct TroubleWorker
{
    uint32_t worker = 0;
    WorkerTrouble trouble;
};
struct CrashWorker
{
    uint32_t worker = 0;
};
// A process that is no worker of this deployment announces a worker to the agent, again and again.
struct AnnounceAnotherWorker
{
    // What the announcement says beside what the called worker would say.
    enum class Born : uint8_t { Missing, Present, Later };
    enum class CalledAt : uint8_t { Missing, WorkersAddress, AnotherAddress };

    uint32_t agent = 0;
    bool namesCalledWorker = false;
    bool hasUnknownService = false;
    Born born = Born::Later;
    CalledAt address = CalledAt::Missing;
};
// Announcements of the worker's former life arrive late at its agent; none if it has not crashed.
struct AnnounceFormerLife
{
    uint32_t worker = 0;
};
struct DealAnew
{
};
// The entry is cut off from the store and from all other processes. Its clients still reach it.
struct IsolateEntry
{
    uint32_t entry = 0;
};
// The store is down for all while the entry is restarted as planned. The times of group members stand still.
struct RestartWithoutStore
{
    uint32_t entry = 0;
};
// The processes reach each other and their workers, but neither the store nor any other process. Their
// clients still reach them.
struct CutGroup
{
    std::vector<ProcessName> processes;
};
struct Burst
{
    double factor = 1.9;
};

using Trouble = std::variant<KillProcess, PauseProcess, StopProcess, RestartEntriesInTurn, KillAll, CutLink,
                             TroubleStore, TroubleWorker, CrashWorker, DealAnew, Burst, IsolateEntry,
                             RestartWithoutStore, CutGroup, AnnounceAnotherWorker, AnnounceFormerLife>;

struct PlannedTrouble
{
    Millis at;
    Millis length;
    Trouble trouble;
};

using EmulationPlan = std::vector<PlannedTrouble>;

struct PlanOptions
{
    uint64_t seed = 1;
    EmulatedSize size;
    // Troubles begin in this span, and all of them have ended a little after it.
    Millis begin = {2'000};
    Millis end = {14'000};
    // 0 for no other troubles than those of the numbers below.
    uint32_t most = 8;
    // Most entries that are cut off from everything or restarted during an outage of the store, besides the
    // other troubles. With 0 the plan is the one that the same seed gave before there were such troubles.
    uint32_t mostIsolations = 0;
    // Most groups of one entry and some agents that are cut off from the rest, besides the other troubles.
    uint32_t mostGroupCuts = 0;
    // Most groups of any number of entries and agents that are cut off from the rest and the store, as zones
    // are, besides the other troubles. An entry on either side may be restarted, and the store may fail,
    // meanwhile.
    uint32_t mostZoneCuts = 0;
    // Most series of troubles of one agent, besides the other troubles: quick restarts, cuts of a link to an
    // entry, and a worker whose runs hang and which carries orders out late.
    uint32_t mostAgentSeries = 0;
    // Most agents that hear announcements which are not of their worker, or repeated answers of it, besides
    // the other troubles.
    uint32_t mostStrayAnnouncements = 0;
    // Crashes of workers, besides the other troubles.
    uint32_t workerCrashes = 0;
    // Most workers that crash while orders are on their way, which their next life carries out, besides the
    // other troubles.
    uint32_t mostLateOrders = 0;
};

// All processes are down at once.
struct OutageOfAll
{
    Millis at;
    Millis length = {1'000};
    Millis startSpread = {100};
    bool losesPower = true;
    bool withWorkers = false;
};
// The store is slow while all entries are restarted, one after the other.
struct SlowRestart
{
    Millis at;
    Millis length = {6'000};
    int64_t storeFactor = 65;
    Millis gap = {600};
};

EmulationPlan planOf(const OutageOfAll &outage);
EmulationPlan planOf(const SlowRestart &restart);

// Equal options give equal plans.
EmulationPlan drawPlan(const PlanOptions &options);
// For logs and reports.
std::string troubleText(const Trouble &trouble);

} // namespace turmericwell
