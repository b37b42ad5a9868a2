// Checks a submission against quotas, queue limits and its deadline.
#include "limits/admission.h"

#include "turmericwell/outcome.h"

#include <algorithm>
#include <cassert>

namespace turmericwell {

void Admission::setConfig(ConfigPtr config)
{
    m_config = std::move(config);
    refreshRates();
}

void Admission::setEntryCount(uint32_t entries)
{
    entries = std::max(entries, 1U);
    if (entries == m_entries)
        return;
    m_entries = entries;
    refreshRates();
}

// A share is never zero: a limit below the number of entries must not stop the service completely.
uint32_t Admission::share(uint32_t limit) const
{
    return std::max((limit + m_entries - 1) / m_entries, 1U);
}

void Admission::refreshRates()
{
    std::erase_if(m_teams, [&](const auto &item) {
        return item.second.released == 0 && !m_config->declarations.findTeam(item.first);
    });
    for (auto &[name, team] : m_teams) {
        const TeamDeclaration *declaration = m_config->declarations.findTeam(name);
        if (!declaration || declaration->startsPerSecond == 0)
            team.starts.reset();
    }
    for (const TeamDeclaration &declaration : m_config->declarations.teams) {
        if (declaration.startsPerSecond == 0)
            continue;
        // The burst is the number of starts of one second, at least 1.
        const double perSecond = static_cast<double>(declaration.startsPerSecond) / m_entries;
        const double burst = std::max(perSecond, 1.0);
        std::optional<TokenBucket> &starts = m_teams[declaration.name].starts;
        // A configuration change must not refill a bucket that is in use.
        if (starts)
            starts->setRate(perSecond, burst);
        else
            starts.emplace(perSecond, burst);
    }
}

std::optional<AdmissionRejection> Admission::rejection(const AdmissionRequest &request, Millis now)
{
    constexpr Millis queueRetryAfter = {1'000};
    const auto team = m_teams.find(request.team);
    if (team != m_teams.end() && team->second.starts && !team->second.starts->isReady(now))
        return AdmissionRejection{.reason = reason::quota,
                                  .retryAfter = team->second.starts->timeUntilReady(now)};
    const ServiceDeclaration *service = m_config->declarations.findService(request.service);
    const uint32_t queued = queuedOf(request.service);
    if (service && service->maxQueued > 0 && queued + request.tasks > share(service->maxQueued))
        return AdmissionRejection{.reason = reason::queueFull, .retryAfter = queueRetryAfter};
    if (queued > 0) {
        const Millis wait = estimatedWait(request.service, request.tasks);
        if (wait > request.budget)
            return AdmissionRejection{.reason = reason::deadline,
                                      .retryAfter = std::max(wait - request.budget, queueRetryAfter)};
    }
    return std::nullopt;
}

std::optional<AdmissionRejection> Admission::admit(const AdmissionRequest &request, Millis now)
{
    std::optional<AdmissionRejection> rejected = rejection(request, now);
    if (rejected) {
        ++m_rejections;
        return rejected;
    }
    const auto team = m_teams.find(request.team);
    if (team != m_teams.end() && team->second.starts)
        team->second.starts->take(request.tasks);
    return std::nullopt;
}

bool Admission::mayRelease(std::string_view service, std::string_view team) const
{
    const ServiceDeclaration *serviceLimits = m_config->declarations.findService(service);
    const auto counts = m_services.find(service);
    if (serviceLimits && serviceLimits->maxRunning > 0 && counts != m_services.end()
        && counts->second.released >= share(serviceLimits->maxRunning))
        return false;
    const TeamDeclaration *teamLimits = m_config->declarations.findTeam(team);
    const auto found = m_teams.find(team);
    return !teamLimits || teamLimits->maxRunning == 0 || found == m_teams.end()
        || found->second.released < share(teamLimits->maxRunning);
}

static void adjust(uint32_t &count, bool before, bool after)
{
    assert(count > 0 || !before || after);
    if (before != after)
        count = after ? count + 1 : count - 1;
}

void Admission::stageChanged(const std::string &service, const std::string &team, TaskStage from,
                             TaskStage to)
{
    const auto isQueued = [](TaskStage stage) {
        return stage == TaskStage::Waiting || stage == TaskStage::Released;
    };
    const auto isReleased = [](TaskStage stage) {
        return stage == TaskStage::Released || stage == TaskStage::Running;
    };
    Service &counts = m_services[service];
    adjust(counts.queued, isQueued(from), isQueued(to));
    adjust(counts.released, isReleased(from), isReleased(to));
    adjust(counts.running, from == TaskStage::Running, to == TaskStage::Running);
    adjust(m_teams[team].released, isReleased(from), isReleased(to));
}

void Admission::recordRunTime(const std::string &service, Millis time)
{
    constexpr double weight = 0.05;
    std::optional<double> &mean = m_services[service].meanRunMs;
    const auto sample = static_cast<double>(time.count);
    mean = mean ? *mean + weight * (sample - *mean) : sample;
}

uint32_t Admission::queuedOf(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.queued;
}

// By Little's law, the queue drains at a rate equal to the number of running tasks divided by their mean run
// time.
Millis Admission::estimatedWait(std::string_view service, uint32_t tasks) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.meanRunMs || found->second.running == 0)
        return {0};
    const double ahead = found->second.queued + tasks;
    return {static_cast<int64_t>(ahead * *found->second.meanRunMs / found->second.running)};
}

} // namespace turmericwell
