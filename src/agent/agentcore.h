// Decisions of the agent beside one target: the last check before a start, and the authority on the target's
// slots.
#pragma once

#include "turmericwell/millis.h"
#include "turmericwell/outcome.h"
#include "turmericwell/task.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace turmericwell {

// --- actions ---

// Run the task on the target.
struct RunOnTarget
{
    TaskStart start;
};
// Stop a running task through the target.
struct StopOnTarget
{
    TaskRef task;
};
// Tell an entry how an attempt ended.
struct SendResult
{
    std::string entry;
    TaskResult result;
};
enum class RevokeState : uint8_t { Revoked, Running, Finished };
struct SendRevokeAck
{
    std::string entry;
    TaskRef task;
    RevokeState state = RevokeState::Revoked;
    // Set if the state is Finished.
    TaskResult result;
};
struct SendCredits
{
    std::string entry;
    uint32_t credits = 0;
};
using AgentAction = std::variant<RunOnTarget, StopOnTarget, SendResult, SendRevokeAck, SendCredits>;
using AgentActions = std::vector<AgentAction>;

struct AgentOptions
{
    Millis freshness = {3'000};
    Millis targetLease = {3'000};
    Millis dedupWindow = {600'000};
    // Starts without a free slot that may wait; zero means as many as there are slots.
    uint32_t maxQueued = 0;
};

// The part of the configuration that concerns this agent.
struct AgentSlice
{
    uint64_t configVersion = 0;
    uint64_t digest = 0;
    bool zoneWithdrawn = false;
    bool targetWithdrawn = false;
};

// Invariants: at most `slots` tasks run at a time; an attempt that was started, refused or revoked is never
// started afterwards; nothing starts without fresh evidence, in a withdrawn zone, or on a leaving target.
class AgentCore
{
public:
    explicit AgentCore(AgentOptions options);

    // --- target ---
    AgentActions targetAnnounced(const TargetInfo &target, bool leaving, Millis now);
    AgentActions taskEnded(const TaskResult &result, Millis now);

    // --- entries ---
    AgentActions entryConnected(const std::string &entry, Millis now);
    AgentActions entryDisconnected(const std::string &entry, Millis now);
    AgentActions start(const std::string &entry, const TaskStart &start, Millis now);
    AgentActions revoke(const std::string &entry, const TaskRef &task, Millis now);
    AgentActions stop(const TaskRef &task);
    // Evidence that an entry was current at a time on this agent's clock.
    void evidence(Millis currentAt);
    AgentActions applySlice(const AgentSlice &slice, Millis now);
    AgentActions drain(Millis now);
    AgentActions tick(Millis now);

    bool isFresh(Millis now) const;
    uint32_t running() const { return static_cast<uint32_t>(m_running); }
    uint32_t queued() const { return static_cast<uint32_t>(m_queue.size()); }
    uint32_t creditEpoch() const { return m_creditEpoch; }
    const AgentSlice &slice() const { return m_slice; }
    const TargetInfo &target() const { return m_target; }
    bool isTargetUp(Millis now) const;
    bool isLeaving() const { return m_leaving || m_draining; }

private:
    enum class RecordState : uint8_t { Queued, Running, Finished, Refused };

    // What this agent knows of one attempt; kept for the deduplication window.
    struct Record
    {
        std::string entry;
        RecordState state = RecordState::Queued;
        TaskResult result;
        bool usesCredit = false;
        bool repeatable = false;
        Millis deadline;
        Millis since;
    };

    struct Waiting
    {
        TaskStart start;
        std::string entry;
    };

    // Empty if a task may start now.
    std::string_view refusal(Millis now) const;
    void startQueued(Millis now, AgentActions &actions);
    void refuse(const TaskRef &task, std::string_view why, Millis now, AgentActions &actions);
    void refuseQueue(std::string_view why, Millis now, AgentActions &actions);
    void beginCreditEpoch(AgentActions &actions);
    bool endCreditUse(const Record &record);
    void grantCredits(AgentActions &actions);

    AgentOptions m_options;
    TargetInfo m_target;
    Millis m_announcedAt;
    bool m_leaving = false;
    bool m_draining = false;
    Millis m_currentAt = {INT64_MIN / 2};
    AgentSlice m_slice;
    std::unordered_map<TaskRef, Record> m_records;
    std::deque<Waiting> m_queue;
    size_t m_running = 0;
    // Credits that each connected entry holds or uses in the present epoch.
    std::map<std::string, uint32_t> m_entries;
    // Running and queued tasks that use a credit, by entry, also of entries that are not connected.
    std::map<std::string, uint32_t> m_active;
    uint32_t m_creditEpoch = 1;
};

} // namespace turmericwell
