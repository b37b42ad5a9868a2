// Maintains the index of open targets.
#include "routing/targetpool.h"

#include <tuple>

namespace turmericwell {

bool TargetKind::fits(std::string_view wantedService, const TaskNeeds &needs) const
{
    return service == wantedService && offers.cores >= needs.cores && offers.memoryGb >= needs.memoryGb
        && offers.accelerators >= needs.accelerators;
}

bool ranksBefore(const RoutedTarget &a, const RoutedTarget &b)
{
    return std::tie(a.latencyMs, b.idle, a.agent) < std::tie(b.latencyMs, a.idle, b.agent);
}

bool TargetPool::ByRank::operator()(const RoutedTarget *a, const RoutedTarget *b) const
{
    return ranksBefore(*a, *b);
}

TargetPool::TargetPool(TargetKind kind)
    : m_kind(std::move(kind))
{ }

void TargetPool::add(RoutedTarget &target)
{
    if (!target.isOpen())
        return;
    target.openIndex = m_open.size();
    m_open.push_back(&target);
    if (target.idle > 0)
        m_withCredit.insert(&target);
}

void TargetPool::remove(RoutedTarget &target)
{
    if (!target.isOpen())
        return;
    m_open.back()->openIndex = target.openIndex;
    m_open[target.openIndex] = m_open.back();
    m_open.pop_back();
    if (target.idle > 0)
        m_withCredit.erase(&target);
}

RoutedTarget *TargetPool::firstWithCredit() const
{
    return m_withCredit.empty() ? nullptr : *m_withCredit.begin();
}

RoutedTarget *TargetPool::lastWithCredit() const
{
    return m_withCredit.empty() ? nullptr : *m_withCredit.rbegin();
}

} // namespace turmericwell
