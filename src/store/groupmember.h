// Membership in a group of the store, which assigns the partitions of a topic to the group's members.
//
// A partition that is no longer assigned has to be released before the next join, which allows the store to
// assign it to another member.
#pragma once

#include "net/timers.h"
#include "observe/structuredlog.h"
#include "store/storeapi.h"

#include <functional>
#include <set>

namespace turmericwell {

struct GroupMemberOptions
{
    std::string group;
    std::string member;
    std::string topic;
    // The store reassigns the member's partitions if it has received no join for this long.
    Millis ttl = {1'000};
    Millis interval = {250};
    Millis timeout = {600};
};

class GroupMember
{
public:
    // Called after each successful join.
    using OnJoined = std::function<void(uint64_t generation, const std::set<uint32_t> &partitions)>;

    GroupMember(GroupMemberOptions options, StoreApi &store, IoContext &io, StructuredLog &log,
                OnJoined onJoined);

    // Joins the group, also again after leave.
    void start();
    // Joins at once, for example when a peer has left.
    void joinNow();
    // While paused, no join is sent, so that the store assigns no partition that is still being released to
    // another member.
    void setPaused(bool paused);
    // Leaves the group, which releases all partitions; no join is sent afterwards.
    void leave(std::function<void()> onDone);
    // Send time of the last successful join.
    Millis lastJoinSentAt() const { return m_lastJoinSentAt; }

private:
    void join();
    void scheduleJoin(Millis delay);

    const GroupMemberOptions m_options;
    StoreApi &m_store;
    Timers m_timers;
    StructuredLog &m_log;
    const OnJoined m_onJoined;
    uint64_t m_generation = 0;
    // Number of the latest join; only its answer is used and schedules the next join.
    uint64_t m_joinNumber = 0;
    bool m_started = false;
    bool m_leaving = false;
    bool m_paused = false;
    uint32_t m_failures = 0;
    Millis m_lastJoinSentAt;
    Backoff m_backoff{{50}, {300}};
};

} // namespace turmericwell
