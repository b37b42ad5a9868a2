// What an agent knows of its worker: announcements, lists of runs, and answers to orders.
#pragma once

#include "jobs/workerpool.h"
#include "proto/fleetcodec.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

// A worker's report about itself.
struct WorkerAnnouncement
{
    std::string worker;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    Room capacity;
    bool draining = false;
    // Start of this life of the worker, in Unix milliseconds; higher values replace lower ones.
    int64_t born = 0;
    // Rises with each announcement of one life.
    uint64_t sequence = 0;
};

struct ListedRun
{
    RunId run;
    std::string checkpoint;
};

struct ListedEnd
{
    // Rises from 1 in each life of the worker.
    uint64_t number = 0;
    RunId run;
    EndKind kind = EndKind::Done;
    std::string checkpoint;
};

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
    // The run's number is not above those that ended at the worker.
    OldRun,
    // The order's deadline had passed.
    TooLate,
    NoRoom,
    Unhealthy,
    // Another life of the worker answered.
    WrongWorker,
    // The worker could not read the order.
    Invalid,
    // The order may have been carried out, or may still be.
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
    // On the worker's clock; an order that arrives later is rejected.
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

// Renews the lease of everything that runs and asks for the lists.
struct HoldCall
{
    // Names the call to WorkerKeeper::holdAnswered.
    uint64_t number = 0;
    Millis deadline;
    uint64_t fence = 0;
    // The worker may forget its ends up to this number.
    uint64_t endsStored = 0;
    // The answer waits this long for an end.
    Millis wait;
    std::string_view worker;
};

} // namespace turmericwell
