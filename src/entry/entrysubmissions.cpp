// Submissions and lookups of callers and peers at an entry.
#include "entry/entryserver.h"

namespace turmericwell {

OwnerCalls::Handlers EntryServer::callHandlers()
{
    return {.place = [this](const Fingerprint &key) { return m_state.place(key, Clock::now()); },
            .forward =
                [this](const ProcessId &peer, const SubmissionRequest &request, OwnerCalls::Reply reply) {
                    record(EventKind::SubmissionForwarded, peer.name);
                    return m_peers.forward(peer, request, std::move(reply));
                },
            .lookup =
                [this](const ProcessId &peer, const Fingerprint &key, bool cancel, OwnerCalls::Reply reply) {
                    return m_peers.lookup(peer, key, cancel, std::move(reply));
                },
            .submitHere = [this](const SubmissionRequest &request,
                                 AnswerDelivery deliver) { submitHere(request, std::move(deliver)); },
            .lookupHere = [this](const Fingerprint &key, bool cancel) { return lookupHere(key, cancel); },
            .lookupOwn = [this](const Fingerprint &key) { return m_dispatcher.lookup(key); }};
}

void EntryServer::submit(const SubmissionRequest &request, AnswerDelivery deliver)
{
    const Millis now = Clock::now();
    const WaiterId waiter = m_waiters.add(std::move(deliver), now + request.budget + Waiters::answerSlack);
    m_calls.submit(
        request, [this, waiter](const Answer &answer) { m_waiters.answer(waiter, answer); }, now);
}

void EntryServer::submitHere(const SubmissionRequest &request, AnswerDelivery deliver)
{
    const Millis now = Clock::now();
    if (!m_dispatcher.lookup(request.key)) {
        if (const std::optional<Answer> known = m_state.answerFor(request.key, request.bodyHash)) {
            deliver(*known);
            return;
        }
        const ConfigPtr config = m_dispatcher.config();
        const ServiceDeclaration *service = config->declarations.findService(request.service);
        const CallDeclaration *call = service ? service->findCall(request.call) : nullptr;
        if (m_state.isIncomplete(request.key, now) && call && !call->repeatable) {
            deliver({.outcome = Outcome::Unknown,
                     .reason = std::string(reason::incompleteTakeover),
                     .status = 503});
            return;
        }
        m_claims.add(request.key);
    }
    // The entry that received the submission answers at the deadline; this one keeps the waiter longer.
    const Millis deadline = now + request.budget + Waiters::answerSlack * 2;
    AnswerDelivery measured = [this, now, deliver = std::move(deliver)](const Answer &answer) {
        m_metrics.observe("submission_ms", static_cast<double>((Clock::now() - now).count));
        m_metrics.count("answers_total", toString(answer.outcome));
        deliver(answer);
    };
    perform(m_dispatcher.submit(request, m_waiters.add(std::move(measured), deadline), now));
}

void EntryServer::lookup(const JobLookup &job, const AnswerDelivery &deliver)
{
    constexpr Millis lookupBound = {7'000};
    const Millis now = Clock::now();
    const WaiterId waiter = m_waiters.add(deliver, now + lookupBound);
    m_calls.lookup(
        job.key, job.cancel, [this, waiter](const Answer &answer) { m_waiters.answer(waiter, answer); }, now);
}

Answer EntryServer::lookupHere(const Fingerprint &key, bool cancel)
{
    if (cancel)
        perform(m_dispatcher.cancel(key, Clock::now()));
    std::optional<Answer> answer = m_dispatcher.lookup(key);
    if (!answer)
        answer = m_state.answerFor(key, 0);
    return answer
        ? *answer
        : Answer{.outcome = Outcome::Unknown, .reason = std::string(reason::unknownJob), .status = 404};
}

} // namespace turmericwell
