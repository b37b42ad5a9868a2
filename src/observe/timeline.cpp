// Causes, causal order and selection of the events of several processes.
#include "observe/timeline.h"

#include <algorithm>
#include <map>
#include <queue>
#include <set>
#include <tuple>

namespace turmericwell {

namespace {

using Index = size_t;
constexpr Index none = SIZE_MAX;

// Includes the time, because the sequence restarts at 1 in each incarnation of a process.
auto identityOf(const Event &event)
{
    return std::tie(event.process, event.sequence, event.time.count, event.kind);
}

void removeDuplicates(std::vector<Event> &events)
{
    std::sort(events.begin(), events.end(), [](const Event &a, const Event &b) {
        return std::tie(a.process, a.time.count, a.sequence, a.kind)
            < std::tie(b.process, b.time.count, b.sequence, b.kind);
    });
    // Sorted by time before sequence: if the clock was set back between incarnations, duplicates are not
    // necessarily adjacent by sequence, but they are by time.
    events.erase(std::unique(events.begin(), events.end(),
                             [](const Event &a, const Event &b) { return identityOf(a) == identityOf(b); }),
                 events.end());
}

// Splits the events of each process into incarnations and orders each incarnation by sequence. A
// ProcessStarted event begins a new incarnation.
std::vector<std::vector<Index>> processOrders(const std::vector<Event> &events)
{
    std::vector<std::vector<Index>> orders;
    for (Index i = 0; i < events.size(); ++i) {
        const bool isNewProcess = i == 0 || events[i].process != events[i - 1].process;
        if (isNewProcess || events[i].kind == EventKind::ProcessStarted)
            orders.emplace_back();
        orders.back().push_back(i);
    }
    for (std::vector<Index> &order : orders)
        std::stable_sort(order.begin(), order.end(),
                         [&](Index a, Index b) { return events[a].sequence < events[b].sequence; });
    return orders;
}

// Finds the cause of each event. Events about the same task at an entry and at the same agent are paired in
// the order in which the two processes recorded them.
class CauseFinder
{
public:
    CauseFinder(const std::vector<Event> &events, const std::vector<std::vector<Index>> &orders)
        : m_events(events)
        , m_causes(events.size(), none)
    {
        for (Index i = 0; i < events.size(); ++i)
            m_bySequence[{events[i].process, events[i].sequence}] = i;
        for (const std::vector<Index> &order : orders) {
            for (const Index i : order)
                collect(i);
        }
    }

    std::vector<Index> causes()
    {
        for (Index i = 0; i < m_events.size(); ++i)
            applyRecordedCause(i);
        for (const auto &[exchange, sent] : m_entrySends)
            match(sent, m_agentReplies[exchange]);
        for (const auto &[exchange, ended] : m_agentEnds)
            match(ended, m_entryResults[exchange]);
        matchSubmissions();
        matchConfigs();
        return m_causes;
    }

private:
    // Task and agent.
    using Exchange = std::pair<std::string, std::string>;
    using Indexes = std::vector<Index>;

    void collect(Index i)
    {
        const Event &event = m_events[i];
        // Events of an entry name the agent as the target; events of an agent name the agent's own target.
        const bool isEntry = m_entries.contains(event.process) || event.kind == EventKind::TaskSent;
        switch (event.kind) {
        case EventKind::TaskSent:
            m_entries.insert(event.process);
            m_entrySends[{event.task, event.target}].push_back(i);
            break;
        case EventKind::TaskStarted:
            m_agentReplies[{event.task, event.process}].push_back(i);
            break;
        case EventKind::TaskFinished:
        case EventKind::TaskRefused:
            if (isEntry) {
                m_entryResults[{event.task, event.target}].push_back(i);
            } else {
                if (event.kind == EventKind::TaskRefused)
                    m_agentReplies[{event.task, event.process}].push_back(i);
                m_agentEnds[{event.task, event.process}].push_back(i);
            }
            break;
        case EventKind::SubmissionForwarded:
            m_forwards[event.job].push_back(i);
            break;
        case EventKind::SubmissionAccepted:
        case EventKind::SubmissionAttached:
        case EventKind::SubmissionRefused:
            m_ownerDecisions[event.job].push_back(i);
            break;
        case EventKind::ConfigAccepted:
            m_configs[event.configVersion].push_back(i);
            break;
        default:
            break;
        }
    }

    void setCause(Index effect, Index cause)
    {
        if (m_causes[effect] == none && m_events[effect].process != m_events[cause].process)
            m_causes[effect] = cause;
    }

    void applyRecordedCause(Index i)
    {
        const auto found = m_bySequence.find({m_events[i].causeProcess, m_events[i].causeSequence});
        if (found != m_bySequence.end() && found->second != i)
            m_causes[i] = found->second;
    }

    void match(const Indexes &causes, const Indexes &effects)
    {
        for (size_t i = 0; i < causes.size() && i < effects.size(); ++i)
            setCause(effects[i], causes[i]);
    }

    void matchSubmissions()
    {
        for (const auto &[job, forwarded] : m_forwards) {
            // The reason of a SubmissionForwarded event is the name of the owner.
            std::map<std::string, Indexes> byOwner;
            for (const Index i : m_ownerDecisions[job])
                byOwner[m_events[i].process].push_back(i);
            std::map<std::string, Indexes> forwards;
            for (const Index i : forwarded)
                forwards[m_events[i].reason].push_back(i);
            for (const auto &[owner, indexes] : forwards)
                match(indexes, byOwner[owner]);
        }
    }

    // Agents receive a configuration version from an entry. The entry is not recorded, so the first one that
    // accepted the version, which always precedes the agents, is used as the cause.
    void matchConfigs()
    {
        for (const auto &[version, indexes] : m_configs) {
            Index first = none;
            for (const Index i : indexes) {
                const bool isEntry = !m_events[i].reason.empty();
                if (isEntry && (first == none || m_events[i].time < m_events[first].time))
                    first = i;
            }
            for (const Index i : indexes) {
                if (first != none && m_events[i].reason.empty())
                    setCause(i, first);
            }
        }
    }

    const std::vector<Event> &m_events;
    std::vector<Index> m_causes;
    std::map<std::pair<std::string, uint64_t>, Index> m_bySequence;
    std::set<std::string> m_entries;
    std::map<Exchange, Indexes> m_entrySends;
    std::map<Exchange, Indexes> m_agentReplies;
    std::map<Exchange, Indexes> m_agentEnds;
    std::map<Exchange, Indexes> m_entryResults;
    std::map<std::string, Indexes> m_forwards;
    std::map<std::string, Indexes> m_ownerDecisions;
    std::map<uint64_t, Indexes> m_configs;
};

// Topological sort that selects the earliest of the events whose predecessors are all placed. The effective
// time of an event is at least that of its predecessors, so that a slow clock does not move all events of a
// process to the front.
std::vector<Index> orderByCause(const std::vector<Event> &events,
                                const std::vector<std::vector<Index>> &orders,
                                const std::vector<Index> &causes)
{
    std::vector<std::vector<Index>> successors(events.size());
    std::vector<size_t> unplacedPredecessors(events.size(), 0);
    const auto addEdge = [&](Index first, Index second) {
        successors[first].push_back(second);
        ++unplacedPredecessors[second];
    };
    for (const std::vector<Index> &order : orders) {
        for (size_t i = 1; i < order.size(); ++i)
            addEdge(order[i - 1], order[i]);
    }
    std::vector<int64_t> times;
    for (Index i = 0; i < events.size(); ++i) {
        times.push_back(events[i].time.count);
        if (causes[i] != none)
            addEdge(causes[i], i);
    }
    using Next = std::pair<int64_t, Index>;
    std::priority_queue<Next, std::vector<Next>, std::greater<>> ready;
    for (Index i = 0; i < events.size(); ++i) {
        if (unplacedPredecessors[i] == 0)
            ready.emplace(times[i], i);
    }
    std::vector<Index> result;
    while (!ready.empty()) {
        const Index i = ready.top().second;
        ready.pop();
        result.push_back(i);
        for (const Index next : successors[i]) {
            times[next] = std::max(times[next], times[i]);
            if (--unplacedPredecessors[next] == 0)
                ready.emplace(times[next], next);
        }
    }
    // Contradictory causes form a cycle. The events that it blocks are appended at the end.
    std::vector<bool> placed(events.size(), false);
    for (const Index i : result)
        placed[i] = true;
    for (Index i = 0; i < events.size(); ++i) {
        if (!placed[i])
            result.push_back(i);
    }
    return result;
}

bool isNormalPath(EventKind kind)
{
    switch (kind) {
    case EventKind::SubmissionAccepted:
    case EventKind::SubmissionForwarded:
    case EventKind::SubmissionAnswered:
    case EventKind::TaskQueued:
    case EventKind::TaskSent:
    case EventKind::TaskStarted:
    case EventKind::TaskFinished:
        return true;
    default:
        return false;
    }
}

} // namespace

std::vector<Event> filterTimeline(std::span<const Event> events, const TimelineFilter &filter)
{
    // Zone of each process, and target of each agent.
    std::map<std::string, std::string> zones;
    std::map<std::string, std::string> targets;
    for (const Event &event : events) {
        zones[event.process] = event.zone;
        if (event.kind == EventKind::TaskStarted)
            targets[event.process] = event.target;
    }
    const auto at = [](const std::map<std::string, std::string> &map, const std::string &key) {
        const auto found = map.find(key);
        return found == map.end() ? std::string() : found->second;
    };
    const auto isInZone = [&](const Event &event) {
        const bool isZoneEvent =
            event.kind == EventKind::ZoneWithdrawn || event.kind == EventKind::ZoneReturned;
        return filter.zone.empty() || event.zone == filter.zone || at(zones, event.target) == filter.zone
            || (isZoneEvent && event.reason == filter.zone);
    };
    const auto isOfTarget = [&](const Event &event) {
        const std::string &wanted = filter.target;
        return wanted.empty() || event.target == wanted || event.process == wanted
            || at(targets, event.target) == wanted || at(targets, event.process) == wanted;
    };
    // A task without an attempt number matches all its attempts.
    const auto isOfTask = [&](const Event &event) {
        return filter.task.empty() || event.task == filter.task || event.task.starts_with(filter.task + ".");
    };
    std::vector<Event> result;
    for (const Event &event : events) {
        if ((filter.job.empty() || filter.job == event.job) && isOfTask(event) && isInZone(event)
            && isOfTarget(event))
            result.push_back(event);
    }
    return result;
}

std::vector<Event> mergeTimeline(std::vector<Event> events)
{
    removeDuplicates(events);
    const std::vector<std::vector<Index>> orders = processOrders(events);
    const std::vector<Index> causes = CauseFinder(events, orders).causes();
    std::vector<Event> result;
    result.reserve(events.size());
    for (const Index i : orderByCause(events, orders, causes)) {
        result.push_back(events[i]);
        if (causes[i] != none) {
            result.back().causeProcess = events[causes[i]].process;
            result.back().causeSequence = events[causes[i]].sequence;
        }
    }
    return result;
}

std::vector<Event> selectForShipping(std::span<const Event> events, size_t maxEvents)
{
    if (events.size() <= maxEvents)
        return {events.begin(), events.end()};
    const auto decisions = static_cast<size_t>(std::count_if(
        events.begin(), events.end(), [](const Event &event) { return !isNormalPath(event.kind); }));
    size_t decisionsLeft = std::min(decisions, maxEvents);
    size_t normalLeft = maxEvents - decisionsLeft;
    std::vector<Event> result;
    for (const Event &event : events) {
        size_t &left = isNormalPath(event.kind) ? normalLeft : decisionsLeft;
        if (left == 0)
            continue;
        --left;
        result.push_back(event);
    }
    return result;
}

} // namespace turmericwell
