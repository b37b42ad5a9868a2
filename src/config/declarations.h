// The declarations that operators apply as a whole: availability zones, services, teams, target groups, job
// classes.
#pragma once

#include "config/jsonreader.h"
#include "turmericwell/millis.h"
#include "turmericwell/task.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

enum class ServingState : uint8_t { InService, Withdrawn };

struct ZoneDeclaration
{
    std::string name;
    std::string region;
    ServingState state = ServingState::InService;
    // One-way latency to other zones, in ms.
    std::map<std::string, double> latencyMs;
};

// One kind of request of a service.
struct CallDeclaration
{
    std::string name;
    // A call that is not repeatable is started at most once, ever.
    bool repeatable = false;
    // Starts of one task, counting the first; above 1 only for repeatable calls.
    uint32_t maxStarts = 1;
    Millis deadline = {30'000};
    // Expected run time; used for queue estimates only.
    uint32_t runMs = 0;
    TaskNeeds needs;
};

struct ServiceDeclaration
{
    std::string name;
    std::vector<CallDeclaration> calls;
    // Limits over all entries; zero means the built-in default.
    uint32_t maxRunning = 0;
    uint32_t maxQueued = 0;

    const CallDeclaration *findCall(std::string_view name) const;
};

struct TeamDeclaration
{
    std::string name;
    uint32_t weight = 1;
    // Quotas over all entries; zero means no quota.
    uint32_t startsPerSecond = 0;
    uint32_t maxRunning = 0;
};

// Targets by selector; an empty list in the selector matches all.
struct TargetGroupDeclaration
{
    std::string name;
    std::string service;
    std::vector<std::string> zones;
    std::vector<std::string> racks;
    std::vector<std::string> targets;
    ServingState state = ServingState::InService;

    bool matches(const TargetInfo &target) const;
};

// A named kind of job; callers may name it in place of service and call.
struct JobClassDeclaration
{
    std::string name;
    std::string service;
    std::string call;
    uint32_t maxTasks = 420;
    Millis deadline = {60'000};
    TaskNeeds needs;
};

struct Declarations
{
    std::vector<ZoneDeclaration> zones;
    std::vector<ServiceDeclaration> services;
    std::vector<TeamDeclaration> teams;
    std::vector<TargetGroupDeclaration> targetGroups;
    std::vector<JobClassDeclaration> jobClasses;

    const ZoneDeclaration *findZone(std::string_view name) const;
    const ServiceDeclaration *findService(std::string_view name) const;
    const TeamDeclaration *findTeam(std::string_view name) const;
    const JobClassDeclaration *findJobClass(std::string_view name) const;
    // A zone that is not declared counts as in service.
    bool isZoneWithdrawn(std::string_view name) const;
    bool isTargetWithdrawn(const TargetInfo &target) const;
};

// A declaration file and its text.
struct DeclarationFile
{
    std::string name;
    std::string text;
};

// Merges the files. The result is meaningful only if no problem was added.
Declarations parseDeclarations(std::span<const DeclarationFile> files, Problems &problems);
// Reads the canonical JSON form back, as it stands in configuration records.
Declarations declarationsFromJson(const boost::json::value &value, Problems &problems);
// Canonical form: equal declarations give equal text, whatever the order of files and keys.
boost::json::value toJson(const Declarations &declarations);

} // namespace turmericwell
