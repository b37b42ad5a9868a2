// Keeps the entry roster up to date from the log, and decides whether this entry is current.
#pragma once

#include "entry/logfollower.h"
#include "entry/ownercalls.h"
#include "membership/currencyguard.h"
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
    };

    MembershipKeeper(IoContext &io, std::shared_ptr<LogClient> log, Options options);

    void start();
    // Appends the planned leave; onDone runs when the append has ended, whatever its result.
    void leave(std::function<void()> onDone);

    KeyPlace place(const Fingerprint &key) const;
    std::vector<EntryMember> members() const;
    uint64_t view() const;
    const EntryMember &self() const { return m_options.self; }

    // --- evidence for currency ---
    void setConfigVersion(uint64_t version);
    void logRead(Millis sentAt);
    void logFailed();
    void agentHeard(const std::string &agent, const KnownVersions &versions);
    void peerHeard(const std::string &peer, const KnownVersions &versions);
    void peerGone(const std::string &peer);
    bool isCurrent() const;
    Millis evidenceAge() const;
    bool isLogReadable() const;

private:
    void join();

    const Options m_options;
    std::shared_ptr<LogClient> m_log;
    std::shared_ptr<LogFollower> m_follower;
    mutable std::mutex m_mutex;
    Roster m_roster;
    CurrencyGuard m_guard;
    uint64_t m_configVersion = 0;
    bool m_joining = false;
    bool m_leaving = false;
};

} // namespace turmericwell
