// Brings each submission and lookup to the owner of its key, and waits while there is none that can serve it.
#pragma once

#include "entry/waiters.h"
#include "membership/roster.h"

#include <functional>
#include <list>
#include <mutex>
#include <optional>

namespace turmericwell {

// Who serves a key now. No owner: the roster is empty, or the key waits for a handover or a takeover.
struct KeyPlace
{
    std::optional<ProcessId> owner;
    // The owner in the view is this entry, but the named one still runs the submission and is only asked for
    // it.
    bool asksHolder = false;
    // Hash of the body that the holder runs.
    uint64_t bodyHash = 0;
};

// Answer of an entry that does not serve the key in its own view. Nothing was done with the submission.
constexpr int statusNotOwner = 421;

// A submission that was sent to an owner is sent again only to the same incarnation, which knows the key. Any
// other owner is only asked for the key, since the first one may have run it. Thread-safe.
class OwnerCalls
{
public:
    // Gets nothing if the connection was lost before the answer.
    using Reply = std::function<void(const std::optional<Answer> &answer)>;

    struct Handlers
    {
        std::function<KeyPlace(const Fingerprint &key)> place;
        // Both return false, without a reply, if the peer is not connected.
        std::function<bool(const ProcessId &peer, const SubmissionRequest &request, Reply reply)> forward;
        std::function<bool(const ProcessId &peer, const Fingerprint &key, bool cancel, Reply reply)> lookup;
        std::function<void(const SubmissionRequest &request, AnswerDelivery deliver)> submitHere;
        std::function<Answer(const Fingerprint &key, bool cancel)> lookupHere;
    };

    OwnerCalls(ProcessId self, Handlers handlers);

    void submit(SubmissionRequest request, AnswerDelivery deliver, Millis now);
    void lookup(const Fingerprint &key, bool cancel, AnswerDelivery deliver, Millis now);
    // A submission that a peer sent to this entry as the owner; it is not passed on to another owner.
    void submitAsOwner(const SubmissionRequest &request, const AnswerDelivery &deliver, Millis now);
    Answer lookupAsOwner(const Fingerprint &key, bool cancel);
    // Tries again what waits, and answers what has reached its deadline.
    void tick(Millis now);
    size_t waiting() const;

private:
    struct Call
    {
        // A lookup has no tasks.
        SubmissionRequest request;
        bool isLookup = false;
        bool cancel = false;
        AnswerDelivery deliver;
        Millis deadline;
        // The incarnation that may have taken the submission.
        std::optional<ProcessId> sentTo;
    };

    void advance(Call call);
    void advanceHere(Call call);
    void advanceAt(const KeyPlace &place, Call call);
    void replied(Call call, const ProcessId &owner, bool wasLookup, const std::optional<Answer> &answer);
    void park(Call call);

    const ProcessId m_self;
    Handlers m_handlers;
    mutable std::mutex m_mutex;
    std::list<Call> m_waiting;
};

} // namespace turmericwell
