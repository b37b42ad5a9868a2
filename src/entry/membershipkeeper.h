// Keeps the entry roster up to date from the log, and decides whether this entry is current.
#pragma once

#include "entry/logfollower.h"
#include "membership/currencyguard.h"
#include "membership/peerrules.h"
#include "membership/roster.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace turmericwell {

// Thread-safe.
class MembershipKeeper
{
public:
    struct Options
    {
        EntryMember self;
        Millis freshness;
        Millis pollWait;
        Millis peerTimeout;
        Millis logRetention;
    };
    struct Handlers
    {
        // The members have changed; called in the order of the changes.
        std::function<void(uint64_t view, const std::vector<EntryMember> &before,
                           const std::vector<EntryMember> &after)>
            onViewChanged;
        // Others have reported this incarnation as dead. It must not serve any more.
        std::function<void()> onRemoved;
    };

    MembershipKeeper(IoContext &io, std::shared_ptr<LogClient> log, Options options, Handlers handlers);

    void start();
    // Reports silent members, and appends roster snapshots.
    void tick(Millis now);
    // Appends the planned leave; onDone gets whether the record is in the log.
    void leave(std::function<void(bool appended)> onDone);

    std::vector<EntryMember> members() const;
    uint64_t view() const;
    bool hasRoster() const;
    const EntryMember &self() const { return m_options.self; }
    // Roster for a peer that knows less, and the other direction. Empty text if there is none.
    std::string rosterText() const;
    void adopt(const std::string &rosterText);

    // --- evidence for currency ---
    void setConfigVersion(uint64_t version);
    void configRead(Millis sentAt);
    void configReadFailed();
    void recordAgentContact(const std::string &agent, const KnownVersions &versions);
    void recordPeerContact(const std::string &peer, const KnownVersions &versions);
    void peerGone(const std::string &peer);
    bool isCurrent() const;
    Millis evidenceAge() const;
    bool isLogReadable() const;
    std::vector<std::string> knownAgents() const;

private:
    void apply(const std::function<bool(Roster &)> &change);
    void reachedTail(Millis sentAt);
    void readFailed();
    void join();
    void appendFirstSnapshot();
    void append(std::string record);

    const Options m_options;
    const Handlers m_handlers;
    std::shared_ptr<LogClient> m_log;
    std::shared_ptr<LogFollower> m_follower;
    // Held while a change is applied and reported, so that changes are reported in order.
    std::mutex m_changeMutex;
    mutable std::mutex m_mutex;
    Roster m_roster;
    CurrencyGuard m_guard;
    FailureDetector m_detector;
    uint64_t m_configVersion = 0;
    Millis m_snapshotAt;
    // Since when the end of the stream has been known without any usable snapshot.
    std::optional<Millis> m_noBaseSince;
    bool m_joining = false;
    bool m_wasMember = false;
    bool m_removed = false;
    bool m_leaving = false;
};

} // namespace turmericwell
