// JobScheduler: explanation of the decisions on a job that is not submitted.
#include "jobs/jobscheduler.h"

#include <algorithm>
#include <cmath>

namespace turmericwell {

// The chosen worker and the next best ones.
constexpr size_t mostExplainedWorkers = 6;

StepExplanation JobScheduler::explainStep(const JobSpec &spec, uint32_t number, Millis start,
                                          Millis now) const
{
    const StepSpec &step = *spec.steps[number];
    const Partition &partition = m_partitions.at(partitionOf(spec.id, m_options.partitions));
    const Millis near = {m_runTimes.estimateMs(spec.queue, step.estimate_ms)};
    const Millis slack = objective(spec) - near - dispatchOverhead;
    const PlacementNeeds needs{.service = spec.service,
                               .size = {step.cpu_milli, step.memory_mb, step.accelerators},
                               .requiredLabel = step.required_label,
                               .dataRack = step.data_rack,
                               .estimate = near,
                               .slack = slack,
                               .eligible = &partition.reported,
                               .excluded = &partition.excluded};
    StepExplanation result{.step = number, .tasks = step.count, .choice = "no room"};
    for (PlacementCandidate &candidate : m_pool.candidates(needs, now)) {
        if (!candidate.exclusion.empty())
            ++result.excluded[candidate.exclusion];
        else if (result.best.size() < mostExplainedWorkers)
            result.best.push_back(std::move(candidate));
    }
    if (result.best.empty() || !partition.mayPlace)
        return result;
    const RackRoom room = m_pool.rackRoom(needs);
    const auto ahead = m_rackWaitingCpuMilli.find({spec.service, step.data_rack});
    const bool isNear = result.best.front().isNear;
    const PlacementDecision decision = m_placementWait.preview(
        {.service = spec.service,
         .queue = spec.queue,
         .rack = step.data_rack,
         .cpuMilli = int64_t{step.cpu_milli} * step.count,
         .expectedNear = near,
         .farFactor = m_options.farFactor,
         .slack = slack,
         .limit = objective(spec),
         .stretch = spec.stretch,
         .isRejectedIfLate = spec.best_effort,
         .isRackUsable = room.rackWorkers > 0 && room.largestOnRackMilli >= step.cpu_milli,
         .hasNearRoom = isNear,
         .hasFarRoom = true,
         .freeShare = static_cast<double>(room.freeMilli)
             / static_cast<double>(std::max<int64_t>(1, room.capacityMilli)),
         .aheadCpuMilli = ahead == m_rackWaitingCpuMilli.end() ? 0 : ahead->second},
        now);
    if (decision.choice == PlacementChoice::Wait) {
        result.choice = "wait";
        result.longestWait = decision.longestWait;
        if (decision.nearEnd) {
            result.expectedEnd = start + *decision.nearEnd;
            result.expectedStart = *result.expectedEnd - near;
        }
        return result;
    }
    result.choice = isNear ? "near" : "far";
    result.expectedStart = start;
    result.expectedEnd = start + (isNear ? near : decision.farEnd);
    return result;
}

JobExplanation JobScheduler::explain(const JobSpec &spec, Millis now) const
{
    JobExplanation result{
        .knownAs = jobState(spec.id), .objective = objective(spec), .admission = explainAdmission(spec, now)};
    for (uint32_t number = 0; number < spec.steps.size(); ++number) {
        Millis start = result.admission.predictedWait;
        bool isStartKnown = true;
        for (const uint32_t earlier : spec.steps[number]->after) {
            const auto end = earlier < number ? result.steps[earlier].expectedEnd : std::nullopt;
            isStartKnown = isStartKnown && end.has_value();
            start = std::max(start, end.value_or(start));
        }
        StepExplanation step = explainStep(spec, number, start, now);
        if (!isStartKnown) {
            step.expectedStart.reset();
            step.expectedEnd.reset();
        }
        result.steps.push_back(std::move(step));
    }
    return result;
}

} // namespace turmericwell
