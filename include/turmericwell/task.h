// Value types that name tasks, submissions and processes across all modules.
#pragma once

#include "turmericwell/fingerprint.h"
#include "turmericwell/millis.h"
#include "turmericwell/outcome.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace turmericwell {

// One attempt of one task of a submission. Attempts differ only for repeatable calls that are retried after a
// start.
struct TaskRef
{
    Fingerprint submission;
    uint32_t index = 0;
    uint32_t attempt = 0;

    auto operator<=>(const TaskRef &) const = default;
    // "<fingerprint>-<index>" with ".<attempt>" for attempts above zero; the Task-Id header of target
    // requests.
    std::string text() const;
};

// What a task needs from a worker. Zero means no need.
struct TaskNeeds
{
    uint32_t cores = 0;
    uint32_t memoryGb = 0;
    uint32_t accelerators = 0;

    auto operator<=>(const TaskNeeds &) const = default;
};

// A process instance: the incarnation distinguishes restarts under the same name.
struct ProcessId
{
    std::string name;
    uint64_t incarnation = 0;

    auto operator<=>(const ProcessId &) const = default;
};

// A target as it announced itself, and the worker that it runs on.
struct TargetInfo
{
    std::string name;
    std::string service;
    std::string worker;
    std::string rack;
    std::string zone;
    uint32_t slots = 0;
    uint32_t connections = 0;
    uint32_t cores = 0;
    uint32_t memoryGb = 0;
    uint32_t accelerators = 0;

    auto operator<=>(const TargetInfo &) const = default;
};

// A task as an entry sends it to an agent.
struct TaskStart
{
    TaskRef task;
    uint32_t taskCount = 1;
    uint64_t bodyHash = 0;
    std::string service;
    std::string call;
    std::string team;
    std::string payload;
    // Time left until the caller's deadline; the agent does not start the task after it.
    Millis budget;
    uint32_t runMs = 0;
    bool repeatable = false;
    bool usesCredit = false;
};

// The end of one attempt of a task, as the agent reports it.
struct TaskResult
{
    TaskRef task;
    Outcome outcome = Outcome::Unknown;
    std::string reason;
    std::string answer;
    Millis ran;
    // The slot credit that the start used goes back to the entry with this result.
    bool returnsCredit = false;
};

enum class SubmissionKind : uint8_t { Request, Job };

// A whole submission as the caller API or another entry passes it to its owner.
struct SubmissionRequest
{
    SubmissionKind kind = SubmissionKind::Request;
    Fingerprint key;
    std::string keyText;
    uint64_t bodyHash = 0;
    std::string service;
    std::string call;
    std::string team;
    std::vector<std::string> tasks;
    // Time left until the caller's deadline.
    Millis budget;
    uint32_t runMs = 0;
    TaskNeeds needs;
};

} // namespace turmericwell

template <>
struct std::hash<turmericwell::TaskRef>
{
    size_t operator()(const turmericwell::TaskRef &task) const noexcept
    {
        return task.submission.low ^ (task.index * 0x9e3779b97f4a7c15ULL) ^ task.attempt;
    }
};
