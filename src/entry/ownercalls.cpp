// Waiting, forwarding and asking again.
#include "entry/ownercalls.h"

#include <memory>

namespace turmericwell {

static Answer entryLost()
{
    return {.outcome = Outcome::Unknown, .reason = std::string(reason::entryLost), .status = 504};
}

// Unknown and not NotRun: an earlier submission of the same key may have run at the owner that is away.
static Answer ownerUnavailable()
{
    constexpr Millis retryAfter = {1'000};
    return {.outcome = Outcome::Unknown,
            .reason = std::string(reason::ownerUnavailable),
            .status = 503,
            .retryAfter = retryAfter};
}

static Answer notOwner()
{
    return {.outcome = Outcome::Unknown,
            .reason = std::string(reason::ownerUnavailable),
            .status = statusNotOwner};
}

OwnerCalls::OwnerCalls(ProcessId self, Handlers handlers)
    : m_self(std::move(self))
    , m_handlers(std::move(handlers))
{ }

void OwnerCalls::submit(SubmissionRequest request, AnswerDelivery deliver, Millis now)
{
    const Millis deadline = now + request.budget;
    advance({.request = std::move(request), .deliver = std::move(deliver), .deadline = deadline});
}

void OwnerCalls::lookup(const Fingerprint &key, bool cancel, AnswerDelivery deliver, Millis now)
{
    constexpr Millis lookupBudget = {5'000};
    advance({.request = {.key = key},
             .isLookup = true,
             .cancel = cancel,
             .deliver = std::move(deliver),
             .deadline = now + lookupBudget});
}

void OwnerCalls::submitAsOwner(const SubmissionRequest &request, const AnswerDelivery &deliver, Millis now)
{
    const KeyPlace place = m_handlers.place(request.key);
    if (place.asksHolder)
        submit(request, deliver, now);
    else if (place.owner == m_self)
        m_handlers.submitHere(request, deliver);
    else
        deliver(notOwner());
}

Answer OwnerCalls::lookupAsOwner(const Fingerprint &key, bool cancel)
{
    // An earlier owner still answers for what it runs.
    Answer answer = m_handlers.lookupHere(key, cancel);
    return answer.status == 404 && m_handlers.place(key).owner != m_self ? notOwner() : answer;
}

void OwnerCalls::advance(Call call)
{
    const KeyPlace place = m_handlers.place(call.request.key);
    if (!place.owner)
        park(std::move(call));
    else if (*place.owner == m_self)
        advanceHere(std::move(call));
    else if (place.asksHolder && !call.isLookup && place.bodyHash != call.request.bodyHash)
        call.deliver({.outcome = Outcome::NotRun, .reason = std::string(reason::conflict), .status = 409});
    else
        advanceAt(place, std::move(call));
}

void OwnerCalls::advanceHere(Call call)
{
    if (!call.isLookup && !call.sentTo) {
        m_handlers.submitHere(call.request, std::move(call.deliver));
        return;
    }
    const Answer answer = m_handlers.lookupHere(call.request.key, call.cancel);
    if (answer.running && !call.isLookup)
        park(std::move(call));
    else
        call.deliver(!call.isLookup && answer.status == 404 ? entryLost() : answer);
}

void OwnerCalls::advanceAt(const KeyPlace &place, Call call)
{
    const ProcessId &owner = *place.owner;
    const bool asksOnly = call.isLookup || place.asksHolder || (call.sentTo && *call.sentTo != owner);
    // The call lives on in the reply; it is only taken back if the peer is not connected.
    const auto shared = std::make_shared<Call>(std::move(call));
    const Reply reply = [this, shared, owner, asksOnly](const std::optional<Answer> &answer) {
        replied(std::move(*shared), owner, asksOnly, answer);
    };
    const bool sent = asksOnly ? m_handlers.lookup(owner, shared->request.key, shared->cancel, reply)
                               : m_handlers.forward(owner, shared->request, reply);
    if (!sent)
        park(std::move(*shared));
}

void OwnerCalls::replied(Call call, const ProcessId &owner, bool wasLookup,
                         const std::optional<Answer> &answer)
{
    if (answer && answer->status == statusNotOwner) {
        park(std::move(call));
    } else if (!answer) {
        if (!wasLookup)
            call.sentTo = owner;
        park(std::move(call));
    } else if (call.isLookup || !wasLookup) {
        call.deliver(*answer);
    } else if (answer->running) {
        park(std::move(call));
    } else {
        call.deliver(answer->status == 404 ? entryLost() : *answer);
    }
}

void OwnerCalls::park(Call call)
{
    const std::lock_guard lock(m_mutex);
    m_waiting.push_back(std::move(call));
}

void OwnerCalls::tick(Millis now)
{
    std::list<Call> calls;
    {
        const std::lock_guard lock(m_mutex);
        calls.swap(m_waiting);
    }
    for (Call &call : calls) {
        if (now >= call.deadline) {
            call.deliver(call.sentTo ? entryLost() : ownerUnavailable());
            continue;
        }
        call.request.budget = call.deadline - now;
        advance(std::move(call));
    }
}

size_t OwnerCalls::waiting() const
{
    const std::lock_guard lock(m_mutex);
    return m_waiting.size();
}

} // namespace turmericwell
