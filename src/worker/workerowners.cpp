// Claims and releases of partitions, contact with their owners, and what owners report about runs.
#include "jobs/jobscheduler.h"
#include "worker/workermanager.h"

#include <algorithm>

namespace turmericwell {

WorkerManager::Owner &WorkerManager::ownerOf(const RunId &run)
{
    const uint32_t partition = partitionOf(run.task.job, m_options.partitions);
    const auto [owner, isNew] = m_owners.try_emplace(partition);
    if (isNew)
        owner->second.lastContact = m_startedAt;
    return owner->second;
}

void WorkerManager::entryConnected(EntryNumber entry, Millis now)
{
    m_contacts[entry] = now;
    m_ordersReceived[entry] = 0;
}

void WorkerManager::entryDisconnected(EntryNumber entry)
{
    m_contacts.erase(entry);
    m_ordersReceived.erase(entry);
    for (auto &[number, owner] : m_owners) {
        if (owner.entry == entry)
            owner.entry.reset();
    }
}

void WorkerManager::entryAnswered(EntryNumber entry, Millis pingSentAt)
{
    const auto found = m_contacts.find(entry);
    if (found == m_contacts.end())
        return;
    found->second = std::max(found->second, pingSentAt);
    for (auto &[number, owner] : m_owners) {
        if (owner.entry == entry)
            owner.lastContact = std::max(owner.lastContact, found->second);
    }
}

void WorkerManager::setEvacuatedZones(std::set<std::string> zones, Millis now)
{
    if (zones == m_evacuated)
        return;
    m_evacuated = std::move(zones);
    m_reportChanged = true;
    const bool isEvacuated = worker() && m_evacuated.contains(worker()->zone);
    m_log.always(now, "evacuated_zones_changed", {{"zones", m_evacuated.size()}, {"own_zone", isEvacuated}});
    if (isEvacuated)
        rejectQueued(RejectReason::Evacuated, now);
    startQueued(now);
}

void WorkerManager::claim(EntryNumber entry, uint32_t partition, uint64_t epoch, Millis now, uint64_t number)
{
    Owner &owner = m_owners[partition];
    if (epoch < owner.epoch) {
        m_log.always(now, "claim_rejected",
                     {{"partition", partition}, {"epoch", epoch}, {"known", owner.epoch}});
        rejectClaim(entry, partition, epoch);
        return;
    }
    m_log.always(now, "claim_accepted",
                 {{"partition", partition}, {"epoch", epoch}, {"before", owner.epoch}});
    // A former owner that cannot reach the store learns of the new claim only from this message.
    if (owner.entry && *owner.entry != entry && owner.epoch < epoch)
        rejectClaim(*owner.entry, partition, owner.epoch);
    owner.epoch = epoch;
    owner.entry = entry;
    owner.lastContact = std::max(owner.lastContact, m_contacts[entry]);
    owner.reportDue = true;
    owner.leaseBoundSent = false;
    owner.claimNumber = number;
    // The new owner will order again the runs that have not been started.
    dropQueued(partition);
    reportClaims(now);
}

void WorkerManager::release(EntryNumber entry, uint32_t partition, uint64_t epoch, Millis now)
{
    Owner &owner = m_owners[partition];
    if (owner.entry != entry || owner.epoch != epoch)
        return;
    m_log.always(now, "partition_released", {{"partition", partition}, {"epoch", epoch}});
    owner.entry.reset();
    dropQueued(partition);
}

void WorkerManager::dropQueued(uint32_t partition)
{
    std::erase_if(m_runs, [&](const auto &item) {
        return item.second.phase == RunPhase::Queued && item.second.order.partition == partition;
    });
    m_reportChanged = true;
}

void WorkerManager::rejectClaim(EntryNumber entry, uint32_t partition, uint64_t epoch)
{
    fleet::ClaimReportT report;
    report.partition = partition;
    report.epoch = epoch;
    m_effects.sendClaimReport(entry, report);
}

void WorkerManager::reportClaims(Millis now)
{
    if (!m_listsKnown)
        return;
    for (auto &[partition, owner] : m_owners) {
        if (!owner.reportDue || !owner.entry)
            continue;
        owner.reportDue = false;
        fleet::ClaimReportT report;
        report.partition = partition;
        report.epoch = owner.epoch;
        report.accepted = true;
        report.claim = owner.claimNumber;
        for (const auto &[id, run] : m_runs) {
            if (run.order.partition == partition && run.phase != RunPhase::Queued)
                report.running.push_back(toWire(id));
        }
        for (const auto &[id, run] : m_formerRuns) {
            if (run.order.partition == partition)
                report.running.push_back(toWire(id));
        }
        for (const auto &[number, end] : m_ends) {
            if (end.stored || partitionOf(end.run.task.job, m_options.partitions) != partition)
                continue;
            auto item = std::make_unique<fleet::RunEndT>();
            item->run = std::make_unique<fleet::RunRef>(toWire(end.run));
            item->kind = end.kind;
            item->checkpoint = end.checkpoint;
            report.ended.push_back(std::move(item));
        }
        m_log.write(now, "claim_reported",
                    {{"partition", partition},
                     {"epoch", owner.epoch},
                     {"running", report.running.size()},
                     {"ended", report.ended.size()}});
        m_effects.sendClaimReport(*owner.entry, report);
    }
}

// A process that has never had an answer of the worker has renewed no lease and started no run, so the runs
// that it cannot see end with the leases that a former process was granted. An owner that has been told so
// does not depend on a later report, which never comes if this instance disappears together with its worker.
void WorkerManager::sendLeaseBounds(Millis now)
{
    const bool hasHeardOfWorker = m_clockSampledAt.count != 0;
    if (m_listsKnown || hasHeardOfWorker || m_listPollFailures < failuresUntilUnusable)
        return;
    for (auto &[partition, owner] : m_owners) {
        if (!owner.reportDue || !owner.entry || owner.leaseBoundSent)
            continue;
        owner.leaseBoundSent = true;
        m_promisedLeaseEnd = m_leaseEnd;
        fleet::LeaseBoundT bound;
        bound.partition = partition;
        bound.epoch = owner.epoch;
        bound.claim = owner.claimNumber;
        bound.lease_left_ms = (m_leaseEnd - now).count;
        m_log.always(now, "lease_bound_sent",
                     {{"partition", partition},
                      {"epoch", owner.epoch},
                      {"claim", owner.claimNumber},
                      {"lease_left_ms", bound.lease_left_ms},
                      {"started_ms_ago", now - m_startedAt},
                      {"failed_polls", m_listPollFailures}});
        m_effects.sendLeaseBound(*owner.entry, bound);
    }
}

void WorkerManager::endStored(const RunId &run)
{
    // The worker can be used again once its list of ends has room.
    m_reportChanged = m_reportChanged || pendingEnds() >= mostListedEnds;
    for (auto &[number, end] : m_ends) {
        if (end.run == run)
            end.stored = true;
    }
}

void WorkerManager::endDisputed(const RunId &run, Millis now)
{
    for (auto &[number, end] : m_ends) {
        if (end.run != run || end.isDisputed)
            continue;
        end.isDisputed = true;
        m_log.write(now, "run_end_disputed",
                    {{"job", jobIdText(run.task.job)},
                     {"task", taskIdText(run.task)},
                     {"run", run.number},
                     {"end", number},
                     {"lapsed_since", number <= m_lapsedAfterEnd}});
    }
}

void WorkerManager::recordSize(const RunId &id, const Resources &size, Millis now)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end() || found->second.sizeKnown)
        return;
    found->second.sizeKnown = true;
    found->second.order.size = size;
    m_reportChanged = true;
    startQueued(now);
}

std::map<uint32_t, EntryNumber> WorkerManager::connectedOwners() const
{
    std::map<uint32_t, EntryNumber> owners;
    for (const auto &[partition, owner] : m_owners) {
        if (owner.entry)
            owners[partition] = *owner.entry;
    }
    return owners;
}

void WorkerManager::checkOwners(Millis now)
{
    for (auto &[id, run] : m_runs) {
        const Owner &owner = ownerOf(id);
        if (now - owner.lastContact <= m_options.ownerTimeout)
            continue;
        if (run.phase != RunPhase::Starting && run.phase != RunPhase::Running)
            continue;
        m_log.write(now, "run_stopped_without_owner",
                    {{"job", jobIdText(id.task.job)},
                     {"task", taskIdText(id.task)},
                     {"run", id.number},
                     {"silent_ms", now - owner.lastContact}});
        sendStop(run, now);
    }
}

} // namespace turmericwell
