// Settings of entries and agents on a platform that provides a store.
#pragma once

#include "config/jsonreader.h"
#include "jobs/fairshares.h"
#include "jobs/policies.h"
#include "jobs/runnumbers.h"
#include "net/address.h"
#include "net/inputlimits.h"

#include <optional>
#include <string>

namespace turmericwell {

struct FleetSettings
{
    std::string name;
    std::string zone;
    Address store;
    // Listens for connections from other entries and agents.
    Address peerListen;
    // Address at which other processes reach peerListen. It differs only behind a proxy or address
    // translation.
    Address peerAddress;
    // Entries only.
    Address clientListen;
    Address readyListen;
    // Agents only: controlListen receives the worker's announcements; `worker` is the address of the worker's
    // own interface.
    Address controlListen;
    Address worker;
    Address metricsListen;
    uint32_t partitions = 8;
    // Entries: run numbers that an owner may use without a record. No key of the settings file: all versions
    // of the program have to use the same.
    uint32_t runsPerEpoch = RunNumbers::defaultRangeSize;
    Millis leastMemberTtl;
    Millis workerLease;
    Millis stopGrace;
    uint32_t logLinesPerSecond = 800;
    InputLimits input;
    // Entries: fraction of a processor available to the instance, and the processor's speed relative to a
    // typical one. Partitions are assigned in proportion to the product.
    double processorShare = 0.125;
    double processorSpeed = 1;
    // Entries: percentage of a job's slack that the predicted wait may use up before the job is rejected.
    uint32_t admissionSlackPercent = 45;
    // Entries: percentage of the wait allowed to more urgent jobs up to which a new job may lengthen that
    // wait; 0 means no limit.
    uint32_t urgentSlackPercent = 100;
    // Entries: a partition that is given up is served until its next owner has loaded it. Must be the
    // same at all entries, since a new owner waits for former owners accordingly.
    bool servesUntilTaken = false;
    // Entries: after a restart, the group of owners is joined without waiting for further processes to appear
    // if the member list names an established fleet.
    bool joinsKnownFleetAtOnce = false;
    // Entries: order of the waiting jobs, and policy for choosing a worker.
    QueueOrder queueOrder;
    PlacementPolicy placement;
    // Both: estimate the workers' speeds at the agents, and use them at the entries.
    bool learnWorkerSpeeds = false;
    // Entries: when a run beyond its expected time is moved to another worker.
    LongRunPolicy moveLongRuns;
    // Entries: whether tasks may wait for free resources near their data, and the factor by which a run takes
    // longer far from its data.
    bool placementWait = false;
    double farFactor = 1;
    // Entries: rule by which a job is admitted or rejected, and the shares of queues and zones under
    // scarcity.
    AdmissionPolicy admission;
    std::optional<SharesSettings> shares;
    // Agents: size of the start orders that may wait at the agent beyond the worker's free resources, in
    // percent of the worker's processors.
    uint32_t queueAllowancePercent = 10;
    // Agents: an agent whose worker has been gone for this long, with all leases ended, withdraws its
    // registration, and registers only while its worker answers; 0 to stay registered without a worker.
    Millis leaveWithoutWorker;
};

// Parses the settings file of an entry or an agent; problems are appended to the list.
FleetSettings parseFleetEntrySettings(const std::string &file, std::string_view text, Problems &problems);
FleetSettings parseFleetAgentSettings(const std::string &file, std::string_view text, Problems &problems);

} // namespace turmericwell
