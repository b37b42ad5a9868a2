// Declarations of availability zones, services, teams, target groups and job classes. Operators apply them
// together, as one configuration.
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

// A type of request that a service handles.
struct CallDeclaration
{
    std::string name;
    // Each task of a call that is not repeatable is started at most once, even after failures.
    bool repeatable = false;
    // Maximum number of starts of one task, including the first; above 1 only for repeatable calls.
    uint32_t maxStarts = 1;
    Millis deadline = {30'000};
    // Expected run time; used only to estimate queueing time.
    uint32_t runMs = 0;
    TaskNeeds needs;
};

struct ServiceDeclaration
{
    std::string name;
    std::vector<CallDeclaration> calls;
    // Limits for all entries together; zero means the built-in default.
    uint32_t maxRunning = 0;
    uint32_t maxQueued = 0;

    const CallDeclaration *findCall(std::string_view name) const;
};

struct TeamDeclaration
{
    std::string name;
    uint32_t weight = 1;
    // Quotas for all entries together; zero means no quota.
    uint32_t startsPerSecond = 0;
    uint32_t maxRunning = 0;
};

// A set of targets chosen by a selector. An empty list in the selector matches all values.
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

// A named type of job, which clients can specify instead of service and call.
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
    // A zone that is not declared is treated as in service.
    bool isZoneWithdrawn(std::string_view name) const;
    bool isTargetWithdrawn(const TargetInfo &target) const;
};

struct DeclarationFile
{
    std::string name;
    std::string text;
};

// Parses, merges and checks the files. The result is valid only if no problem was added.
Declarations parseDeclarations(std::span<const DeclarationFile> files, Problems &problems);
// Parses the canonical JSON form, which configuration records contain.
Declarations declarationsFromJson(const boost::json::value &value, Problems &problems);
// Canonical JSON form: equal declarations give equal text, regardless of the order of files and keys.
boost::json::value toJson(const Declarations &declarations);

} // namespace turmericwell
