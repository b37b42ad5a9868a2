// ReturnSchedule: a ring of intervals with the work that is booked in each.
#include "jobs/returnschedule.h"

#include <algorithm>
#include <cmath>

namespace turmericwell {

// Part of each interval that jobs book on their first rejection; the rest is left to jobs that have been
// rejected before.
constexpr double firstRejectionPart = 0.75;

ReturnSchedule::Slot &ReturnSchedule::slotAt(int64_t number)
{
    Slot &slot = m_slots[static_cast<size_t>(number) % slots];
    if (slot.number != number)
        slot = {.number = number};
    return slot;
}

void ReturnSchedule::unbook(const Return &booked)
{
    const int64_t number = intervalOf(booked.at);
    Slot &slot = m_slots[static_cast<size_t>(number) % slots];
    if (slot.number != number)
        return;
    slot.work = std::max(0.0, slot.work - booked.work);
    slot.cpuMilli = std::max<int64_t>(0, slot.cpuMilli - booked.cpuMilli);
}

Millis ReturnSchedule::book(const Request &request, Millis now)
{
    forgetOld(now);
    const uint32_t before = rejections(request.job);
    release(request.job);
    const double part = before > 0 ? 1 : firstRejectionPart;
    const double capacity = std::max(0.0, request.spareRate) * static_cast<double>(interval.count) * part;
    const int64_t first =
        std::clamp<int64_t>((request.roomIn.count + second.count - 1) / second.count, 1, mostSeconds);
    int64_t chosen = first;
    double leastWork = -1;
    for (int64_t seconds = first; seconds <= mostSeconds; ++seconds) {
        const double booked = slotAt(intervalOf(now + second * seconds)).work;
        if (booked + request.work <= capacity || (booked == 0 && capacity > 0)) {
            chosen = seconds;
            break;
        }
        // With all intervals full, the least booked one.
        if (leastWork < 0 || booked < leastWork) {
            leastWork = booked;
            chosen = seconds;
        }
    }
    const Millis wait = second * chosen;
    Slot &slot = slotAt(intervalOf(now + wait));
    slot.work += request.work;
    slot.cpuMilli += request.cpuMilli;
    const uint64_t serial = ++m_lastSerial;
    m_returns[request.job] = {.at = now + wait,
                              .cpuMilli = request.cpuMilli,
                              .work = request.work,
                              .rejections = before + 1,
                              .serial = serial};
    m_order.emplace_back(request.job, serial);
    while (m_returns.size() > mostReturns || m_order.size() > 2 * mostReturns) {
        const auto [job, oldest] = m_order.front();
        m_order.pop_front();
        if (const auto found = m_returns.find(job);
            found != m_returns.end() && found->second.serial == oldest)
            release(job);
    }
    return wait;
}

bool ReturnSchedule::isReturning(JobId job, Millis now) const
{
    const auto found = m_returns.find(job);
    return found != m_returns.end() && now >= found->second.at - interval && now <= found->second.at + grace;
}

uint32_t ReturnSchedule::rejections(JobId job) const
{
    const auto found = m_returns.find(job);
    return found == m_returns.end() ? 0 : found->second.rejections;
}

int64_t ReturnSchedule::promisedMilli(Millis within, Millis now) const
{
    const Millis until = now + std::min(within, second * mostSeconds);
    double total = 0;
    for (int64_t number = intervalOf(now); number <= intervalOf(until); ++number) {
        const Slot &slot = m_slots[static_cast<size_t>(number) % slots];
        if (slot.number != number)
            continue;
        const Millis begin = std::max(now, interval * number);
        const Millis end = std::min(until, interval * (number + 1));
        total += static_cast<double>(slot.cpuMilli)
            * static_cast<double>(std::max<int64_t>(0, (end - begin).count))
            / static_cast<double>(interval.count);
    }
    return std::llround(total);
}

void ReturnSchedule::release(JobId job)
{
    const auto found = m_returns.find(job);
    if (found == m_returns.end())
        return;
    unbook(found->second);
    m_returns.erase(found);
}

void ReturnSchedule::forgetOld(Millis now)
{
    while (!m_order.empty()) {
        const auto [job, serial] = m_order.front();
        const auto found = m_returns.find(job);
        const bool isCurrent = found != m_returns.end() && found->second.serial == serial;
        if (isCurrent && found->second.at + grace >= now)
            return;
        if (isCurrent)
            release(job);
        m_order.pop_front();
    }
}

} // namespace turmericwell
