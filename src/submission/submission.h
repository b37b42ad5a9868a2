// State of one submission at its owner, and the rules by which task outcomes make up its answer.
#pragma once

#include "config/declarations.h"
#include "turmericwell/outcome.h"
#include "turmericwell/task.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericwell {

// Names who waits for an answer: a caller connection or a forward from another entry. Chosen by the process
// shell.
using WaiterId = uint64_t;

struct TaskProgress
{
    bool ended = false;
    // Meaningful once the task has ended.
    Outcome outcome = Outcome::Unknown;
    // Number of the awaited attempt; grows with each enqueue, so a result of an earlier attempt never
    // matches.
    uint32_t attempt = 0;
    // Attempts that ended otherwise than NotRun.
    uint32_t starts = 0;
    // Attempts that ended as NotRun; sets the backoff.
    uint32_t refusals = 0;
    std::string reason;
    std::string answer;
};

enum class SubmissionPhase : uint8_t {
    // Runs at this entry.
    Active,
    // Runs at another entry, the holder, that owned the key in an earlier view.
    Held,
    // Was started by a dead entry; known from the records of agents only.
    Imported,
    Answered,
};

struct Submission
{
    SubmissionPhase phase = SubmissionPhase::Active;
    SubmissionKind kind = SubmissionKind::Request;
    // Zero if not known, as for a key of which only the claim was found.
    uint64_t bodyHash = 0;
    Millis firstSeen;
    // The key carries a credible creation time, so it needs no tombstone.
    bool timedKey = false;
    // Invariant: empty once the answer is final. An answered Unknown request keeps its task, so that a late
    // result can still update the answer.
    std::vector<TaskProgress> tasks;
    uint32_t ended = 0;
    // Set while Active.
    SubmissionRequest request;
    CallDeclaration call;
    Millis deadline;
    // Tasks that have not ended are being revoked or stopped; nothing is enqueued any more.
    bool closing = false;
    // Why closing began, if not for the outcome of a task.
    std::string closeReason;
    std::vector<WaiterId> waiters;
    // Set while Held.
    ProcessId holder;
    // Set while Answered.
    Answer answer;
};

// Settles the answer from the outcomes of all tasks. Complete only if each task is complete. A job with a
// task of unknown outcome is Failed: a job is complete or failed, and `failed` claims nothing of single
// tasks. NotRun only if no task has started.
Answer makeAnswer(Submission &submission);

// Time before a task that was refused is queued again: doubles from 10 ms to 1 s.
Millis refusalBackoff(uint32_t refusals);

} // namespace turmericwell
