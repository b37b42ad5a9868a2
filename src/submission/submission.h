// State of one submission at its owner, and the rules that derive its answer from the outcomes of its tasks.
#pragma once

#include "config/declarations.h"
#include "turmericwell/outcome.h"
#include "turmericwell/task.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericwell {

// Identifies the recipient of an answer: a caller's connection or a forward from another entry. Assigned by
// the process shell.
using WaiterId = uint64_t;

struct TaskProgress
{
    bool ended = false;
    // Meaningful once the task has ended.
    Outcome outcome = Outcome::Unknown;
    // Number of the current attempt; it increases with each enqueue, so the result of an earlier attempt
    // never matches.
    uint32_t attempt = 0;
    // Attempts that ended with an outcome other than NotRun.
    uint32_t starts = 0;
    // Attempts that ended with NotRun; determines the backoff.
    uint32_t rejections = 0;
    std::string reason;
    std::string answer;
};

enum class SubmissionPhase : uint8_t {
    // Runs at this entry.
    Active,
    // Runs at another entry, the holder, which owned the key in an earlier view.
    Held,
    // Was started by a dead entry; known only from the records of agents and the claims log.
    Imported,
    Answered,
};

struct Submission
{
    SubmissionPhase phase = SubmissionPhase::Active;
    SubmissionKind kind = SubmissionKind::Request;
    // Zero if unknown, for instance for a key of which only the claim was found.
    uint64_t bodyHash = 0;
    Millis firstSeen;
    // The key contains a credible creation time, so it needs no tombstone.
    bool timedKey = false;
    // Invariant: empty once the answer is final. An answered request of outcome Unknown retains its task, so
    // that a late result can still update the answer.
    std::vector<TaskProgress> tasks;
    uint32_t ended = 0;
    // Set while Active.
    SubmissionRequest request;
    CallDeclaration call;
    Millis deadline;
    // The tasks that have not ended are being revoked or stopped, and no further task is enqueued.
    bool closing = false;
    // Reason for closing, unless it was the outcome of a task.
    std::string closeReason;
    std::vector<WaiterId> waiters;
    // Set while Held.
    ProcessId holder;
    // Set while Answered.
    Answer answer;
};

// Derives the answer from the outcomes of all tasks. It is Complete only if every task is complete, and
// NotRun only if no task has started. A job with a task of unknown outcome is Failed: a job is either
// complete or failed, and `failed` makes no statement about individual tasks.
Answer makeAnswer(Submission &submission);

// Delay before a rejected task is queued again: doubles from 10 ms up to 1 s.
Millis rejectionBackoff(uint32_t rejections);

} // namespace turmericwell
