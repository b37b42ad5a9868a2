// Outcomes of tasks and submissions, and the answer to a caller.
#pragma once

#include "turmericwell/millis.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

// NotRun is used only if it is certain that no process has started the task or can still start it. Otherwise
// the outcome of a task without an answer is Unknown.
enum class Outcome : uint8_t { Complete, Failed, NotRun, Unknown };

// Returns "complete", "failed", "not_run" or "unknown", the names used in the caller API.
std::string_view toString(Outcome outcome);

// Reasons in answers to callers, in events and in operator output. The list is part of the public interface
// (docs/operators.md).
namespace reason {
inline constexpr std::string_view none = "";
inline constexpr std::string_view busy = "busy";
inline constexpr std::string_view stale = "stale";
inline constexpr std::string_view zoneWithdrawn = "zone_withdrawn";
inline constexpr std::string_view targetLeaving = "target_leaving";
inline constexpr std::string_view targetWithdrawn = "target_withdrawn";
inline constexpr std::string_view targetLost = "target_lost";
inline constexpr std::string_view targetError = "target_error";
inline constexpr std::string_view agentLost = "agent_lost";
inline constexpr std::string_view entryLost = "entry_lost";
inline constexpr std::string_view entryFenced = "entry_fenced";
inline constexpr std::string_view stopping = "stopping";
inline constexpr std::string_view deadline = "deadline";
inline constexpr std::string_view cancelled = "cancelled";
inline constexpr std::string_view revoked = "revoked";
inline constexpr std::string_view quota = "quota";
inline constexpr std::string_view queueFull = "queue_full";
inline constexpr std::string_view impossible = "impossible";
inline constexpr std::string_view conflict = "key_conflict";
inline constexpr std::string_view windowPassed = "window_passed";
inline constexpr std::string_view answerDropped = "answer_dropped";
inline constexpr std::string_view incompleteTakeover = "incomplete_takeover";
inline constexpr std::string_view ownerUnavailable = "owner_unavailable";
inline constexpr std::string_view unknownService = "unknown_service";
inline constexpr std::string_view unknownCall = "unknown_call";
inline constexpr std::string_view unknownTeam = "unknown_team";
inline constexpr std::string_view unknownJob = "unknown_job";
inline constexpr std::string_view badInput = "bad_input";
inline constexpr std::string_view tooLarge = "too_large";
inline constexpr std::string_view duplicateStart = "duplicate_start";
} // namespace reason

// Answer to a submission. With outcome Complete, answers has one element for each task, in order; otherwise
// it is empty.
struct Answer
{
    Outcome outcome = Outcome::Unknown;
    std::string reason;
    // HTTP status in the caller API.
    int status = 200;
    // Delay before the caller should retry; zero if no delay is suggested.
    Millis retryAfter;
    std::vector<std::string> answers;
    uint32_t tasks = 0;
    uint32_t finished = 0;
    // The submission is still running and its outcome is undecided. Only lookups set this.
    bool running = false;
};

} // namespace turmericwell
