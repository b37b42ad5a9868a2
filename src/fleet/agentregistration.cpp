// AgentNode: registration of an agent whose worker comes and goes.
//
// Load pattern: workers are taken away, and later all processes restart at once. A new owner waits for each
// registered agent until it knows what runs there, and an agent that starts without a worker can only tell by
// when former leases end. So an agent does not stay registered without a worker.
#include "fleet/agentnode.h"

namespace turmericwell {

constexpr Millis withdrawalRetryDelay = {250};

void AgentNode::updateRegistration()
{
    if (m_settings.leaveWithoutWorker.count == 0 || m_isStopping)
        return;
    const Millis now = Clock::now();
    switch (m_registrationState) {
    case RegistrationState::AwaitsWorker:
        if (!m_workerManager.isWorkerAnswering())
            return;
        m_registrationState = RegistrationState::Registered;
        m_registration.start();
        return;
    case RegistrationState::Registered:
        if (m_workerManager.withoutWorkerFor(now) >= m_settings.leaveWithoutWorker)
            leaveWithoutWorker();
        return;
    case RegistrationState::Withdrawing:
    case RegistrationState::Withdrawn:
        if (m_workerManager.isWorkerAnswering())
            rejoin();
        return;
    case RegistrationState::Rejoining:
        return;
    }
}

void AgentNode::leaveWithoutWorker()
{
    const Millis now = Clock::now();
    m_log.always(now, "agent_left_without_worker",
                 {{"without_worker_ms", m_workerManager.withoutWorkerFor(now)}});
    m_registrationState = RegistrationState::Withdrawing;
    m_workerManager.setRegistered(false);
    announceLeaving();
    withdrawUntilRemoved();
}

// Comes before the registration is removed: an entry that takes the agent for active restores it.
void AgentNode::announceLeaving()
{
    m_hasLeft = true;
    for (const auto &[number, entry] : m_entries)
        entry.link->send(fleet::LeavingT());
}

void AgentNode::withdrawUntilRemoved()
{
    m_registration.withdraw([this, guard = m_timers.guard()](bool isRemoved) {
        if (guard.expired() || m_registrationState != RegistrationState::Withdrawing)
            return;
        if (isRemoved) {
            m_registrationState = RegistrationState::Withdrawn;
            closeLinks("the agent has no worker");
            return;
        }
        m_timers.after(withdrawalRetryDelay, [this] {
            if (m_registrationState == RegistrationState::Withdrawing)
                withdrawUntilRemoved();
        });
    });
}

void AgentNode::withdrawBefore(Millis deadline, std::function<void()> onDone)
{
    m_registration.withdraw([this, deadline, onDone = std::move(onDone),
                             guard = m_timers.guard()](bool isRemoved) {
        if (guard.expired())
            return;
        if (isRemoved || Clock::now() + withdrawalRetryDelay >= deadline) {
            onDone();
            return;
        }
        m_timers.after(withdrawalRetryDelay, [this, deadline, onDone] { withdrawBefore(deadline, onDone); });
    });
}

void AgentNode::rejoin()
{
    m_log.always(Clock::now(), "agent_rejoining", {});
    m_registrationState = RegistrationState::Rejoining;
    m_hasLeft = false;
    closeLinks("the agent registers again");
    m_registration.raiseIncarnation();
    m_registration.start([this] {
        m_registrationState = RegistrationState::Registered;
        m_workerManager.setRegistered(true);
    });
}

void AgentNode::closeLinks(const std::string &reason)
{
    std::vector<NodeLinkPtr> links;
    for (const auto &[number, entry] : m_entries)
        links.push_back(entry.link);
    for (const NodeLinkPtr &link : links)
        link->close(reason);
}

} // namespace turmericwell
