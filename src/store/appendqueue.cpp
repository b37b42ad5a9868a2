// Batching, retries and fencing of appends, with sequence numbers.
#include "store/appendqueue.h"

#include <algorithm>
#include <random>

namespace turmericwell {

uint64_t randomFirstSequence()
{
    // Numbers up to 2^53 are exact in every JSON reader.
    constexpr uint64_t mostFirstSequence = uint64_t{1} << 48U;
    std::random_device device;
    return std::uniform_int_distribution<uint64_t>(1, mostFirstSequence)(device);
}

AppendQueue::AppendQueue(AppendQueueOptions options, StoreApi &store, IoContext &io, StructuredLog &log)
    : m_options(std::move(options))
    , m_store(store)
    , m_timers(io)
    , m_log(log)
    , m_sequence(m_options.firstSequence)
{ }

void AppendQueue::open(std::function<void(AppendOutcome)> onOpen)
{
    m_onOpen = std::move(onOpen);
    m_opening = true;
    m_inFlight = true;
    m_batchStartedAt = Clock::now();
    send();
}

void AppendQueue::add(std::string key, std::string value, bool mayDrop, Done onDone)
{
    if (m_fenced) {
        m_timers.after({0}, [onDone = std::move(onDone)] { onDone(AppendOutcome::Superseded); });
        return;
    }
    m_waiting.push_back({.record = {.key = std::move(key), .value = std::move(value)},
                         .mayDrop = mayDrop,
                         .addedAt = Clock::now(),
                         .onDone = std::move(onDone)});
    sendNext();
}

void AppendQueue::confirm(std::function<void()> onConfirmed)
{
    if (m_fenced)
        return;
    m_waitingConfirmations.push_back(std::move(onConfirmed));
    sendNext();
}

void AppendQueue::sendNext()
{
    if (m_inFlight || !hasNext() || m_fenced || m_sendScheduled)
        return;
    const Millis now = Clock::now();
    const Millis earliest = m_sentAt + m_options.minInterval;
    // Deferred even without a delay, so that records added by the same event share an append.
    m_sendScheduled = true;
    m_timers.after(std::max(Millis{0}, earliest - now), [this] {
        m_sendScheduled = false;
        if (m_inFlight || !hasNext() || m_fenced)
            return;
        m_confirmations = std::exchange(m_waitingConfirmations, {});
        size_t bytes = 0;
        while (!m_waiting.empty() && bytes < m_options.maxBytes) {
            bytes += m_waiting.front().record.value.size();
            m_batch.push_back(std::move(m_waiting.front()));
            m_waiting.pop_front();
        }
        m_inFlight = true;
        m_batchStartedAt = Clock::now();
        send();
    });
}

void AppendQueue::send()
{
    m_sentAt = Clock::now();
    AppendCall call{.topic = m_options.topic,
                    .partition = m_options.partition,
                    .producer = m_options.producer,
                    .epoch = m_options.epoch,
                    .sequence = m_sequence};
    for (const Item &item : m_batch)
        call.records.push_back(item.record);
    m_store.append(call, m_options.timeout, [this, guard = m_timers.guard()](const AppendAnswer &answer) {
        if (!guard.expired())
            handleAnswer(answer);
    });
}

void AppendQueue::handleAnswer(const AppendAnswer &answer)
{
    switch (answer.status) {
    case StoreStatus::Done:
        if (m_opening)
            m_endAtOpening = answer.end;
        handleStored();
        return;
    case StoreStatus::Fenced:
        m_log.always(Clock::now(), "append_fenced",
                     {{"partition", m_options.partition}, {"epoch", m_options.epoch}});
        end(onFenced);
        return;
    case StoreStatus::WrongSequence:
        // An earlier attempt to append the same batch has been carried out.
        if (m_uncertain && answer.expectedSequence == m_sequence + 1) {
            handleStored();
            return;
        }
        if (m_lastRecordSequence && answer.expectedSequence == *m_lastRecordSequence + 1) {
            // The store does not count empty appends.
            if (!m_batch.empty()) {
                m_rejectedSequence = std::max(m_rejectedSequence, m_sequence);
                m_uncertain = true;
            }
            m_sequence = answer.expectedSequence;
            retry();
            return;
        }
        // This queue has one append in flight at a time, so the unexpected number is another queue's.
        m_log.always(Clock::now(), "append_epoch_in_use",
                     {{"partition", m_options.partition},
                      {"epoch", m_options.epoch},
                      {"sent", m_sequence},
                      {"expected", answer.expectedSequence}});
        end(onEpochInUse);
        return;
    case StoreStatus::NoAnswer:
        m_uncertain = true;
        retry();
        return;
    case StoreStatus::Refused:
    case StoreStatus::Expired:
    case StoreStatus::Invalid:
        retry();
        return;
    }
}

void AppendQueue::handleStored()
{
    if (m_sequence >= m_rejectedSequence) {
        finishBatch(AppendOutcome::Stored);
        return;
    }
    // If a delayed attempt with a rejected number were carried out now, the store would take the next batch
    // with that number for its repeat and not store it. So these numbers are used up for the same records.
    m_lastRecordSequence = m_sequence;
    ++m_sequence;
    send();
}

void AppendQueue::finishBatch(AppendOutcome outcome)
{
    if (m_failures > 0)
        m_log.always(Clock::now(), "append_works",
                     {{"partition", m_options.partition}, {"failures", m_failures}});
    m_log.observe("append_ms", Clock::now() - m_batchStartedAt);
    m_failures = 0;
    m_uncertain = false;
    m_inFlight = false;
    m_backoff.reset();
    if (!m_batch.empty())
        m_lastRecordSequence = m_sequence;
    ++m_sequence;
    std::vector<Item> batch = std::exchange(m_batch, {});
    const auto confirmations = std::exchange(m_confirmations, {});
    if (m_opening) {
        m_opening = false;
        m_onOpen(outcome);
    }
    const auto guard = m_timers.guard();
    for (const auto &onConfirmed : confirmations)
        onConfirmed();
    for (const Item &item : batch)
        item.onDone(outcome);
    if (!guard.expired())
        sendNext();
}

void AppendQueue::dropExpired(Millis now)
{
    std::vector<Done> dropped;
    const auto drop = [&](Item &item) {
        if (!item.mayDrop || now - item.addedAt < m_options.dropAfter)
            return false;
        dropped.push_back(std::move(item.onDone));
        return true;
    };
    // A batch that may have been stored must be repeated unchanged.
    if (!m_uncertain)
        std::erase_if(m_batch, drop);
    std::erase_if(m_waiting, drop);
    for (const Done &done : dropped)
        m_timers.after({0}, [done] { done(AppendOutcome::NotStored); });
}

void AppendQueue::retry()
{
    const Millis now = Clock::now();
    if (++m_failures == 1)
        m_log.always(now, "append_failed", {{"partition", m_options.partition}, {"epoch", m_options.epoch}});
    dropExpired(now);
    if (m_batch.empty() && !mustSendEmpty()) {
        m_inFlight = false;
        m_sentAt = now + m_backoff.next();
        sendNext();
        return;
    }
    m_timers.after(m_backoff.next(), [this] {
        dropExpired(Clock::now());
        if (m_batch.empty() && !mustSendEmpty()) {
            m_inFlight = false;
            sendNext();
            return;
        }
        send();
    });
}

void AppendQueue::end(const std::function<void()> &onEnded)
{
    m_fenced = true;
    m_inFlight = false;
    std::vector<Item> items = std::exchange(m_batch, {});
    std::move(m_waiting.begin(), m_waiting.end(), std::back_inserter(items));
    m_waiting.clear();
    m_confirmations.clear();
    m_waitingConfirmations.clear();
    const auto guard = m_timers.guard();
    if (m_opening) {
        m_opening = false;
        m_onOpen(AppendOutcome::Superseded);
    }
    for (const Item &item : items)
        item.onDone(AppendOutcome::Superseded);
    if (!guard.expired() && onEnded)
        onEnded();
}

} // namespace turmericwell
