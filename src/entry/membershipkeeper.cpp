// Follows the roster stream.
#include "entry/membershipkeeper.h"

#include "observe/log.h"

namespace turmericwell {

static constexpr Millis appendTimeout = {2'000};

static const Logger &logger()
{
    static const Logger instance("entry");
    return instance;
}

MembershipKeeper::MembershipKeeper(IoContext &io, std::shared_ptr<LogClient> log, Options options,
                                   Handlers handlers)
    : m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_log(std::move(log))
    , m_guard({.freshness = m_options.freshness, .peerTimeout = m_options.peerTimeout})
    , m_detector(m_options.self.id.name, {.peerTimeout = m_options.peerTimeout})
    , m_snapshotAt(Clock::now())
{
    m_follower = std::make_shared<LogFollower>(
        io, m_log, LogFollowerOptions{.stream = std::string(stream::roster), .pollWait = m_options.pollWait},
        LogFollower::Handlers{.onRecord =
                                  [this](const LogRecord &record) {
                                      apply([&](Roster &roster) {
                                          return roster.apply(record.offset, record.data);
                                      });
                                  },
                              .onExpired =
                                  [this](uint64_t oldest) {
                                      const std::lock_guard lock(m_mutex);
                                      m_roster.startReadingAt(oldest);
                                  },
                              .onTail = [this](Millis sentAt) { reachedTail(sentAt); },
                              .onFailed = [this](const std::string &) { readFailed(); }});
}

void MembershipKeeper::start()
{
    m_follower->start(0);
}

void MembershipKeeper::apply(const std::function<bool(Roster &)> &change)
{
    const std::lock_guard changeLock(m_changeMutex);
    std::vector<EntryMember> before;
    std::vector<EntryMember> after;
    uint64_t view = 0;
    bool removed = false;
    {
        const std::lock_guard lock(m_mutex);
        before = m_roster.members();
        if (!change(m_roster))
            return;
        after = m_roster.members();
        view = m_roster.view();
        const EntryMember *member = m_roster.find(m_options.self.id.name);
        const bool isMember = member && member->id == m_options.self.id;
        removed = m_wasMember && !isMember && !m_leaving;
        m_removed = m_removed || removed;
        m_wasMember = isMember;
        m_guard.setOwn({.config = m_configVersion, .view = view});
    }
    m_handlers.onViewChanged(view, before, after);
    if (removed)
        m_handlers.onRemoved();
}

void MembershipKeeper::adopt(const std::string &rosterText)
{
    if (!rosterText.empty())
        apply([&](Roster &roster) { return roster.adopt(rosterText); });
}

void MembershipKeeper::readFailed()
{
    const std::lock_guard lock(m_mutex);
    m_guard.recordLogFailure(GuardedStream::Roster);
    m_noBaseSince.reset();
}

void MembershipKeeper::reachedTail(Millis sentAt)
{
    {
        const std::lock_guard lock(m_mutex);
        // The end of the stream says nothing without what the records apply to.
        if (m_roster.hasBase())
            m_guard.recordLogRead(GuardedStream::Roster, sentAt);
    }
    if (hasRoster())
        join();
    else
        appendFirstSnapshot();
}

// Only when nobody has appended or pushed a roster for a while: live entries append theirs far more often
// than records expire.
void MembershipKeeper::appendFirstSnapshot()
{
    constexpr Millis patience = {5'000};
    std::string record;
    {
        const std::lock_guard lock(m_mutex);
        const Millis now = Clock::now();
        if (!m_noBaseSince)
            m_noBaseSince = now;
        if (now - *m_noBaseSince < patience)
            return;
        m_noBaseSince = now;
        record = m_roster.firstSnapshotRecord();
    }
    logger().warning("no usable roster snapshot in the log: appending the first one");
    append(std::move(record));
}

// Appends the join record once the roster is known, and again if it does not show up.
void MembershipKeeper::join()
{
    {
        const std::lock_guard lock(m_mutex);
        const EntryMember *member = m_roster.find(m_options.self.id.name);
        if (m_joining || m_leaving || m_removed || (member && member->id == m_options.self.id))
            return;
        m_joining = true;
    }
    m_log->append(stream::roster, Roster::joinRecord(m_options.self), appendTimeout,
                  [this](const AppendResult &) {
                      const std::lock_guard lock(m_mutex);
                      m_joining = false;
                  });
}

void MembershipKeeper::leave(std::function<void(bool)> onDone)
{
    {
        const std::lock_guard lock(m_mutex);
        m_leaving = true;
    }
    m_log->append(stream::roster, Roster::leaveRecord(m_options.self.id, m_options.self.id.name, "planned"),
                  appendTimeout, [onDone = std::move(onDone)](const AppendResult &result) {
                      onDone(result.status == AppendStatus::Done);
                  });
}

void MembershipKeeper::tick(Millis now)
{
    std::vector<ProcessId> dead;
    std::string snapshot;
    {
        const std::lock_guard lock(m_mutex);
        m_guard.tick(now);
        const std::vector<EntryMember> members = m_roster.members();
        dead = m_detector.tick(members, now);
        if (m_leaving || m_removed)
            return;
        // The member with the lowest name appends snapshots; duplicates are harmless.
        const bool isFirst = !members.empty() && members.front().id == m_options.self.id;
        if (now - m_snapshotAt >= m_options.logRetention / 4) {
            m_snapshotAt = now;
            if (isFirst && m_roster.hasBase())
                snapshot = m_roster.snapshotRecord();
        }
    }
    if (!snapshot.empty())
        append(std::move(snapshot));
    for (const ProcessId &entry : dead) {
        logger().warning("entry " + entry.name + " is silent: appending its leave");
        append(Roster::leaveRecord(entry, m_options.self.id.name, "dead"));
    }
}

void MembershipKeeper::append(std::string record)
{
    m_log->append(stream::roster, std::move(record), appendTimeout, [](const AppendResult &) {});
}

std::vector<EntryMember> MembershipKeeper::members() const
{
    const std::lock_guard lock(m_mutex);
    return m_roster.members();
}

uint64_t MembershipKeeper::view() const
{
    const std::lock_guard lock(m_mutex);
    return m_roster.view();
}

bool MembershipKeeper::hasRoster() const
{
    const std::lock_guard lock(m_mutex);
    return m_roster.hasBase();
}

std::string MembershipKeeper::rosterText() const
{
    const std::lock_guard lock(m_mutex);
    return m_roster.stateText();
}

void MembershipKeeper::setConfigVersion(uint64_t version)
{
    const std::lock_guard lock(m_mutex);
    m_configVersion = version;
    m_guard.setOwn({.config = m_configVersion, .view = m_roster.view()});
}

void MembershipKeeper::configRead(Millis sentAt)
{
    const std::lock_guard lock(m_mutex);
    m_guard.recordLogRead(GuardedStream::Config, sentAt);
}

void MembershipKeeper::configReadFailed()
{
    const std::lock_guard lock(m_mutex);
    m_guard.recordLogFailure(GuardedStream::Config);
}

void MembershipKeeper::recordAgentContact(const std::string &agent, const KnownVersions &versions)
{
    const std::lock_guard lock(m_mutex);
    m_guard.recordAgentContact(agent, versions, Clock::now());
}

void MembershipKeeper::recordPeerContact(const std::string &peer, const KnownVersions &versions)
{
    const std::lock_guard lock(m_mutex);
    const Millis now = Clock::now();
    m_guard.recordPeerContact(peer, versions, now);
    m_detector.heard(peer, now);
}

void MembershipKeeper::peerGone(const std::string &peer)
{
    const std::lock_guard lock(m_mutex);
    m_guard.peerRemoved(peer);
}

bool MembershipKeeper::isCurrent() const
{
    const std::lock_guard lock(m_mutex);
    return m_configVersion > 0 && !m_removed && m_guard.isCurrent(Clock::now());
}

Millis MembershipKeeper::evidenceAge() const
{
    const std::lock_guard lock(m_mutex);
    return m_guard.evidenceAge(Clock::now());
}

bool MembershipKeeper::isLogReadable() const
{
    const std::lock_guard lock(m_mutex);
    return m_guard.isLogReadable();
}

std::vector<std::string> MembershipKeeper::knownAgents() const
{
    const std::lock_guard lock(m_mutex);
    return m_guard.knownAgents();
}

} // namespace turmericwell
