// Text form of the events of the timeline.
#include "observe/timeline.h"

#include "turmericwell/outcome.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <map>
#include <optional>

namespace turmericwell {

namespace {

struct Explanation
{
    std::string_view reason;
    std::string_view text;
};

constexpr std::array explanations = {
    Explanation{reason::busy, "all slots and the agent's queue were full"},
    Explanation{reason::stale, "the process had no fresh evidence that its configuration is the newest"},
    Explanation{reason::zoneWithdrawn, "operators have withdrawn the availability zone"},
    Explanation{reason::targetLeaving, "the target has announced that it leaves"},
    Explanation{reason::targetWithdrawn, "operators have withdrawn a target group with this target"},
    Explanation{reason::targetLost, "the target no longer announces itself"},
    Explanation{reason::targetError, "the target answered with an error"},
    Explanation{reason::agentLost, "the connection to the agent was lost for too long"},
    Explanation{reason::entryLost, "the entry that ran the submission was lost"},
    Explanation{reason::entryFenced, "the entry had been taken over by another one"},
    Explanation{reason::stopping, "the process was stopping"},
    Explanation{reason::deadline, "the deadline passed before the task could start"},
    Explanation{reason::cancelled, "the caller cancelled the job"},
    Explanation{reason::revoked, "the entry withdrew the start before it took place"},
    Explanation{reason::quota, "the team's quota was used up"},
    Explanation{reason::queueFull, "the queue was full or could not meet the deadline"},
    Explanation{reason::impossible, "no target can ever meet the declared needs"},
    Explanation{reason::conflict, "the key was used before with a different body"},
    Explanation{reason::windowPassed, "the key is older than the deduplication window"},
    Explanation{reason::answerDropped, "the answer was dropped to bound the memory of answers"},
    Explanation{reason::incompleteTakeover, "records of a lost entry are incomplete, the task may have run"},
    Explanation{reason::ownerUnavailable, "the entry that owns the key was not reachable"},
    Explanation{reason::unknownService, "the service is not declared"},
    Explanation{reason::unknownCall, "the service has no such call"},
    Explanation{reason::unknownTeam, "the team is not declared"},
    Explanation{reason::unknownJob, "no entry has a record of the job"},
    Explanation{reason::badInput, "the request was not well formed"},
    Explanation{reason::tooLarge, "the request was too large"},
    Explanation{reason::duplicateStart, "the agent had already taken this attempt"},
};

std::string timeText(Millis time)
{
    const std::time_t seconds = time.count / 1'000;
    std::tm parts = {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> day = {};
    const size_t size = std::strftime(day.data(), day.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::string milliseconds = std::to_string(time.count % 1'000);
    milliseconds.insert(0, 3 - std::min<size_t>(3, milliseconds.size()), '0');
    return std::string(day.data(), size) + "." + milliseconds + "Z";
}

// Formats the lines in timeline order. Records when each process accepted a submission and sent or started a
// task, in order to compute elapsed times.
class LineFormatter
{
public:
    std::string line(const Event &event)
    {
        std::string text = timeText(event.time) + " " + event.process
            + (event.zone.empty() ? "" : " (" + event.zone + ")") + ": " + sentence(event);
        if (event.configVersion != 0)
            text += " [config " + std::to_string(event.configVersion) + "]";
        if (!event.causeProcess.empty())
            text += " [after " + event.causeProcess + "#" + std::to_string(event.causeSequence) + "]";
        return text;
    }

private:
    using Key = std::pair<std::string, std::string>;

    // Time since an earlier event of the same process. Times of different clocks are never compared.
    static std::string elapsedText(const std::map<Key, Millis> &times, const Key &key, Millis now,
                                   std::string_view words)
    {
        const auto found = times.find(key);
        if (found == times.end())
            return "";
        return ", " + std::to_string((now - found->second).count) + " ms after " + std::string(words);
    }

    static std::string reasonText(const std::string &why)
    {
        if (why.empty())
            return "";
        const std::string_view meaning = explainReason(why);
        return ": " + why + (meaning.empty() ? "" : " (" + std::string(meaning) + ")");
    }

    std::string sentence(const Event &event)
    {
        switch (event.kind) {
        case EventKind::TaskQueued:
        case EventKind::TaskSent:
        case EventKind::TaskStarted:
        case EventKind::TaskFinished:
        case EventKind::TaskRefused:
        case EventKind::TaskRevoked:
        case EventKind::TaskRetried:
            return taskSentence(event);
        case EventKind::SubmissionAccepted:
        case EventKind::SubmissionAttached:
        case EventKind::SubmissionRefused:
        case EventKind::SubmissionForwarded:
        case EventKind::SubmissionAnswered:
            return submissionSentence(event);
        default:
            return processSentence(event);
        }
    }

    std::string taskSentence(const Event &event)
    {
        const std::string task = "task " + event.task;
        const Key key = {event.process, event.task};
        switch (event.kind) {
        case EventKind::TaskQueued:
            return task + " waits for a free slot" + reasonText(event.reason);
        case EventKind::TaskSent: {
            m_sent[key] = event.time;
            return task + " was sent to " + event.target + reasonText(event.reason)
                + elapsedText(m_accepted, {event.process, event.job}, event.time,
                              "its submission was accepted");
        }
        case EventKind::TaskStarted:
            m_started[key] = event.time;
            return task + " was started on target " + event.target + reasonText(event.reason);
        case EventKind::TaskFinished:
            return task + " ended" + (event.target.empty() ? "" : " on " + event.target)
                + reasonText(event.reason) + elapsedText(m_started, key, event.time, "its start")
                + elapsedText(m_sent, key, event.time, "it was sent");
        case EventKind::TaskRefused:
            return task + " was refused" + (event.target.empty() ? "" : " by " + event.target)
                + reasonText(event.reason) + "; it did not run there";
        case EventKind::TaskRevoked:
            return task + " was revoked" + reasonText(event.reason);
        default:
            return task + " is tried again" + reasonText(event.reason);
        }
    }

    std::string submissionSentence(const Event &event)
    {
        const std::string job = "submission " + event.job;
        const Key key = {event.process, event.job};
        switch (event.kind) {
        case EventKind::SubmissionAccepted:
            m_accepted[key] = event.time;
            return job + " was accepted" + reasonText(event.reason);
        case EventKind::SubmissionAttached:
            return job + " was submitted again and joined the known one" + reasonText(event.reason);
        case EventKind::SubmissionRefused:
            return job + " was refused" + reasonText(event.reason);
        case EventKind::SubmissionForwarded:
            return job + " was forwarded to its owner " + event.reason;
        default:
            return job + " was answered" + reasonText(event.reason)
                + elapsedText(m_accepted, key, event.time, "it was accepted");
        }
    }

    static std::string processSentence(const Event &event)
    {
        switch (event.kind) {
        case EventKind::ConfigAccepted:
            return "configuration version " + std::to_string(event.configVersion) + " came into force"
                + (event.reason.empty() ? "" : ", made by " + event.reason);
        case EventKind::ConfigRefused:
            return "a configuration record was refused" + reasonText(event.reason);
        case EventKind::ZoneWithdrawn:
            return "availability zone " + event.reason + " was withdrawn";
        case EventKind::ZoneReturned:
            return "availability zone " + event.reason + " was returned to service";
        case EventKind::BecameStale:
            return "the evidence became stale: nothing is started from now on";
        case EventKind::BecameCurrent:
            return "the evidence is fresh: tasks may be started";
        default: {
            std::string text(toString(event.kind));
            std::replace(text.begin(), text.end(), '_', ' ');
            return text + (event.target.empty() ? "" : " " + event.target) + reasonText(event.reason);
        }
        }
    }

    std::map<Key, Millis> m_accepted;
    std::map<Key, Millis> m_sent;
    std::map<Key, Millis> m_started;
};

} // namespace

std::string_view explainReason(std::string_view reason)
{
    for (const Explanation &explanation : explanations) {
        if (explanation.reason == reason)
            return explanation.text;
    }
    return "";
}

std::vector<std::string> timelineText(std::span<const Event> events)
{
    LineFormatter formatter;
    std::vector<std::string> lines;
    lines.reserve(events.size());
    for (const Event &event : events)
        lines.push_back(formatter.line(event));
    return lines;
}

} // namespace turmericwell
