// Runs, leases and lists of an emulated worker.
#include "emulator/emulatedworker.h"

#include <algorithm>
#include <cmath>

namespace turmericwell {

constexpr Millis callTime = {1};
constexpr Millis leastLateness = {2'000};
constexpr Millis mostLateness = {12'000};
constexpr Millis stopTime = {20};
constexpr Millis failureTime = {10};
// A life must not be mistaken for an earlier one.
constexpr int64_t firstBorn = 1;

EmulatedWorker::EmulatedWorker(EmulatedWorkerOptions options, WorkOf workOf, EventQueue &events,
                               EmulatedNetwork &network, std::vector<RunEvent> &history)
    : m_options(std::move(options))
    , m_name("worker-" + std::to_string(m_options.number))
    , m_workOf(std::move(workOf))
    , m_events(events)
    , m_network(network)
    , m_history(history)
    , m_random(m_options.seed)
    , m_bornAt(events.now() - Millis{firstBorn})
{ }

const WorkerTrouble &EmulatedWorker::trouble() const
{
    static const WorkerTrouble none;
    return m_troubleUntil > m_events.now() ? m_trouble : none;
}

void EmulatedWorker::setTrouble(const WorkerTrouble &trouble, Millis until)
{
    m_trouble = trouble;
    m_troubleUntil = until;
}

bool EmulatedWorker::draw(double share)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

void EmulatedWorker::note(RunEventKind kind, const RunId &run)
{
    m_history.push_back(
        {.at = m_events.now(), .kind = kind, .run = run, .worker = m_options.number, .life = m_life});
}

// Carries an order out, or carries it out without an answer, at once or seconds later.
void EmulatedWorker::carryOut(double lostShare, Millis timeout, const std::function<void()> &effect,
                              const std::function<void()> &noAnswer)
{
    if (!hasPower()) {
        m_events.after(timeout, noAnswer);
        return;
    }
    if (draw(trouble().late)) {
        std::uniform_int_distribution<int64_t> lateness(leastLateness.count, mostLateness.count);
        m_events.after({lateness(m_random)}, effect);
        m_events.after(timeout, noAnswer);
        return;
    }
    if (draw(lostShare))
        m_events.after(timeout, noAnswer);
    m_events.after(callTime, effect);
}

void EmulatedWorker::start(const StartCall &call, Millis timeout,
                           std::function<void(OrderAnswer, std::optional<Millis>)> onDone)
{
    const HostNumber host = m_options.host;
    const uint64_t agent = m_network.lifeOf(host);
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, host, agent, answered,
                         onDone = std::move(onDone)](OrderAnswer result, std::optional<Millis> workerClock) {
        if (std::exchange(*answered, true))
            return;
        m_network.postTo(host, agent, [onDone, result, workerClock] { onDone(result, workerClock); });
    };
    const bool isLost = draw(trouble().losesAnswers);
    carryOut(
        isLost ? 1 : 0, timeout,
        [this, answer, isLost, life = m_life, run = call.run, deadline = call.deadline, fence = call.fence,
         named = std::string(call.worker), outlivesCrash = trouble().lateOrdersOutliveCrash] {
            if ((life != m_life && !outlivesCrash) || !isFor(named)) {
                answer(OrderAnswer::WrongWorker, std::nullopt);
                return;
            }
            const OrderAnswer result = startNow(run, deadline, fence);
            if (!isLost)
                m_events.after(callTime, [this, answer, result] { answer(result, clock()); });
        },
        [answer] { answer(OrderAnswer::NoAnswer, std::nullopt); });
}

void EmulatedWorker::stop(const StopCall &call, Millis timeout,
                          std::function<void(OrderAnswer, std::optional<Millis>)> onDone)
{
    const HostNumber host = m_options.host;
    const uint64_t agent = m_network.lifeOf(host);
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, host, agent, answered,
                         onDone = std::move(onDone)](OrderAnswer result, std::optional<Millis> workerClock) {
        if (std::exchange(*answered, true))
            return;
        m_network.postTo(host, agent, [onDone, result, workerClock] { onDone(result, workerClock); });
    };
    const bool isLost = draw(trouble().losesAnswers);
    carryOut(
        isLost ? 1 : 0, timeout,
        [this, answer, isLost, life = m_life, run = call.run, fence = call.fence,
         named = std::string(call.worker), outlivesCrash = trouble().lateOrdersOutliveCrash] {
            if ((life != m_life && !outlivesCrash) || !isFor(named)) {
                answer(OrderAnswer::WrongWorker, std::nullopt);
                return;
            }
            const OrderAnswer result = stopNow(run, fence);
            if (!isLost)
                m_events.after(callTime, [this, answer, result] { answer(result, clock()); });
        },
        [answer] { answer(OrderAnswer::NoAnswer, std::nullopt); });
}

void EmulatedWorker::pollLists(const ListPollCall &call, Millis timeout,
                               std::function<void(OrderAnswer, const WorkerLists &)> onDone)
{
    const HostNumber host = m_options.host;
    const uint64_t agent = m_network.lifeOf(host);
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, host, agent, answered,
                         onDone = std::move(onDone)](OrderAnswer result, const WorkerLists &content) {
        if (std::exchange(*answered, true))
            return;
        m_network.postTo(host, agent, [onDone, result, content] { onDone(result, content); });
    };
    m_events.after(timeout, [answer] { answer(OrderAnswer::NoAnswer, {}); });
    if (!hasPower())
        return;
    const bool isLost = draw(trouble().losesAnswers);
    m_events.after(callTime,
                   [this, answer, isLost, agent, wait = call.wait, deadline = call.deadline,
                    through = call.endsStored, fence = call.fence, named = std::string(call.worker)] {
                       if (!isFor(named)) {
                           answer(OrderAnswer::WrongWorker, {});
                           return;
                       }
                       if (fence < m_fence) {
                           answer(OrderAnswer::Fenced, {});
                           return;
                       }
                       m_fence = fence;
                       for (auto item = m_ends.begin(); item != m_ends.end() && item->first <= through;) {
                           if (item->first > m_lapsedAfterEnd)
                               note(RunEventKind::Confirmed, item->second.run);
                           item = m_ends.erase(item);
                       }
                       renew(deadline);
                       m_waiting.push_back({.answerBy = m_events.now() + wait,
                                            .cut = [answer] { answer(OrderAnswer::NoAnswer, {}); },
                                            .answer =
                                                [this, answer, isLost, agent] {
                                                    if (isLost)
                                                        return;
                                                    m_events.after(callTime,
                                                                   [answer, content = nextAnswer(agent)] {
                                                                       answer(OrderAnswer::Done, content);
                                                                   });
                                                }});
                       m_events.after(wait, [this] { answerHolds(); });
                       if (!m_ends.empty())
                           answerHolds();
                   });
}

void EmulatedWorker::answerHolds()
{
    std::vector<WaitingHold> waiting = std::exchange(m_waiting, {});
    for (WaitingHold &hold : waiting) {
        if (m_ends.empty() && m_events.now() < hold.answerBy)
            m_waiting.push_back(std::move(hold));
        else
            hold.answer();
    }
}

WorkerLists EmulatedWorker::lists() const
{
    WorkerLists content{.workerClock = clock(), .born = m_bornAt.count};
    for (const auto &[id, run] : m_runs)
        content.running.push_back({.run = id});
    for (const auto &[number, end] : m_ends) {
        if (content.ended.size() == mostListedEnds)
            break;
        content.ended.push_back(end);
    }
    return content;
}

WorkerLists EmulatedWorker::nextAnswer(uint64_t agent)
{
    const std::optional<WorkerLists> former = std::exchange(m_lastAnswer, lists());
    const bool isSameConnection = std::exchange(m_lastAnswerTo, agent) == agent;
    return former && isSameConnection && draw(trouble().repeatsAnswers) ? *former : *m_lastAnswer;
}

void EmulatedWorker::renew(Millis deadline)
{
    const Millis longest = clock() + m_options.longestLease;
    m_leaseEnd = std::max(m_leaseEnd, std::min(deadline, longest));
}

OrderAnswer EmulatedWorker::startNow(const RunId &run, Millis deadline, uint64_t fence)
{
    if (fence < m_fence)
        return OrderAnswer::Fenced;
    m_fence = fence;
    if (m_runs.contains(run))
        return OrderAnswer::Done;
    if (clock() > deadline)
        return OrderAnswer::TooLate;
    renew(deadline);
    if (const auto ended = m_endedRuns.find(run.task);
        ended != m_endedRuns.end() && run.number <= ended->second)
        return OrderAnswer::OldRun;
    const TaskWork work = m_workOf(run.task);
    const uint64_t start = ++m_starts;
    m_runs[run] = {.startedAt = m_events.now(), .cpuMilli = work.cpuMilli, .start = start};
    note(RunEventKind::Started, run);
    int64_t used = 0;
    for (const auto &[id, other] : m_runs)
        used += other.cpuMilli;
    m_mostOverfullMilli = std::max(m_mostOverfullMilli, used - m_options.capacity.cpuMilli);
    if (trouble().hangs)
        return OrderAnswer::Done;
    const bool fails = draw(trouble().failing);
    const Millis length = fails
        ? failureTime
        : Millis{std::llround(static_cast<double>(work.runTime.count) * trouble().slowness)};
    m_events.after(length, [this, run, start, life = m_life, fails] {
        const auto found = m_runs.find(run);
        if (life == m_life && found != m_runs.end() && found->second.start == start)
            end(run, fails ? EndKind::Failed : EndKind::Done);
    });
    return OrderAnswer::Done;
}

OrderAnswer EmulatedWorker::stopNow(const RunId &run, uint64_t fence)
{
    if (fence < m_fence)
        return OrderAnswer::Fenced;
    m_fence = fence;
    uint32_t &ended = m_endedRuns[run.task];
    ended = std::max(ended, run.number);
    m_events.after(stopTime, [this, run, life = m_life] {
        if (life == m_life && m_runs.contains(run))
            end(run, EndKind::Stopped);
    });
    return OrderAnswer::Done;
}

void EmulatedWorker::end(const RunId &run, EndKind kind)
{
    m_runs.erase(run);
    uint32_t &ended = m_endedRuns[run.task];
    ended = std::max(ended, run.number);
    ++m_lastEnd;
    m_ends[m_lastEnd] = {.number = m_lastEnd, .run = run, .kind = kind};
    switch (kind) {
    case EndKind::Done:
        note(RunEventKind::Done, run);
        break;
    case EndKind::Failed:
        note(RunEventKind::Failed, run);
        break;
    case EndKind::Lapsed:
        note(RunEventKind::Lapsed, run);
        break;
    default:
        note(RunEventKind::Stopped, run);
        break;
    }
    answerHolds();
}

void EmulatedWorker::checkLeases()
{
    if (clock() <= m_leaseEnd)
        return;
    m_lapsedAfterEnd = m_lastEnd;
    std::vector<RunId> lapsed;
    for (const auto &[id, run] : m_runs)
        lapsed.push_back(id);
    for (const RunId &run : lapsed)
        end(run, EndKind::Lapsed);
}

void EmulatedWorker::crash()
{
    for (const auto &[id, run] : m_runs)
        note(RunEventKind::Lost, id);
    m_formerAnnouncement = announcement();
    ++m_life;
    m_bornAt = m_events.now() - Millis{firstBorn};
    m_sequence = 0;
    m_fence = 0;
    m_leaseEnd = {};
    m_runs.clear();
    m_ends.clear();
    m_lastEnd = 0;
    m_lapsedAfterEnd = 0;
    m_endedRuns.clear();
    // The connections are reset.
    m_lastAnswer.reset();
    for (const WaitingHold &hold : std::exchange(m_waiting, {}))
        hold.cut();
}

void EmulatedWorker::losePower(Millis until)
{
    crash();
    m_powerlessUntil = until;
    m_events.at(until, [this] { m_bornAt = m_events.now() - Millis{firstBorn}; });
}

WorkerAnnouncement EmulatedWorker::announcement()
{
    return {.worker = m_name,
            .service = m_options.service,
            .zone = m_options.zone,
            .address = m_options.address.text(),
            .capacity = m_options.capacity,
            .born = m_bornAt.count,
            .sequence = ++m_sequence};
}

} // namespace turmericwell
