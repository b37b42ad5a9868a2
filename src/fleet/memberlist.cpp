// Encodes registrations as JSON values and stores them.
#include "fleet/memberlist.h"

#include "core/jsonfields.h"

#include <algorithm>
#include <boost/json.hpp>

namespace turmericwell {

namespace json = boost::json;

static constexpr const char *membersTopic = "keyed.members";
constexpr Millis registrationTimeout = {800};
constexpr std::string_view entryRoleName = "entry";
constexpr std::string_view agentRoleName = "agent";
// No registration may claim more, so that one malformed entry cannot take the place of all others.
constexpr double maxProcessors = 1'024;

std::string encodeMember(const Member &member)
{
    const bool isEntry = member.identity.role == fleet::ProcessRole::Entry;
    json::object object{{"role", isEntry ? entryRoleName : agentRoleName},
                        {"address", member.address.text()},
                        {"zone", member.identity.zone},
                        {"processors", member.processors},
                        {"incarnation", member.identity.incarnation}};
    if (member.isLost) {
        object["lost"] = true;
        object["knewWriter"] = member.lostKnewWriter;
    }
    return json::serialize(object);
}

std::optional<Member> decodeMember(std::string_view name, std::string_view value)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(value, error);
    if (error || !parsed.is_object())
        return std::nullopt;
    const json::object &object = parsed.get_object();
    const std::string role = textAt(object, "role");
    const std::optional<Address> address = Address::parse(textAt(object, "address"));
    const std::optional<uint64_t> incarnation = countAt(object, "incarnation");
    if (!address || !incarnation || (role != entryRoleName && role != agentRoleName))
        return std::nullopt;
    Member member{
        .identity = {.name = std::string(name),
                     .incarnation = *incarnation,
                     .role = role == entryRoleName ? fleet::ProcessRole::Entry : fleet::ProcessRole::Agent,
                     .zone = textAt(object, "zone")},
        .address = *address};
    if (const json::value *processors = object.if_contains("processors");
        processors && processors->is_number())
        member.processors = std::clamp(processors->to_number<double>(), 0.0, maxProcessors);
    if (const json::value *lost = object.if_contains("lost"); lost && lost->is_bool())
        member.isLost = lost->get_bool();
    if (const json::value *knew = object.if_contains("knewWriter"); knew && knew->is_bool())
        member.lostKnewWriter = knew->get_bool();
    return member;
}

Registration::Registration(Member self, StoreApi &store, IoContext &io, StructuredLog &log)
    : m_self(std::move(self))
    , m_store(store)
    , m_timers(io)
    , m_log(log)
{ }

void Registration::start(std::function<void()> onRegistered)
{
    const uint64_t attempt = ++m_attempt;
    const AppendCall call{.topic = membersTopic,
                          .records = {{.key = m_self.identity.name, .value = encodeMember(m_self)}}};
    m_store.append(call, registrationTimeout,
                   [this, attempt, onRegistered = std::move(onRegistered),
                    guard = m_timers.guard()](const AppendAnswer &answer) {
                       if (guard.expired() || attempt != m_attempt)
                           return;
                       if (answer.status == StoreStatus::Done) {
                           m_log.always(Clock::now(), "registered",
                                        {{"address", m_self.address.text()}, {"failures", m_failures}});
                           if (onRegistered)
                               onRegistered();
                           return;
                       }
                       if (++m_failures == 1)
                           m_log.always(Clock::now(), "registration_failed",
                                        {{"status", static_cast<int>(answer.status)}});
                       m_timers.after(m_backoff.next(), [this, attempt, onRegistered] {
                           if (attempt == m_attempt)
                               start(onRegistered);
                       });
                   });
}

void Registration::withdraw(std::function<void(bool)> onDone)
{
    ++m_attempt;
    m_store.append({.topic = membersTopic, .records = {{.key = m_self.identity.name}}}, registrationTimeout,
                   [onDone = std::move(onDone)](const AppendAnswer &answer) {
                       onDone(answer.status == StoreStatus::Done);
                   });
}

void Registration::raiseIncarnation()
{
    const auto wall = static_cast<uint64_t>(std::max<int64_t>(0, Clock::wall().count));
    m_self.identity.incarnation = std::max(m_self.identity.incarnation + 1, wall);
}

MemberList::MemberList(StoreApi &store, IoContext &io, StructuredLog &log, Handlers handlers)
    : m_handlers(std::move(handlers))
    , m_store(store)
    , m_log(log)
    , m_follower({.topic = membersTopic}, store, io, log,
                 {.onRecord =
                      [this](const StoreRecord &record) {
                          if (record.value.empty()) {
                              m_handlers.onRemoved(record.key);
                              return;
                          }
                          if (const std::optional<Member> member = decodeMember(record.key, record.value))
                              m_handlers.onMember(*member);
                          else
                              m_log.write(Clock::now(), "registration_unreadable",
                                          {{"name", record.key},
                                           {"offset", record.offset},
                                           {"bytes", record.value.size()}});
                      },
                  .onSynced = [this] { m_synced = true; }})
{ }

void MemberList::write(const std::string &name, std::string value)
{
    m_store.append({.topic = membersTopic, .records = {{.key = name, .value = std::move(value)}}},
                   registrationTimeout, [this, name](const AppendAnswer &answer) {
                       if (answer.status != StoreStatus::Done)
                           m_log.always(Clock::now(), "registration_not_changed", {{"name", name}});
                   });
}

void MemberList::remove(const std::string &name)
{
    write(name, {});
}

void MemberList::restore(const Member &member)
{
    Member present = member;
    present.isLost = false;
    present.lostKnewWriter = false;
    write(present.identity.name, encodeMember(present));
}

void MemberList::markLost(const Member &member, bool knewWriter)
{
    Member lost = member;
    lost.isLost = true;
    lost.lostKnewWriter = knewWriter;
    write(lost.identity.name, encodeMember(lost));
}

bool MemberList::isCurrentSince(Millis time)
{
    if (m_follower.currentAt() >= time)
        return true;
    m_follower.checkCurrent();
    return false;
}

} // namespace turmericwell
