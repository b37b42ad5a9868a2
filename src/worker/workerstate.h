// Messages between an agent and its worker: announcements, lists of runs, calls and their answers.
#pragma once

#include "jobs/runslots.h"
#include "jobs/workerpool.h"
#include "proto/fleetcodec.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

// Registration of a worker with its agent.
struct WorkerAnnouncement
{
    std::string worker;
    std::string service;
    std::string zone;
    // Where the worker accepts calls, as HOST:PORT; empty if the announcement does not tell.
    std::string address;
    std::vector<std::string> labels;
    Resources capacity;
    bool draining = false;
    // Start time of this incarnation of the worker, in Unix milliseconds; higher values supersede lower ones.
    int64_t born = 0;
    // Increases with each announcement of one incarnation.
    uint64_t sequence = 0;
};

struct ListedRun
{
    RunId run;
    std::string checkpoint;
};

struct ListedEnd
{
    // Numbered from 1 in each incarnation of the worker.
    uint64_t number = 0;
    RunId run;
    EndKind kind = EndKind::Done;
    std::string checkpoint;
};

// A worker lists at most this many ends: those with the lowest numbers of the ones that it may not discard.
constexpr size_t mostListedEnds = mostRunsOfWorker;

struct WorkerLists
{
    Millis workerClock;
    int64_t born = 0;
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
};

enum class OrderAnswer : uint8_t {
    Done,
    // A higher fencing token has been seen.
    Fenced,
    // The run's number is not higher than that of a run of the task that has ended at the worker.
    OldRun,
    // The order arrived after its deadline.
    TooLate,
    NoRoom,
    Unhealthy,
    // Another incarnation of the worker answered.
    WrongWorker,
    // The worker could not read the order.
    Invalid,
    // No answer was received. The order may have been carried out, or may be carried out later.
    NoAnswer,
};

constexpr std::string_view orderAnswerName(OrderAnswer answer)
{
    switch (answer) {
    case OrderAnswer::Done:
        return "done";
    case OrderAnswer::Fenced:
        return "fenced";
    case OrderAnswer::OldRun:
        return "old run";
    case OrderAnswer::TooLate:
        return "too late";
    case OrderAnswer::NoRoom:
        return "no room";
    case OrderAnswer::Unhealthy:
        return "unhealthy";
    case OrderAnswer::WrongWorker:
        return "wrong worker";
    case OrderAnswer::Invalid:
        return "invalid";
    case OrderAnswer::NoAnswer:
        break;
    }
    return "no answer";
}

struct StartCall
{
    RunId run;
    std::string_view payload;
    std::string_view checkpoint;
    // On the worker's clock; the worker rejects an order that arrives later.
    Millis deadline;
    uint64_t fence = 0;
    std::string_view worker;
};

struct StopCall
{
    RunId run;
    uint64_t fence = 0;
    std::string_view worker;
};

// List poll: renews the lease of all runs and requests the worker's lists.
struct ListPollCall
{
    // Identifies the call when its answer is passed back.
    uint64_t number = 0;
    // End of the renewed lease on the worker's clock; 0 renews nothing.
    Millis deadline;
    uint64_t fence = 0;
    // The worker may discard its ends up to this number.
    uint64_t endsStored = 0;
    // The worker delays its answer by up to this time until a run ends.
    Millis wait;
    std::string_view worker;
};

} // namespace turmericwell
