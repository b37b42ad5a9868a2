// Team quotas and service limits at one entry.
#pragma once

#include "config/configstate.h"
#include "limits/tokenbucket.h"
#include "turmericwell/millis.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwell {

struct AdmissionRejection
{
    std::string_view reason;
    Millis retryAfter;
};

// Properties of a submission that admission depends on.
struct AdmissionRequest
{
    std::string_view service;
    std::string_view team;
    uint32_t tasks = 1;
    // Time until the deadline.
    Millis budget;
};

// Stage of an admitted task. Waiting: throttled by a running limit or in a backoff. Released: in the router's
// queue. Running: sent to an agent. None: not admitted yet, or ended.
enum class TaskStage : uint8_t { None, Waiting, Released, Running };

// The configured limits are divided evenly among the entries. The running limits bound the tasks that are
// released or running, so that a limited team does not fill the router's queue. Not thread-safe; the caller
// holds the owner's lock.
class Admission
{
public:
    void setConfig(ConfigPtr config);
    void setEntryCount(uint32_t entries);

    // Empty if the submission is admitted. Its tasks are then deducted from the team's rate of starts; the
    // caller reports their stages afterwards.
    std::optional<AdmissionRejection> admit(const AdmissionRequest &request, Millis now);

    // Whether the running limits of the team and the service allow another task to be released now.
    bool mayRelease(std::string_view service, std::string_view team) const;

    // Reports a change of the stage of a task. Each task passes through the stages in order and ends with
    // None.
    void stageChanged(const std::string &service, const std::string &team, TaskStage from, TaskStage to);
    // Records the run time of a task that ended, for the estimate of the queue wait.
    void recordRunTime(const std::string &service, Millis time);

    // Number of tasks that are waiting or released.
    uint32_t queuedOf(std::string_view service) const;
    uint64_t rejections() const { return m_rejections; }
    // Estimated time until the service has started all queued tasks and `tasks` more; zero until a run time
    // has been recorded or while no task is running.
    Millis estimatedWait(std::string_view service, uint32_t tasks) const;

private:
    struct Service
    {
        // Waiting or released.
        uint32_t queued = 0;
        // Released or running.
        uint32_t released = 0;
        uint32_t running = 0;
        // Exponential moving average; empty until a task has ended.
        std::optional<double> meanRunMs;
    };
    struct Team
    {
        // Released or running.
        uint32_t released = 0;
        std::optional<TokenBucket> starts;
    };

    uint32_t share(uint32_t limit) const;
    std::optional<AdmissionRejection> rejection(const AdmissionRequest &request, Millis now);
    void refreshRates();

    ConfigPtr m_config = std::make_shared<Config>();
    uint32_t m_entries = 1;
    std::map<std::string, Service, std::less<>> m_services;
    std::map<std::string, Team, std::less<>> m_teams;
    uint64_t m_rejections = 0;
};

} // namespace turmericwell
