// Periodic joins, which renew the membership and receive the assigned partitions.
#include "store/groupmember.h"

namespace turmericwell {

GroupMember::GroupMember(GroupMemberOptions options, StoreApi &store, IoContext &io, StructuredLog &log,
                         OnJoined onJoined)
    : m_options(std::move(options))
    , m_store(store)
    , m_timers(io)
    , m_log(log)
    , m_onJoined(std::move(onJoined))
{ }

void GroupMember::start()
{
    if (m_started && !m_leaving)
        return;
    m_started = true;
    m_leaving = false;
    m_paused = false;
    join();
}

void GroupMember::setPaused(bool paused)
{
    const bool resumed = m_paused && !paused;
    m_paused = paused;
    if (resumed)
        joinNow();
}

void GroupMember::joinNow()
{
    if (!m_leaving)
        scheduleJoin({0});
}

void GroupMember::scheduleJoin(Millis delay)
{
    const uint64_t number = ++m_joinNumber;
    m_timers.after(delay, [this, number] {
        if (number == m_joinNumber && !m_leaving && !m_paused)
            join();
    });
}

void GroupMember::join()
{
    const uint64_t number = ++m_joinNumber;
    const Millis sentAt = Clock::now();
    const JoinCall call{.group = m_options.group,
                        .member = m_options.member,
                        .topic = m_options.topic,
                        .ttl = m_options.ttl,
                        .generation = m_generation};
    m_store.join(call, m_options.timeout,
                 [this, number, sentAt, guard = m_timers.guard()](const JoinAnswer &answer) {
                     if (guard.expired() || m_leaving || number != m_joinNumber)
                         return;
                     if (answer.status != StoreStatus::Done) {
                         if (++m_failures == 1)
                             m_log.always(Clock::now(), "group_unreachable", {{"group", m_options.group}});
                         scheduleJoin(m_backoff.next());
                         return;
                     }
                     if (m_failures > 0)
                         m_log.always(Clock::now(), "group_reachable",
                                      {{"group", m_options.group}, {"failures", m_failures}});
                     m_failures = 0;
                     m_backoff.reset();
                     m_lastJoinSentAt = sentAt;
                     const bool changed = m_generation != answer.generation;
                     m_generation = answer.generation;
                     const std::set<uint32_t> partitions(answer.partitions.begin(), answer.partitions.end());
                     if (changed)
                         m_log.always(Clock::now(), "group_joined",
                                      {{"generation", m_generation}, {"partitions", partitions.size()}});
                     m_onJoined(m_generation, partitions);
                     // A new generation is confirmed soon, so that the store can assign released partitions
                     // to their new owners.
                     constexpr Millis confirmDelay = {60};
                     scheduleJoin(changed ? confirmDelay : m_options.interval);
                 });
}

void GroupMember::leave(std::function<void()> onDone)
{
    m_leaving = true;
    ++m_joinNumber;
    m_store.leave({.group = m_options.group, .member = m_options.member}, m_options.timeout,
                  [onDone = std::move(onDone)](StoreStatus) { onDone(); });
}

} // namespace turmericwell
