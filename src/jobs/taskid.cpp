// Text formats of job and task identifiers.
#include "jobs/taskid.h"

#include <array>
#include <charconv>

namespace turmericwell {

constexpr size_t jobIdDigits = 16;
constexpr int hexBase = 16;

std::string jobIdText(JobId id)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text(jobIdDigits, '0');
    for (size_t i = jobIdDigits; i-- > 0; id >>= 4U)
        text[i] = digits[id & 0xfU];
    return text;
}

std::optional<JobId> parseJobId(std::string_view text)
{
    if (text.size() != jobIdDigits || text.find_first_not_of("0123456789abcdef") != std::string_view::npos)
        return std::nullopt;
    JobId id = 0;
    std::from_chars(text.data(), text.data() + text.size(), id, hexBase);
    return id;
}

std::string taskIdText(const TaskId &task)
{
    return jobIdText(task.job) + '.' + std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.'
        + std::to_string(task.index);
}

static std::optional<uint32_t> consumeNumber(std::string_view &text)
{
    if (text.empty() || text.front() != '.')
        return std::nullopt;
    text.remove_prefix(1);
    uint32_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end == text.data())
        return std::nullopt;
    text.remove_prefix(static_cast<size_t>(end - text.data()));
    return number;
}

std::optional<TaskId> parseTaskId(std::string_view text)
{
    const std::optional<JobId> job = parseJobId(text.substr(0, jobIdDigits));
    if (!job)
        return std::nullopt;
    text.remove_prefix(jobIdDigits);
    const std::optional<uint32_t> occurrence = consumeNumber(text);
    const std::optional<uint32_t> step = occurrence ? consumeNumber(text) : std::nullopt;
    const std::optional<uint32_t> index = step ? consumeNumber(text) : std::nullopt;
    if (!index || !text.empty())
        return std::nullopt;
    return TaskId{.job = *job, .occurrence = *occurrence, .step = *step, .index = *index};
}

} // namespace turmericwell
