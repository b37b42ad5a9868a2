// Quotas of teams and limits of services at one entry.
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

struct AdmissionRefusal
{
    std::string_view reason;
    Millis retryAfter;
};

// A submission as admission sees it.
struct AdmissionRequest
{
    std::string_view service;
    std::string_view team;
    uint32_t tasks = 1;
    // Time until the deadline.
    Millis budget;
};

// Where an admitted task is. Waiting: held back by a limit or a backoff. Released: in the router's queue.
// Running: sent to an agent. None: not here yet, or ended.
enum class TaskStage : uint8_t { None, Waiting, Released, Running };

// Limits of the configuration are divided evenly by the number of entries. The running limits bound the tasks
// that are released or running, so that a limited team does not fill the router's queue. Not thread-safe; the
// owner holds its lock.
class Admission
{
public:
    void setConfig(ConfigPtr config);
    void setEntryCount(uint32_t entries);

    // Empty if the submission is admitted. An admitted one has taken its share of the rate; its tasks are
    // counted with moved().
    std::optional<AdmissionRefusal> admit(const AdmissionRequest &request, Millis now);

    // Whether a task may be released now, given the running limits of its team and service.
    bool mayRelease(std::string_view service, std::string_view team) const;

    // Each task moves through its stages in order and ends with None.
    void moved(const std::string &service, const std::string &team, TaskStage from, TaskStage to);
    // Run time of a task that ended, for the estimate of the queue's wait.
    void ran(const std::string &service, Millis time);

    // Tasks that are waiting or released.
    uint32_t queuedOf(std::string_view service) const;
    uint64_t refusals() const { return m_refusals; }
    // Time in which the queue of the service starts `tasks` more; zero while nothing is known.
    Millis estimatedWait(std::string_view service, uint32_t tasks) const;

private:
    struct Service
    {
        // Waiting or released.
        uint32_t queued = 0;
        // Released or running.
        uint32_t released = 0;
        uint32_t running = 0;
        // Moving average; empty until a task has ended.
        std::optional<double> meanRunMs;
    };
    struct Team
    {
        // Released or running.
        uint32_t released = 0;
        std::optional<TokenBucket> starts;
    };

    uint32_t share(uint32_t limit) const;
    std::optional<AdmissionRefusal> refusal(const AdmissionRequest &request, Millis now);
    void refreshRates();

    ConfigPtr m_config = std::make_shared<Config>();
    uint32_t m_entries = 1;
    std::map<std::string, Service, std::less<>> m_services;
    std::map<std::string, Team, std::less<>> m_teams;
    uint64_t m_refusals = 0;
};

} // namespace turmericwell
