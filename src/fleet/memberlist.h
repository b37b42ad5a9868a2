// Registrations of the entries and agents in a keyed topic of the store.
//
// The registration of a process that is gone stays until the process is replaced or another process removes
// it. This is harmless, because a failed connection attempt costs little.
#pragma once

#include "fleet/nodelink.h"
#include "net/address.h"
#include "store/topicfollower.h"

#include <map>
#include <optional>

namespace turmericwell {

struct Member
{
    NodeIdentity identity;
    Address address;
    // Entries: processor time relative to a typical processor, by which partitions are shared out.
    double processors = 0.125;
    // Entries: the other entries have not reached the process for a while. It registers again if it is alive.
    bool isLost = false;
    // With isLost: the process knew the one that wrote the mark.
    bool lostKnewWriter = false;
};

std::string encodeMember(const Member &member);
std::optional<Member> decodeMember(std::string_view name, std::string_view value);

// Registers a process, retrying until the store has accepted the registration.
class Registration
{
public:
    Registration(Member self, StoreApi &store, IoContext &io, StructuredLog &log);
    // onRegistered is called once the store has accepted the registration.
    void start(std::function<void()> onRegistered = {});
    // Removes the registration with a single attempt, and gives up one that has not been accepted yet.
    void withdraw(std::function<void(bool isRemoved)> onDone);
    // The process has left and is about to register again. Readers take a higher incarnation for a process
    // that has not left.
    void raiseIncarnation();

private:
    Member m_self;
    StoreApi &m_store;
    Timers m_timers;
    StructuredLog &m_log;
    uint32_t m_failures = 0;
    // Number of the latest call of start() or withdraw(); a retry of an earlier one is dropped.
    uint64_t m_attempt = 0;
    Backoff m_backoff{{100}, {1'000}};
};

// Follows the registrations of all processes.
class MemberList
{
public:
    struct Handlers
    {
        std::function<void(const Member &member)> onMember;
        std::function<void(const std::string &name)> onRemoved;
    };

    MemberList(StoreApi &store, IoContext &io, StructuredLog &log, Handlers handlers);
    void start() { m_follower.start(); }
    // remove deletes a registration; restore writes it again for a process that is still alive. Each makes a
    // single attempt: callers go by what is read from the store, and repeat the call until it shows there.
    void remove(const std::string &name);
    void restore(const Member &member);
    // Keeps the registration of an entry that cannot be reached, marked as lost. Unlike a removal, the mark
    // is also read by entries that start later.
    void markLost(const Member &member, bool knewWriter);
    // All registrations have been read at least once.
    bool isSynced() const { return m_synced; }
    // True if all registrations that were written before this time have been read. If not, the store is
    // asked, and the call is to be repeated.
    bool isCurrentSince(Millis time);

private:
    void write(const std::string &name, std::string value);

    const Handlers m_handlers;
    StoreApi &m_store;
    StructuredLog &m_log;
    bool m_synced = false;
    TopicFollower m_follower;
};

} // namespace turmericwell
