// Task queue with weighted fairness between teams.
#pragma once

#include "routing/queuedtask.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericwell {

// Deficit round robin: in its turn, a team starts as many tasks as its weight. Each task has a cost of one,
// since run times are not known in advance. Within a team, the tasks that can start do so in order of
// arrival. Invariants: a team is in the ring if and only if it has tasks; a task is in the queue at most
// once.
class TeamQueue
{
public:
    struct Next
    {
        DemandId demand = 0;
        QueuedTask task;
    };

    // Teams without an entry in weights have weight 1.
    void setWeights(std::map<std::string, uint32_t> weights);
    void push(DemandId demand, QueuedTask task);
    // Removes and returns the next task whose demand can start now; empty if there is none.
    std::optional<Next> pop(const std::function<bool(DemandId)> &canStart);
    std::optional<QueuedTask> remove(const TaskRef &task);
    std::vector<QueuedTask> removeExpired(Millis now);
    size_t size() const { return m_index.size(); }

private:
    struct Item
    {
        uint64_t sequence = 0;
        QueuedTask task;
    };
    using Items = std::list<Item>;
    struct Team
    {
        uint32_t weight = 1;
        // Starts left in the current turn.
        uint32_t deficit = 0;
        std::map<DemandId, Items> items;
    };
    struct Place
    {
        Team *team = nullptr;
        DemandId demand = 0;
        Items::iterator item;
    };

    uint32_t weightOf(const std::string &team) const;
    QueuedTask take(const Place &place);
    void removeFromRing(const Team *team);

    std::map<std::string, uint32_t> m_weights;
    std::map<std::string, std::unique_ptr<Team>> m_teams;
    std::vector<Team *> m_ring;
    size_t m_turn = 0;
    std::unordered_map<TaskRef, Place> m_index;
    uint64_t m_nextSequence = 0;
    // Lower bound: no task in the queue has an earlier deadline.
    Millis m_earliestDeadline = {INT64_MAX};
};

} // namespace turmericwell
