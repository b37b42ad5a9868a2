// Connections and reports of agents.
#include "dispatch/dispatcher.h"

#include <algorithm>

namespace turmericwell {

// --- tasks in flight ---

void Dispatcher::settle(InFlight &task)
{
    if (task.settled)
        return;
    task.settled = true;
    m_admission.stageChanged(task.service, task.team, TaskStage::Running, TaskStage::None);
}

// Called when another incarnation has replaced the agent or its window has passed: it can no longer report on
// these tasks.
std::vector<TaskRef> Dispatcher::removeTasksOf(const std::string &agent)
{
    std::vector<TaskRef> lost;
    for (auto it = m_inFlight.begin(); it != m_inFlight.end();) {
        if (it->second.agent != agent) {
            ++it;
            continue;
        }
        if (!it->second.settled)
            lost.push_back(it->first);
        settle(it->second);
        it = m_inFlight.erase(it);
    }
    return lost;
}

std::vector<TaskRef> Dispatcher::settleOverdue(Millis now)
{
    std::vector<TaskRef> overdue;
    for (auto &[task, inFlight] : m_inFlight) {
        if (inFlight.settled || now < inFlight.deadline + m_options.answerGrace)
            continue;
        settle(inFlight);
        overdue.push_back(task);
    }
    return overdue;
}

std::vector<TaskRef> Dispatcher::settleLostAgents(Millis now)
{
    std::vector<TaskRef> lost;
    std::erase_if(m_agents, [&](const auto &item) {
        const auto &[name, agent] = item;
        if (!agent.lostSince || now - *agent.lostSince < m_options.reconnect)
            return false;
        for (auto &[task, inFlight] : m_inFlight) {
            if (inFlight.agent != name || inFlight.settled)
                continue;
            settle(inFlight);
            lost.push_back(task);
        }
        // After the deduplication window there is no submission record left for a late result to update.
        if (now - *agent.lostSince < m_options.submissions.dedupWindow)
            return false;
        removeTasksOf(name);
        return true;
    });
    return lost;
}

bool Dispatcher::isAnyAgentLost() const
{
    return std::any_of(m_agents.begin(), m_agents.end(),
                       [](const auto &item) { return item.second.lostSince.has_value(); });
}

// --- connections ---

DispatchActions Dispatcher::agentUp(const ProcessId &agent, const TargetInfo &target, bool leaving,
                                    Millis now)
{
    DispatchActions result;
    std::vector<TaskRef> lost;
    {
        const std::lock_guard lock(m_routingMutex);
        Agent &state = m_agents[agent.name];
        const bool isBack = state.lostSince.has_value();
        if (state.incarnation != agent.incarnation)
            lost = removeTasksOf(agent.name);
        state = {.target = target, .incarnation = agent.incarnation};
        m_router.agentUp(agent.name, target);
        if (leaving)
            m_leavingAgents.insert(agent.name);
        else
            m_leavingAgents.erase(agent.name);
        refreshUsable();
        // Messages may have been lost in either direction: the agent's answers determine the state of its
        // tasks.
        for (const auto &[task, inFlight] : m_inFlight) {
            if (isBack && inFlight.agent == agent.name)
                result.emplace_back(SendRevoke{.agent = agent.name, .task = task});
        }
    }
    endTasks(lost, Outcome::Unknown, reason::agentLost, now, result);
    assign(now, result);
    return result;
}

DispatchActions Dispatcher::agentLost(const std::string &agent, Millis now)
{
    const std::lock_guard lock(m_routingMutex);
    m_router.agentDown(agent);
    const auto found = m_agents.find(agent);
    if (found != m_agents.end() && !found->second.lostSince)
        found->second.lostSince = now;
    return {};
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

// --- reports ---

// A failure counts against the target only if the target itself returned it, and not if the target was told
// to stop the task.
static bool isTargetFailure(const TaskResult &result)
{
    return result.outcome == Outcome::Failed || result.outcome == Outcome::Unknown;
}

bool Dispatcher::applyResults(const AgentReport &report, Millis now)
{
    bool ejected = false;
    bool rejected = false;
    if (report.load)
        m_router.loadReported(report.agent, *report.load);
    for (const TaskResult &result : report.results) {
        const auto found = m_inFlight.find(result.task);
        // A result that arrives twice must return its credit only once.
        if (found == m_inFlight.end())
            continue;
        InFlight &task = found->second;
        const bool isCancelled = task.cancelled;
        if (!task.settled && result.outcome != Outcome::NotRun)
            m_admission.recordRunTime(task.service, result.ran);
        settle(task);
        m_inFlight.erase(found);
        if (result.returnsCredit)
            m_router.creditReturned(report.agent, report.creditEpoch);
        if (result.outcome == Outcome::NotRun) {
            rejected |= !isCancelled;
            ++m_counters.refusals;
        } else if (!isCancelled) {
            ejected |= m_router.targetAnswered(report.agent, isTargetFailure(result), now);
        }
    }
    // A rejected task is queued again; without a pause it would be sent to the same agent immediately.
    if (rejected)
        m_router.startRejectedAsBusy(report.agent);
    return ejected;
}

DispatchActions Dispatcher::report(const AgentReport &report, Millis now)
{
    DispatchActions result;
    bool ejected = false;
    {
        const std::lock_guard lock(m_routingMutex);
        ejected = applyResults(report, now);
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

DispatchActions Dispatcher::revokeAnswered(const RevokeAnswer &answer, Millis now)
{
    DispatchActions result;
    {
        const std::lock_guard lock(m_routingMutex);
        const auto found = m_inFlight.find(answer.task);
        if (found != m_inFlight.end()) {
            if (answer.running) {
                if (found->second.cancelled)
                    result.emplace_back(SendStop{.agent = answer.agent, .task = answer.task});
                return result;
            }
            settle(found->second);
            // The answer returns no credit: either the agent has already reported the task and returned the
            // credit, or the connection was lost in between and credits were granted anew.
            m_inFlight.erase(found);
        }
    }
    if (answer.running)
        return result;
    emit(answer.result.outcome == Outcome::NotRun ? EventKind::TaskRevoked : EventKind::TaskFinished,
         answer.task, answer.agent,
         answer.result.reason.empty() ? toString(answer.result.outcome)
                                      : std::string_view(answer.result.reason));
    apply(m_submissions.taskEnded(answer.result, now), now, result);
    assign(now, result);
    return result;
}

} // namespace turmericwell
