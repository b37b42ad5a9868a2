// Follows the roster stream.
#include "entry/membershipkeeper.h"

namespace turmericwell {

static constexpr Millis appendTimeout = {2'000};

MembershipKeeper::MembershipKeeper(IoContext &io, std::shared_ptr<LogClient> log, Options options)
    : m_options(std::move(options))
    , m_log(std::move(log))
    , m_guard({.freshness = m_options.freshness})
{
    m_follower = std::make_shared<LogFollower>(
        io, m_log, LogFollowerOptions{.stream = std::string(stream::roster), .pollWait = m_options.pollWait},
        LogFollower::Handlers{.onRecord =
                                  [this](const LogRecord &record) {
                                      const std::lock_guard lock(m_mutex);
                                      m_roster.apply(record.offset, record.data);
                                  },
                              .onExpired = [](uint64_t) {},
                              .onTail = [this](Millis) { join(); },
                              .onFailed = [this](const std::string &) { logFailed(); }});
}

void MembershipKeeper::start()
{
    m_follower->start(0);
}

// Appends the join record once the roster is known, and again if it does not show up.
void MembershipKeeper::join()
{
    {
        const std::lock_guard lock(m_mutex);
        const EntryMember *member = m_roster.find(m_options.self.id.name);
        if (m_joining || m_leaving || (member && member->id == m_options.self.id))
            return;
        m_joining = true;
    }
    m_log->append(stream::roster, Roster::joinRecord(m_options.self), appendTimeout,
                  [this](const AppendResult &) {
                      const std::lock_guard lock(m_mutex);
                      m_joining = false;
                  });
}

void MembershipKeeper::leave(std::function<void()> onDone)
{
    {
        const std::lock_guard lock(m_mutex);
        m_leaving = true;
    }
    m_log->append(stream::roster, Roster::leaveRecord(m_options.self.id, m_options.self.id.name, "planned"),
                  appendTimeout, [onDone = std::move(onDone)](const AppendResult &) { onDone(); });
}

KeyPlace MembershipKeeper::place(const Fingerprint &key) const
{
    const std::vector<EntryMember> current = members();
    const EntryMember *owner = turmericwell::ownerOf(current, key);
    return {.owner = owner ? std::optional(owner->id) : std::nullopt};
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

void MembershipKeeper::setConfigVersion(uint64_t version)
{
    const std::lock_guard lock(m_mutex);
    m_configVersion = version;
    m_guard.setOwn({.config = m_configVersion, .view = m_roster.view()});
}

void MembershipKeeper::logRead(Millis sentAt)
{
    const std::lock_guard lock(m_mutex);
    m_guard.logRead(sentAt);
}

void MembershipKeeper::logFailed()
{
    const std::lock_guard lock(m_mutex);
    m_guard.logFailed(Clock::now());
}

void MembershipKeeper::agentHeard(const std::string &agent, const KnownVersions &versions)
{
    const std::lock_guard lock(m_mutex);
    m_guard.agentHeard(agent, versions, Clock::now());
}

void MembershipKeeper::peerHeard(const std::string &peer, const KnownVersions &versions)
{
    const std::lock_guard lock(m_mutex);
    m_guard.peerHeard(peer, versions, Clock::now());
}

void MembershipKeeper::peerGone(const std::string &peer)
{
    const std::lock_guard lock(m_mutex);
    m_guard.peerRemoved(peer);
}

bool MembershipKeeper::isCurrent() const
{
    const std::lock_guard lock(m_mutex);
    return m_configVersion > 0 && m_guard.isCurrent(Clock::now());
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

} // namespace turmericwell
