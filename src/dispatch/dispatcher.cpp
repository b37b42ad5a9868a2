// Path of a submission through admission and the queue to the agents.
#include "dispatch/dispatcher.h"

#include <algorithm>
#include <deque>

namespace turmericwell {

Dispatcher::Dispatcher(DispatcherOptions options)
    : m_options(std::move(options))
    , m_retries(m_options.retries)
    , m_submissions([this] {
        SubmissionTableOptions submissions = m_options.submissions;
        if (!submissions.mayRetry)
            submissions.mayRetry = [this] { return m_retries.tryRetry(); };
        return submissions;
    }())
    , m_config(std::make_shared<Config>())
    , m_router(m_options.router)
{ }

void Dispatcher::setConfig(ConfigPtr config)
{
    {
        const std::lock_guard lock(m_configMutex);
        m_config = config;
    }
    const std::lock_guard lock(m_routingMutex);
    m_admission.setConfig(std::move(config));
    refreshUsable();
}

ConfigPtr Dispatcher::config() const
{
    const std::lock_guard lock(m_configMutex);
    return m_config;
}

void Dispatcher::setMayStart(bool mayStart)
{
    const std::lock_guard lock(m_routingMutex);
    m_mayStart = mayStart;
}

void Dispatcher::setEntryCount(uint32_t entries)
{
    const std::lock_guard lock(m_routingMutex);
    m_admission.setEntryCount(entries);
}

void Dispatcher::refreshUsable()
{
    const ConfigPtr inForce = config();
    for (const auto &[agent, state] : m_agents) {
        const TargetInfo &target = state.target;
        m_router.setUsable(agent,
                           !m_leavingAgents.contains(agent)
                               && !inForce->declarations.isZoneWithdrawn(target.zone)
                               && !inForce->declarations.isTargetWithdrawn(target));
    }
    const ZoneDeclaration *zone = inForce->declarations.findZone(m_options.router.zone);
    m_router.setLatencies(zone ? zone->latencyMs : std::map<std::string, double>());
    std::map<std::string, uint32_t> weights;
    for (const TeamDeclaration &team : inForce->declarations.teams)
        weights[team.name] = team.weight;
    m_router.setTeamWeights(std::move(weights));
}

void Dispatcher::emit(EventKind kind, const TaskRef &task, std::string_view agent, std::string_view why) const
{
    if (m_options.onEvent)
        m_options.onEvent({.kind = kind,
                           .job = task.submission.hex(),
                           .task = task.text(),
                           .target = std::string(agent),
                           .configVersion = config()->version,
                           .reason = std::string(why)});
}

void Dispatcher::emitSubmission(EventKind kind, const Fingerprint &key, std::string_view why) const
{
    if (m_options.onEvent)
        m_options.onEvent(
            {.kind = kind, .job = key.hex(), .configVersion = config()->version, .reason = std::string(why)});
}

// --- submit ---

static Answer rejection(std::string_view why, int status, Millis retryAfter = {})
{
    return {
        .outcome = Outcome::NotRun, .reason = std::string(why), .status = status, .retryAfter = retryAfter};
}

std::optional<Answer> Dispatcher::reject(const SubmissionRequest &request, const ServiceDeclaration *service,
                                         const CallDeclaration *call, Millis now)
{
    if (!service)
        return rejection(reason::unknownService, 404);
    if (!call)
        return rejection(reason::unknownCall, 404);
    if (!request.team.empty() && !config()->declarations.findTeam(request.team))
        return rejection(reason::unknownTeam, 403);
    return rejectForLoad(request, now);
}

std::optional<Answer> Dispatcher::rejectForLoad(const SubmissionRequest &request, Millis now)
{
    constexpr Millis queueRetryAfter = {1'000};
    const std::lock_guard lock(m_routingMutex);
    // A disconnected agent may own the only target that can run the task.
    if (!m_agents.empty() && !isAnyAgentLost() && !m_router.canEverRun(request.service, request.needs))
        return rejection(reason::impossible, 422);
    if (!m_router.hasCapacityFor(request.tasks.size() + m_parked.size()))
        return rejection(reason::queueFull, 429, queueRetryAfter);
    const std::optional<AdmissionRejection> rejected =
        m_admission.admit({.service = request.service,
                           .team = request.team,
                           .tasks = static_cast<uint32_t>(request.tasks.size()),
                           .budget = request.budget},
                          now);
    if (rejected)
        return rejection(rejected->reason, 429, rejected->retryAfter);
    return std::nullopt;
}

DispatchActions Dispatcher::submit(const SubmissionRequest &request, WaiterId waiter, Millis now)
{
    DispatchActions result;
    const ConfigPtr inForce = config();
    const ServiceDeclaration *service = inForce->declarations.findService(request.service);
    const CallDeclaration *call = service ? service->findCall(request.call) : nullptr;
    SubmissionRequest complete = request;
    if (call && complete.needs == TaskNeeds{})
        complete.needs = call->needs;
    // A known key is answered from its submission even if the limits would reject new work.
    bool isNew = false;
    SubmissionActions actions =
        m_submissions.submit(complete, call ? *call : CallDeclaration{}, waiter, now, [&] {
            isNew = true;
            return reject(complete, service, call, now);
        });
    emitSubmitted(actions, request.key, isNew);
    apply(std::move(actions), now, result);
    assign(now, result);
    return result;
}

void Dispatcher::emitSubmitted(const SubmissionActions &actions, const Fingerprint &key, bool isNew) const
{
    const auto *answer = actions.empty() ? nullptr : std::get_if<AnswerWaiter>(&actions.front());
    const bool rejectedKnown = answer
        && (answer->answer.reason == reason::conflict || answer->answer.reason == reason::windowPassed
            || answer->answer.reason == reason::incompleteTakeover);
    if (answer && (isNew || rejectedKnown))
        emitSubmission(EventKind::SubmissionRefused, key, answer->answer.reason);
    else
        emitSubmission(isNew ? EventKind::SubmissionAccepted : EventKind::SubmissionAttached, key, "");
}

DispatchActions Dispatcher::cancel(const Fingerprint &key, Millis now)
{
    DispatchActions result;
    apply(m_submissions.cancel(key, now), now, result);
    assign(now, result);
    return result;
}

// --- change of ownership ---

DispatchActions Dispatcher::importRecords(std::span<const KeyRecord> records, Millis now)
{
    DispatchActions result;
    apply(m_submissions.importRecords(records, now), now, result);
    return result;
}

DispatchActions Dispatcher::holderAnswered(const Fingerprint &key, const Answer &answer, Millis now)
{
    DispatchActions result;
    apply(m_submissions.holderAnswered(key, answer, now), now, result);
    return result;
}

DispatchActions Dispatcher::finishTakeover(bool complete, const SubmissionTable::KeyFilter &selects,
                                           Millis now)
{
    DispatchActions result;
    apply(m_submissions.finishTakeover(complete, selects), now, result);
    return result;
}

// --- queue ---

void Dispatcher::apply(SubmissionActions actions, Millis now, DispatchActions &result)
{
    std::deque<SubmissionAction> pending(std::make_move_iterator(actions.begin()),
                                         std::make_move_iterator(actions.end()));
    for (; !pending.empty(); pending.pop_front()) {
        SubmissionAction &action = pending.front();
        if (auto *enqueueAction = std::get_if<EnqueueTasks>(&action)) {
            SubmissionActions more = enqueue(std::move(*enqueueAction), now);
            std::move(more.begin(), more.end(), std::back_inserter(pending));
        } else if (auto *cancelAction = std::get_if<CancelTask>(&action)) {
            SubmissionActions more = cancelTask(cancelAction->task, now, result);
            std::move(more.begin(), more.end(), std::back_inserter(pending));
        } else if (auto *ask = std::get_if<AskHolder>(&action)) {
            result.emplace_back(std::move(*ask));
        } else {
            auto &answer = std::get<AnswerWaiter>(action);
            emitSubmission(EventKind::SubmissionAnswered, answer.key, toString(answer.answer.outcome));
            result.emplace_back(std::move(answer));
        }
    }
}

std::optional<QueuedTask> Dispatcher::removeUnsent(const TaskRef &task)
{
    std::optional<QueuedTask> removed = m_parked.remove(task);
    const TaskStage stage = removed ? TaskStage::Waiting : TaskStage::Released;
    if (!removed)
        removed = m_router.removeQueued(task);
    if (removed)
        m_admission.stageChanged(removed->start.service, removed->start.team, stage, TaskStage::None);
    return removed;
}

SubmissionActions Dispatcher::cancelTask(const TaskRef &task, Millis now, DispatchActions &result)
{
    {
        const std::lock_guard lock(m_routingMutex);
        const auto found = m_inFlight.find(task);
        if (found != m_inFlight.end()) {
            found->second.cancelled = true;
            result.emplace_back(SendRevoke{.agent = found->second.agent, .task = task});
            return {};
        }
        if (!removeUnsent(task)) {
            m_cancelledEarly[task] = now;
            return {};
        }
    }
    emit(EventKind::TaskRevoked, task, "", reason::cancelled);
    return m_submissions.taskEnded(
        {.task = task, .outcome = Outcome::NotRun, .reason = std::string(reason::cancelled)}, now);
}

void Dispatcher::release(QueuedTask task)
{
    const std::string &service = task.start.service;
    const std::string &team = task.start.team;
    if (m_parked.isThrottled(service, team) || !m_admission.mayRelease(service, team)) {
        m_parked.throttle(std::move(task));
        return;
    }
    m_admission.stageChanged(service, team, TaskStage::Waiting, TaskStage::Released);
    m_router.enqueue(std::move(task));
}

SubmissionActions Dispatcher::enqueue(EnqueueTasks tasks, Millis now)
{
    std::vector<TaskRef> cancelled;
    for (const TaskStart &start : tasks.tasks) {
        if (start.task.attempt > 0)
            emit(EventKind::TaskRetried, start.task, "", "");
    }
    {
        const std::lock_guard lock(m_routingMutex);
        for (TaskStart &start : tasks.tasks) {
            if (m_cancelledEarly.erase(start.task) > 0) {
                cancelled.push_back(start.task);
                continue;
            }
            m_admission.stageChanged(start.service, start.team, TaskStage::None, TaskStage::Waiting);
            QueuedTask task{.start = std::move(start), .needs = tasks.needs, .deadline = tasks.deadline};
            if (tasks.notBefore > now)
                m_parked.park(std::move(task), tasks.notBefore);
            else
                release(std::move(task));
        }
    }
    SubmissionActions more;
    for (const TaskRef &task : cancelled) {
        SubmissionActions ended = m_submissions.taskEnded(
            {.task = task, .outcome = Outcome::NotRun, .reason = std::string(reason::cancelled)}, now);
        std::move(ended.begin(), ended.end(), std::back_inserter(more));
    }
    return more;
}

void Dispatcher::releaseParked(Millis now)
{
    for (QueuedTask &task : m_parked.takeDue(now))
        release(std::move(task));
    const auto mayRelease = [this](std::string_view service, std::string_view team) {
        return m_admission.mayRelease(service, team);
    };
    while (std::optional<QueuedTask> task = m_parked.takeThrottled(mayRelease)) {
        m_admission.stageChanged(task->start.service, task->start.team, TaskStage::Waiting,
                                 TaskStage::Released);
        m_router.enqueue(std::move(*task));
    }
}

void Dispatcher::assign(Millis now, DispatchActions &result)
{
    std::map<std::string, std::vector<TaskStart>> batches;
    size_t sent = 0;
    {
        const std::lock_guard lock(m_routingMutex);
        if (!m_mayStart)
            return;
        releaseParked(now);
        for (Assignment &assignment : m_router.assign()) {
            TaskStart &start = assignment.task.start;
            start.budget = assignment.task.deadline - now;
            ++m_counters.starts;
            ++sent;
            m_admission.stageChanged(start.service, start.team, TaskStage::Released, TaskStage::Running);
            m_inFlight[start.task] = {.agent = assignment.agent,
                                      .service = start.service,
                                      .team = start.team,
                                      .deadline = assignment.task.deadline};
            batches[assignment.agent].push_back(std::move(start));
        }
    }
    if (sent > 0)
        m_retries.started(sent);
    for (auto &[agent, tasks] : batches) {
        for (const TaskStart &start : tasks)
            emit(EventKind::TaskSent, start.task, agent, "");
        result.emplace_back(SendTasks{.agent = agent, .tasks = std::move(tasks)});
    }
}

// --- time ---

void Dispatcher::endTasks(const std::vector<TaskRef> &tasks, Outcome outcome, std::string_view why,
                          Millis now, DispatchActions &result)
{
    for (const TaskRef &task : tasks) {
        apply(m_submissions.taskEnded({.task = task, .outcome = outcome, .reason = std::string(why)}, now),
              now, result);
    }
}

std::vector<TaskRef> Dispatcher::removeExpired(Millis now)
{
    std::vector<TaskRef> expired;
    for (const QueuedTask &task : m_router.removeExpired(now)) {
        m_admission.stageChanged(task.start.service, task.start.team, TaskStage::Released, TaskStage::None);
        expired.push_back(task.start.task);
    }
    for (const QueuedTask &task : m_parked.removeExpired(now)) {
        m_admission.stageChanged(task.start.service, task.start.team, TaskStage::Waiting, TaskStage::None);
        expired.push_back(task.start.task);
    }
    return expired;
}

DispatchActions Dispatcher::tick(Millis now)
{
    constexpr Millis earlyCancelRetention = {1'000};
    DispatchActions result;
    std::vector<std::string> restored;
    std::vector<TaskRef> expired;
    std::vector<TaskRef> overdue;
    std::vector<TaskRef> lost;
    {
        const std::lock_guard lock(m_routingMutex);
        expired = removeExpired(now);
        overdue = settleOverdue(now);
        lost = settleLostAgents(now);
        restored = m_router.tick(now);
        std::erase_if(m_cancelledEarly,
                      [&](const auto &item) { return now - item.second > earlyCancelRetention; });
    }
    for (const std::string &agent : restored)
        emit(EventKind::TargetRestored, {}, agent, "");
    endTasks(expired, Outcome::NotRun, reason::deadline, now, result);
    endTasks(overdue, Outcome::Unknown, reason::deadline, now, result);
    endTasks(lost, Outcome::Unknown, reason::agentLost, now, result);
    apply(m_submissions.tick(now), now, result);
    assign(now, result);
    return result;
}

// --- balance and counters ---

uint32_t Dispatcher::idleCredits() const
{
    const std::lock_guard lock(m_routingMutex);
    return m_router.idleCredits();
}

uint32_t Dispatcher::queued() const
{
    const std::lock_guard lock(m_routingMutex);
    return m_router.queued();
}

std::vector<CreditAmount> Dispatcher::takeSurplusCredits(uint32_t peerIdle, uint32_t peerQueued)
{
    const std::lock_guard lock(m_routingMutex);
    return m_router.takeSurplusCredits(peerIdle, peerQueued);
}

DispatchActions Dispatcher::creditsReceived(const std::vector<CreditAmount> &credits, Millis now)
{
    DispatchActions result;
    {
        const std::lock_guard lock(m_routingMutex);
        for (const CreditAmount &amount : credits)
            m_router.grant(amount.agent, amount.credits, amount.epoch);
    }
    assign(now, result);
    return result;
}

void Dispatcher::loadReported(const std::string &agent, uint32_t load)
{
    const std::lock_guard lock(m_routingMutex);
    m_router.loadReported(agent, load);
}

RoutingCounters Dispatcher::routingCounters() const
{
    const std::lock_guard lock(m_routingMutex);
    return m_counters;
}

Dispatcher::CreditBalance Dispatcher::balance() const
{
    const std::lock_guard lock(m_routingMutex);
    return {.idle = m_router.idleCredits(), .queued = m_router.queued()};
}

LimitCounters Dispatcher::limitCounters() const
{
    const std::lock_guard lock(m_routingMutex);
    return {.submissionsRejected = m_admission.rejections(),
            .retriesDenied = m_retries.denied(),
            .tasksParked = m_parked.size()};
}

size_t Dispatcher::tasksInFlight() const
{
    const std::lock_guard lock(m_routingMutex);
    return m_inFlight.size();
}

} // namespace turmericwell
