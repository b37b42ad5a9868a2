// JobScheduler: placement of tasks near their data, and waits for it (see placementwait.h).
#include "jobs/jobscheduler.h"

#include <algorithm>
#include <cmath>

namespace turmericwell {

// Limits the cost of a decision for steps with many tasks.
constexpr uint32_t mostSiblingsCounted = 64;
// A view of a rack is a pass over all workers. It is taken anew after this time, or after a time that grows
// with the number of workers, which limits the share of the processor that these passes take.
constexpr Millis minRackViewAge = {20};
constexpr uint32_t workersPerRackViewMs = 50;
// Bounds the memory for views; all are taken anew when there are more.
constexpr size_t mostRackViews = 1'024;

bool JobScheduler::isFar(const StepSpec &step, AgentNumber agent) const
{
    return !m_pool.isNear(agent, step.data_rack);
}

JobScheduler::RackView &JobScheduler::rackView(const Job &job, const StepSpec &step, Millis now)
{
    if (m_rackViews.size() >= mostRackViews)
        m_rackViews.clear();
    const auto [found, isNew] = m_rackViews.try_emplace(
        RackViewKey{job.partition, job.spec.service, step.data_rack, step.required_label});
    RackView &view = found->second;
    const Millis maxAge = std::max(minRackViewAge, Millis{view.room.workers / workersPerRackViewMs});
    if (isNew || now - view.takenAt >= maxAge) {
        const Partition &partition = m_partitions.at(job.partition);
        view.room = m_pool.rackRoom({.service = job.spec.service,
                                     .requiredLabel = step.required_label,
                                     .dataRack = step.data_rack,
                                     .eligible = &partition.reported,
                                     .excluded = &partition.excluded});
        view.takenAt = now;
    }
    if (view.pass != m_pass) {
        view.pass = m_pass;
        view.noRoomFrom = INT64_MAX;
    }
    return view;
}

bool JobScheduler::waitsForRack(const Job &job, Task &task, Millis now)
{
    const StepSpec &step = *job.spec.steps[task.step];
    if (!m_placementWait.isEnabled() || step.data_rack.empty())
        return false;
    // The workers that such tasks may use differ from those of other tasks.
    if (step.worker_limit > 0 || !task.avoided.empty())
        return false;
    const RackView &view = rackView(job, step, now);
    return view.noRoomFrom <= step.cpu_milli && decidesToWait(job, task, false, now);
}

bool JobScheduler::waitsForRack(const Job &job, Task &task, AgentNumber found, Millis now)
{
    const StepSpec &step = *job.spec.steps[task.step];
    if (!m_placementWait.isEnabled() || step.data_rack.empty())
        return false;
    const bool hasNearRoom = !isFar(step, found);
    if (!hasNearRoom && step.worker_limit == 0 && task.avoided.empty()) {
        RackView &view = rackView(job, step, now);
        view.noRoomFrom = std::min<int64_t>(view.noRoomFrom, step.cpu_milli);
    }
    return decidesToWait(job, task, hasNearRoom, now);
}

int64_t JobScheduler::unplacedCpuMilli(const Job &job, const Task &task)
{
    const StepSpec &step = *job.spec.steps[task.step];
    const uint32_t end = std::min(step.count, task.index + mostSiblingsCounted);
    int64_t amount = 0;
    for (uint32_t index = task.index; index < end; ++index) {
        if (job.tasks[job.stepFirst[task.step] + index].phase == TaskPhase::Waiting)
            amount += step.cpu_milli;
    }
    return amount;
}

bool JobScheduler::decidesToWait(const Job &job, Task &task, bool hasNearRoom, Millis now)
{
    if (!hasNearRoom && m_rackWaits >= m_options.mostRackWaits)
        return false;
    const StepSpec &step = *job.spec.steps[task.step];
    const RackRoom &room = rackView(job, step, now).room;
    int64_t &ahead = m_rackWaitingCpuMilli[{job.spec.service, step.data_rack}];
    const bool rejectsLateJobs = std::holds_alternative<LatestStartFirst>(m_options.order);
    const auto shareOf = [](int64_t part, int64_t whole) {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
    };
    const PlacementDecision decision = m_placementWait.decide(
        {.service = job.spec.service,
         .queue = job.spec.queue,
         .rack = step.data_rack,
         .cpuMilli = hasNearRoom ? step.cpu_milli : unplacedCpuMilli(job, task),
         .expectedNear = {m_runTimes.estimateMs(job.spec.queue, step.estimate_ms)},
         .farFactor = m_options.farFactor,
         .slack = job.latestStart - now,
         .limit = job.dueAt - job.acceptedAt,
         .stretch = job.spec.stretch,
         .isRejectedIfLate = rejectsLateJobs && job.spec.best_effort && !job.anyOrdered && !job.recorded,
         .isRackUsable = room.largestOnRackMilli >= step.cpu_milli && room.rackWorkers > 0,
         .hasNearRoom = hasNearRoom,
         .hasFarRoom = true,
         .freeShare = shareOf(room.freeMilli, room.capacityMilli),
         .aheadCpuMilli = ahead,
         .waited = task.nearWaitSince ? now - *task.nearWaitSince : Millis{0}},
        now);
    if (decision.choice != PlacementChoice::Wait)
        return false;
    ++m_rackWaits;
    ahead += step.cpu_milli;
    if (!task.nearWaitSince) {
        task.nearWaitSince = now;
        m_log.write(now, "placement_wait",
                    {{"job", jobIdText(job.spec.id)},
                     {"task", taskIdText(runId(job, task).task)},
                     {"rack", step.data_rack},
                     {"wait_ms", decision.longestWait},
                     {"near_end_ms", decision.nearEnd.value_or(Millis{-1})},
                     {"far_end_ms", decision.farEnd},
                     {"slack_ms", job.latestStart - now},
                     {"ahead_cpu_milli", ahead - step.cpu_milli}});
    }
    return true;
}

Millis JobScheduler::endRackWait(const Job &job, Task &task, AgentNumber placedAt, Millis now)
{
    if (!task.nearWaitSince)
        return {0};
    const StepSpec &step = *job.spec.steps[task.step];
    const Millis waited = now - *std::exchange(task.nearWaitSince, std::nullopt);
    const auto farOutcome = [&] {
        return rackView(job, step, now).room.rackWorkers > 0 ? "far" : "rack_lost";
    };
    m_log.count("placement_waits_total", isFar(step, placedAt) ? farOutcome() : "near");
    m_log.observe("placement_wait_ms", waited);
    return waited;
}

void JobScheduler::processorsReleased(AgentNumber agent, const StepSpec &step, Millis now)
{
    const WorkerState *worker = m_placementWait.isEnabled() ? m_pool.find(agent) : nullptr;
    // What a draining or unusable worker gives back is not used again.
    if (!worker || !worker->usable || worker->draining || m_pool.evacuatedZones().contains(worker->zone))
        return;
    for (const std::string &label : worker->labels)
        m_placementWait.processorsReleased(worker->service, label, step.cpu_milli, now);
}

} // namespace turmericwell
