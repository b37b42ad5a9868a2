// Value types for tasks, submissions and processes that all modules share.
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

// One attempt of one task of a submission. The attempt is above zero only for repeatable calls that are
// retried after a start.
struct TaskRef
{
    Fingerprint submission;
    uint32_t index = 0;
    uint32_t attempt = 0;

    auto operator<=>(const TaskRef &) const = default;
    // Returns "<fingerprint>-<index>", followed by ".<attempt>" if the attempt is above zero. Requests to
    // targets carry it as the Task-Id header.
    std::string text() const;
};

// Resources that a task requires from a worker; zero means no requirement.
struct TaskNeeds
{
    uint32_t cores = 0;
    uint32_t memoryGb = 0;
    uint32_t accelerators = 0;

    auto operator<=>(const TaskNeeds &) const = default;
};

// One incarnation of a process; the incarnation number distinguishes restarts under the same name.
struct ProcessId
{
    std::string name;
    uint64_t incarnation = 0;

    auto operator<=>(const ProcessId &) const = default;
};

// A target as described by its announcement, and the worker on which it runs.
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

// A task that an entry sends to an agent for execution.
struct TaskStart
{
    TaskRef task;
    uint32_t taskCount = 1;
    uint64_t bodyHash = 0;
    std::string service;
    std::string call;
    std::string team;
    std::string payload;
    // Time left until the caller's deadline, after which the agent does not start the task.
    Millis budget;
    uint32_t runMs = 0;
    bool repeatable = false;
    bool usesCredit = false;
};

// Result of one attempt of a task, as reported by the agent.
struct TaskResult
{
    TaskRef task;
    Outcome outcome = Outcome::Unknown;
    std::string reason;
    std::string answer;
    Millis ran;
    // This result returns the slot credit that the start used to the entry.
    bool returnsCredit = false;
};

enum class SubmissionKind : uint8_t { Request, Job };

// A complete submission, as the caller API or another entry passes it to the owning entry.
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
