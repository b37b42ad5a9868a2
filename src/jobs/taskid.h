// Identifiers of jobs, tasks and runs.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwell {

// Identifier of a job, chosen by the client: 64 bits, written as 16 hexadecimal digits.
using JobId = uint64_t;

std::string jobIdText(JobId id);
// Returns nullopt unless the text consists of 16 lower-case hexadecimal digits.
std::optional<JobId> parseJobId(std::string_view text);

struct TaskId
{
    JobId job = 0;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;

    auto operator<=>(const TaskId &) const = default;
};

// One start of a task. The numbers of a task's runs are positive and increase with each start.
struct RunId
{
    TaskId task;
    uint32_t number = 0;

    auto operator<=>(const RunId &) const = default;
};

// Formats the identifier as "JOB.OCCURRENCE.STEP.INDEX", as it appears in logs.
std::string taskIdText(const TaskId &task);
std::optional<TaskId> parseTaskId(std::string_view text);

} // namespace turmericwell

template <>
struct std::hash<turmericwell::TaskId>
{
    size_t operator()(const turmericwell::TaskId &task) const noexcept
    {
        constexpr uint64_t mixer = 0x9e3779b97f4a7c15ULL;
        const uint64_t place = (uint64_t{task.step} << 48U) ^ (uint64_t{task.occurrence} << 32U) ^ task.index;
        return task.job ^ (place * mixer);
    }
};
