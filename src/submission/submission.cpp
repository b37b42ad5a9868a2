// Combines the outcomes of the tasks into the answer of a submission.
#include "submission/submission.h"

#include <algorithm>

namespace turmericwell {

static int severity(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Complete:
        return 0;
    case Outcome::NotRun:
        return 1;
    case Outcome::Failed:
        return 2;
    case Outcome::Unknown:
        break;
    }
    return 3;
}

static int statusOf(Outcome outcome, std::string_view why)
{
    if (outcome == Outcome::Complete)
        return 200;
    if (outcome == Outcome::Failed)
        return 502;
    if (outcome == Outcome::Unknown || why == reason::deadline)
        return 504;
    return 503;
}

Answer makeAnswer(Submission &submission)
{
    uint32_t ran = 0;
    const TaskProgress *worst = nullptr;
    for (const TaskProgress &task : submission.tasks) {
        if (task.starts > 0 || task.outcome != Outcome::NotRun)
            ++ran;
        if (!worst || severity(task.outcome) > severity(worst->outcome))
            worst = &task;
    }
    Answer answer{.tasks = static_cast<uint32_t>(submission.tasks.size()), .finished = ran};
    answer.outcome = worst ? worst->outcome : Outcome::Failed;
    answer.reason = worst ? worst->reason : std::string();
    // Closing began before any task had ended badly, so its reason is the cause of the later outcomes.
    if (!submission.closeReason.empty())
        answer.reason = submission.closeReason;
    const bool isJob = submission.kind == SubmissionKind::Job;
    if (answer.outcome == Outcome::NotRun && ran > 0)
        answer.outcome = Outcome::Failed;
    if (answer.outcome == Outcome::Unknown && isJob)
        answer.outcome = Outcome::Failed;
    answer.status = statusOf(answer.outcome, answer.reason);
    if (answer.outcome == Outcome::Complete) {
        answer.reason.clear();
        answer.answers.reserve(submission.tasks.size());
        for (TaskProgress &task : submission.tasks)
            answer.answers.push_back(std::move(task.answer));
    }
    return answer;
}

Millis rejectionBackoff(uint32_t rejections)
{
    // Without a backoff, 110,000 rejections with reason `stale` were observed in the first seconds of a
    // start-up.
    constexpr Millis first = {10};
    constexpr Millis longest = {1'000};
    constexpr uint32_t maxDoublings = 7;
    const uint32_t doublings = std::min(rejections > 0 ? rejections - 1 : 0, maxDoublings);
    return std::min(first * (int64_t{1} << doublings), longest);
}

} // namespace turmericwell
