// Flow of a submission through admission, queue, agents and answer.
#include "dispatch/dispatcher.h"

#include <algorithm>

namespace turmericwell {

Dispatcher::Dispatcher(DispatcherOptions options)
    : m_options(std::move(options))
    , m_submissions(m_options.submissions)
    , m_config(std::make_shared<Config>())
    , m_router(m_options.router)
{ }

void Dispatcher::setConfig(ConfigPtr config)
{
    {
        const std::lock_guard lock(m_configMutex);
        m_config = std::move(config);
    }
    const std::lock_guard lock(m_routingMutex);
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

void Dispatcher::refreshUsable()
{
    const ConfigPtr inForce = config();
    for (const auto &[agent, target] : m_agents) {
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

static Answer refusal(std::string_view why, int status, Millis retryAfter = {})
{
    return {
        .outcome = Outcome::NotRun, .reason = std::string(why), .status = status, .retryAfter = retryAfter};
}

std::optional<Answer> Dispatcher::validate(const SubmissionRequest &request, const Config &config,
                                           const CallDeclaration *&call) const
{
    constexpr Millis queueRetryAfter = {1'000};
    const ServiceDeclaration *service = config.declarations.findService(request.service);
    if (!service)
        return refusal(reason::unknownService, 404);
    call = service->findCall(request.call);
    if (!call)
        return refusal(reason::unknownCall, 404);
    if (!request.team.empty() && !config.declarations.findTeam(request.team))
        return refusal(reason::unknownTeam, 403);
    const std::lock_guard lock(m_routingMutex);
    if (!m_agents.empty() && !m_router.canEverRun(request.service, request.needs))
        return refusal(reason::impossible, 422);
    if (!m_router.hasRoomFor(request.tasks.size()))
        return refusal(reason::queueFull, 429, queueRetryAfter);
    return std::nullopt;
}

DispatchActions Dispatcher::submit(const SubmissionRequest &request, WaiterId waiter, Millis now)
{
    DispatchActions result;
    const bool known = m_submissions.lookup(request.key).has_value();
    const ConfigPtr inForce = config();
    const CallDeclaration *call = nullptr;
    // A known key gets its own answer, whatever the limits say now.
    const std::optional<Answer> refused = validate(request, *inForce, call);
    if (refused && !known) {
        emitSubmission(EventKind::SubmissionRefused, request.key, refused->reason);
        return {AnswerWaiter{.waiter = waiter, .key = request.key, .answer = *refused}};
    }
    emitSubmission(known ? EventKind::SubmissionAttached : EventKind::SubmissionAccepted, request.key, "");
    SubmissionRequest complete = request;
    if (call && complete.needs == TaskNeeds{})
        complete.needs = call->needs;
    apply(m_submissions.submit(complete, call ? *call : CallDeclaration{}, waiter, now), now, result);
    return result;
}

DispatchActions Dispatcher::cancel(const Fingerprint &key, Millis now)
{
    DispatchActions result;
    apply(m_submissions.cancel(key, now), now, result);
    return result;
}

void Dispatcher::apply(SubmissionActions actions, Millis now, DispatchActions &result)
{
    for (SubmissionAction &action : actions) {
        if (auto *enqueueAction = std::get_if<EnqueueTasks>(&action)) {
            enqueue(std::move(*enqueueAction));
        } else if (auto *cancelAction = std::get_if<CancelTask>(&action)) {
            cancelTask(cancelAction->task, now, result);
        } else {
            auto &answer = std::get<AnswerWaiter>(action);
            emitSubmission(EventKind::SubmissionAnswered, answer.key, toString(answer.answer.outcome));
            result.emplace_back(std::move(answer));
        }
    }
    assign(now, result);
}

void Dispatcher::cancelTask(const TaskRef &task, Millis now, DispatchActions &result)
{
    {
        const std::lock_guard lock(m_routingMutex);
        const auto found = m_inFlight.find(task);
        if (found != m_inFlight.end()) {
            found->second.cancelled = true;
            result.emplace_back(SendRevoke{.agent = found->second.agent, .task = task});
            return;
        }
        if (!m_router.removeQueued(task))
            return;
    }
    emit(EventKind::TaskRevoked, task, "", reason::cancelled);
    apply(m_submissions.taskEnded(
              {.task = task, .outcome = Outcome::NotRun, .reason = std::string(reason::cancelled)}, now),
          now, result);
}

void Dispatcher::enqueue(EnqueueTasks tasks)
{
    const std::lock_guard lock(m_routingMutex);
    for (TaskStart &start : tasks.tasks)
        m_router.enqueue({.start = std::move(start), .needs = tasks.needs, .deadline = tasks.deadline});
}

void Dispatcher::assign(Millis now, DispatchActions &result)
{
    std::map<std::string, std::vector<TaskStart>> batches;
    {
        const std::lock_guard lock(m_routingMutex);
        if (!m_mayStart)
            return;
        for (Assignment &assignment : m_router.assign()) {
            TaskStart &start = assignment.task.start;
            start.budget = assignment.task.deadline - now;
            ++m_counters.starts;
            m_inFlight[start.task] = {.agent = assignment.agent, .usesCredit = start.usesCredit};
            batches[assignment.agent].push_back(std::move(start));
        }
    }
    for (auto &[agent, tasks] : batches) {
        for (const TaskStart &start : tasks)
            emit(EventKind::TaskSent, start.task, agent, "");
        result.emplace_back(SendTasks{.agent = agent, .tasks = std::move(tasks)});
    }
}

DispatchActions Dispatcher::agentUp(const ProcessId &agent, const TargetInfo &target, bool leaving,
                                    Millis now)
{
    DispatchActions result;
    {
        const std::lock_guard lock(m_routingMutex);
        m_agents[agent.name] = target;
        m_router.agentUp(agent.name, target);
        if (leaving)
            m_leavingAgents.insert(agent.name);
        else
            m_leavingAgents.erase(agent.name);
        refreshUsable();
    }
    assign(now, result);
    return result;
}

DispatchActions Dispatcher::agentLost(const std::string &agent, Millis now)
{
    DispatchActions result;
    std::vector<TaskRef> lost;
    {
        const std::lock_guard lock(m_routingMutex);
        m_router.agentDown(agent);
        m_agents.erase(agent);
        for (const auto &[task, inFlight] : m_inFlight) {
            if (inFlight.agent == agent)
                lost.push_back(task);
        }
        for (const TaskRef &task : lost)
            m_inFlight.erase(task);
    }
    for (const TaskRef &task : lost) {
        apply(m_submissions.taskEnded(
                  {.task = task, .outcome = Outcome::Unknown, .reason = std::string(reason::agentLost)}, now),
              now, result);
    }
    return result;
}

DispatchActions Dispatcher::agentLeaving(const std::string &agent, Millis)
{
    const std::lock_guard lock(m_routingMutex);
    m_leavingAgents.insert(agent);
    refreshUsable();
    return {};
}

DispatchActions Dispatcher::creditsGranted(const std::string &agent, uint32_t credits, uint32_t epoch,
                                           Millis now)
{
    return creditsReceived({{.agent = agent, .credits = credits, .epoch = epoch}}, now);
}

// A failure counts against the target only if the target itself answered so, and not because it was told to
// stop.
static bool isTargetFailure(const TaskResult &result)
{
    return result.outcome == Outcome::Failed || result.outcome == Outcome::Unknown;
}

bool Dispatcher::takeResults(const AgentReport &report, Millis now)
{
    bool ejected = false;
    bool refused = false;
    if (report.load)
        m_router.loadReported(report.agent, *report.load);
    for (const TaskResult &result : report.results) {
        const auto found = m_inFlight.find(result.task);
        // A result that arrives twice returns its credit once.
        if (found == m_inFlight.end())
            continue;
        const bool cancelled = found->second.cancelled;
        m_inFlight.erase(found);
        if (result.returnsCredit)
            m_router.creditReturned(report.agent, report.creditEpoch);
        if (result.outcome == Outcome::NotRun) {
            refused = true;
            ++m_counters.refusals;
        } else if (!cancelled) {
            ejected |= m_router.targetAnswered(report.agent, isTargetFailure(result), now);
        }
    }
    // A task that was refused is queued again; without a pause it would go to the same agent at once.
    if (refused)
        m_router.refusedBusy(report.agent);
    return ejected;
}

DispatchActions Dispatcher::report(const AgentReport &report, Millis now)
{
    DispatchActions result;
    bool ejected = false;
    {
        const std::lock_guard lock(m_routingMutex);
        ejected = takeResults(report, now);
    }
    if (ejected)
        emit(EventKind::TargetEjected, {}, report.agent, "");
    for (const TaskResult &taskResult : report.results) {
        const EventKind kind =
            taskResult.outcome == Outcome::NotRun ? EventKind::TaskRefused : EventKind::TaskFinished;
        emit(kind, taskResult.task, report.agent,
             taskResult.reason.empty() ? toString(taskResult.outcome) : std::string_view(taskResult.reason));
        apply(m_submissions.taskEnded(taskResult, now), now, result);
    }
    assign(now, result);
    return result;
}

DispatchActions Dispatcher::tick(Millis now)
{
    DispatchActions result;
    std::vector<QueuedTask> expired;
    std::vector<std::string> restored;
    {
        const std::lock_guard lock(m_routingMutex);
        expired = m_router.removeExpired(now);
        restored = m_router.tick(now);
    }
    for (const std::string &agent : restored)
        emit(EventKind::TargetRestored, {}, agent, "");
    for (const QueuedTask &task : expired) {
        apply(m_submissions.taskEnded({.task = task.start.task,
                                       .outcome = Outcome::NotRun,
                                       .reason = std::string(reason::deadline)},
                                      now),
              now, result);
    }
    apply(m_submissions.tick(now), now, result);
    assign(now, result);
    return result;
}

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

std::vector<CreditAmount> Dispatcher::surplusFor(uint32_t peerIdle, uint32_t peerQueued)
{
    const std::lock_guard lock(m_routingMutex);
    return m_router.surplusFor(peerIdle, peerQueued);
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

size_t Dispatcher::tasksInFlight() const
{
    const std::lock_guard lock(m_routingMutex);
    return m_inFlight.size();
}

} // namespace turmericwell
