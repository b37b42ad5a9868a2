// Membership in a group of the store, which deals the partitions of a topic to its members.
//
// A partition that is no longer listed has to be given up before the next join, which lets the store deal it
// to another member.
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
    // The store deals the member's partitions anew when it has heard nothing for this long.
    Millis ttl = {1'000};
    Millis interval = {250};
    Millis timeout = {600};
};

class GroupMember
{
public:
    // Called after each join that the store has answered.
    using OnJoined = std::function<void(uint64_t generation, const std::set<uint32_t> &partitions)>;

    GroupMember(GroupMemberOptions options, StoreApi &store, IoContext &io, StructuredLog &log,
                OnJoined onJoined);

    void start();
    // Joins at once, as when a peer has left.
    void joinSoon();
    // While paused no join is sent, so that no partition that is being given up is dealt to another member.
    void setPaused(bool paused);
    // Gives up all partitions; no join follows.
    void leave(std::function<void()> onDone);
    // When the last join that the store has answered was sent.
    Millis lastConfirmed() const { return m_lastConfirmed; }

private:
    void join();
    void scheduleJoin(Millis delay);

    const GroupMemberOptions m_options;
    StoreApi &m_store;
    Timers m_timers;
    StructuredLog &m_log;
    const OnJoined m_onJoined;
    uint64_t m_generation = 0;
    // Only the join with this number schedules the next one.
    uint64_t m_joinNumber = 0;
    bool m_leaving = false;
    bool m_paused = false;
    uint32_t m_failures = 0;
    Millis m_lastConfirmed;
    Backoff m_backoff{{50}, {300}};
};

} // namespace turmericwell
