// Deficit round robin between teams.
#include "routing/teamqueue.h"

#include <algorithm>
#include <cassert>

namespace turmericwell {

uint32_t TeamQueue::weightOf(const std::string &team) const
{
    const auto found = m_weights.find(team);
    return found == m_weights.end() ? 1 : std::max(found->second, 1U);
}

void TeamQueue::setWeights(std::map<std::string, uint32_t> weights)
{
    m_weights = std::move(weights);
    for (auto &[name, team] : m_teams)
        team->weight = weightOf(name);
}

void TeamQueue::push(DemandId demand, QueuedTask task)
{
    std::unique_ptr<Team> &team = m_teams[task.start.team];
    if (!team) {
        team = std::make_unique<Team>();
        team->weight = weightOf(task.start.team);
    }
    if (team->items.empty())
        m_ring.push_back(team.get());
    m_earliestDeadline = std::min(m_earliestDeadline, task.deadline);
    const TaskRef ref = task.start.task;
    Items &items = team->items[demand];
    items.push_back({.sequence = m_nextSequence++, .task = std::move(task)});
    m_index[ref] = {.team = team.get(), .demand = demand, .item = std::prev(items.end())};
}

std::optional<TeamQueue::Next> TeamQueue::pop(const std::function<bool(DemandId)> &canStart)
{
    for (size_t visited = m_ring.size(); visited > 0; --visited) {
        m_turn = m_turn < m_ring.size() ? m_turn : 0;
        Team &team = *m_ring[m_turn];
        Place first{.team = &team};
        bool found = false;
        for (auto &[demand, items] : team.items) {
            if (found && items.front().sequence > first.item->sequence)
                continue;
            if (!canStart(demand))
                continue;
            found = true;
            first.demand = demand;
            first.item = items.begin();
        }
        if (!found) {
            team.deficit = 0;
            ++m_turn;
            continue;
        }
        if (team.deficit == 0)
            team.deficit = team.weight;
        if (--team.deficit == 0)
            ++m_turn;
        return Next{.demand = first.demand, .task = take(first)};
    }
    return std::nullopt;
}

QueuedTask TeamQueue::take(const Place &place)
{
    QueuedTask result = std::move(place.item->task);
    m_index.erase(result.start.task);
    Team *team = place.team;
    const auto items = team->items.find(place.demand);
    assert(items != team->items.end());
    items->second.erase(place.item);
    if (items->second.empty())
        team->items.erase(items);
    if (team->items.empty())
        removeFromRing(team);
    return result;
}

void TeamQueue::removeFromRing(const Team *team)
{
    const auto found = std::find(m_ring.begin(), m_ring.end(), team);
    assert(found != m_ring.end());
    (*found)->deficit = 0;
    // The turn stays with the team that has it.
    if (static_cast<size_t>(found - m_ring.begin()) < m_turn)
        --m_turn;
    m_ring.erase(found);
}

std::optional<QueuedTask> TeamQueue::remove(const TaskRef &task)
{
    const auto found = m_index.find(task);
    if (found == m_index.end())
        return std::nullopt;
    const Place place = found->second;
    return take(place);
}

std::vector<QueuedTask> TeamQueue::removeExpired(Millis now)
{
    std::vector<QueuedTask> expired;
    if (now < m_earliestDeadline)
        return expired;
    std::vector<Place> places;
    m_earliestDeadline = {INT64_MAX};
    for (const auto &[ref, place] : m_index) {
        const Millis deadline = place.item->task.deadline;
        if (now >= deadline)
            places.push_back(place);
        else
            m_earliestDeadline = std::min(m_earliestDeadline, deadline);
    }
    std::sort(places.begin(), places.end(),
              [](const Place &a, const Place &b) { return a.item->sequence < b.item->sequence; });
    for (const Place &place : places)
        expired.push_back(take(place));
    return expired;
}

} // namespace turmericwell
