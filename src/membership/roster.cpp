// Roster records and rendezvous hashing.
#include "membership/roster.h"

#include <boost/json.hpp>

namespace turmericwell {

namespace json = boost::json;

const EntryMember *ownerOf(std::span<const EntryMember> members, const Fingerprint &key)
{
    const EntryMember *best = nullptr;
    Fingerprint bestScore;
    const std::string keyText = key.hex();
    for (const EntryMember &member : members) {
        const Fingerprint score = Fingerprint::ofKey(member.id.name, keyText);
        if (!best || score > bestScore) {
            best = &member;
            bestScore = score;
        }
    }
    return best;
}

static std::string textAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_string() ? std::string(std::string_view(value->get_string())) : std::string();
}

bool Roster::apply(uint64_t offset, std::string_view recordText)
{
    m_nextOffset = offset + 1;
    boost::system::error_code error;
    const json::value value = json::parse(recordText, error);
    if (error || !value.is_object())
        return false;
    const json::object &record = value.get_object();
    const std::string type = textAt(record, "type");
    const std::string name = textAt(record, "entry");
    const json::value *incarnationValue = record.if_contains("incarnation");
    if (name.empty() || !incarnationValue || !incarnationValue->is_number())
        return false;
    const auto incarnation = incarnationValue->to_number<uint64_t>(error);
    if (error)
        return false;
    const auto member = m_members.find(name);
    if (type == "join") {
        uint64_t &newest = m_newestIncarnation[name];
        if (incarnation <= newest)
            return false;
        newest = incarnation;
        m_members[name] = {.id = {.name = name, .incarnation = incarnation},
                           .address = textAt(record, "address"),
                           .zone = textAt(record, "zone")};
    } else if (type == "leave" && member != m_members.end() && member->second.id.incarnation == incarnation) {
        m_members.erase(member);
    } else {
        return false;
    }
    ++m_view;
    return true;
}

std::vector<EntryMember> Roster::members() const
{
    std::vector<EntryMember> result;
    for (const auto &[name, member] : m_members)
        result.push_back(member);
    return result;
}

const EntryMember *Roster::find(std::string_view name) const
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

std::string Roster::joinRecord(const EntryMember &member)
{
    return json::serialize(json::object{{"type", "join"},
                                        {"entry", member.id.name},
                                        {"incarnation", member.id.incarnation},
                                        {"address", member.address},
                                        {"zone", member.zone}});
}

std::string Roster::leaveRecord(const ProcessId &entry, std::string_view by, std::string_view reason)
{
    return json::serialize(json::object{{"type", "leave"},
                                        {"entry", entry.name},
                                        {"incarnation", entry.incarnation},
                                        {"by", by},
                                        {"reason", reason}});
}

} // namespace turmericwell
