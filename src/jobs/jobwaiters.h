// The callers that wait for the answer to a call for one job.
#pragma once

#include "proto/fleetcodec.h"
#include "turmericwell/millis.h"

#include <functional>
#include <string>
#include <vector>

namespace turmericwell {

struct JobReply
{
    fleet::CallStatus status = fleet::CallStatus::NotReady;
    JobPhase phase = JobPhase::Active;
    bool running = false;
    Millis retryAfter;
    std::string reason;
};

using JobReplyHandler = std::function<void(JobReply)>;

// Identifies a call across its attempts.
struct CallerId
{
    // Name of the entry that received the call from its client; empty for the owner itself.
    std::string entry;
    // Number of the call at that entry; 0 for a caller that cannot be told from others.
    uint64_t call = 0;

    bool isKnown() const { return call != 0; }
    bool operator==(const CallerId &other) const = default;
};

// Bounded by the calls that are open at all entries: a call has one waiter, and none once its wait is over.
class JobWaiters
{
public:
    // Replaces the waiter of an earlier attempt. Waiters whose wait is over are dropped without an answer:
    // their entries have answered the clients.
    void add(CallerId caller, Millis until, JobReplyHandler onDone, Millis now);
    // Returns false if the call has no waiter.
    bool remove(const CallerId &caller);
    // Moves the waiters of another set to this one.
    void take(JobWaiters &&other);
    // Removes all waiters and returns their handlers.
    std::vector<JobReplyHandler> takeAll();
    bool isEmpty() const { return m_waiters.empty(); }
    size_t size() const { return m_waiters.size(); }
    // End of the longest wait; the earliest time if nobody waits.
    Millis latestEnd() const;

private:
    struct Waiter
    {
        CallerId caller;
        Millis until;
        JobReplyHandler onDone;
    };

    std::vector<Waiter> m_waiters;
};

} // namespace turmericwell
