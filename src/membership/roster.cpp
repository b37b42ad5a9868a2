// Encoding and application of roster records, and rendezvous hashing.
#include "membership/roster.h"

#include "core/jsonfields.h"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>

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

static std::optional<json::object> parseObject(std::string_view text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object())
        return std::nullopt;
    return std::move(value.get_object());
}

static std::optional<EntryMember> readMember(const json::object &record)
{
    const std::string name = textAt(record, "entry");
    const std::optional<uint64_t> incarnation = countAt(record, "incarnation");
    if (name.empty() || !incarnation)
        return std::nullopt;
    return EntryMember{.id = {.name = name, .incarnation = *incarnation},
                       .address = textAt(record, "address"),
                       .zone = textAt(record, "zone")};
}

void Roster::startReadingAt(uint64_t firstOffset)
{
    // The records between the last applied one and this offset have expired and cannot be read any more.
    if (firstOffset > m_nextOffset)
        m_hasBase = false;
    m_firstOffset = firstOffset;
    m_nextOffset = std::max(m_nextOffset, firstOffset);
    m_unapplied.clear();
}

bool Roster::apply(uint64_t offset, std::string_view recordText)
{
    // A state that was adopted from a peer may include records that are then read from the log as well.
    if (offset < m_nextOffset)
        return false;
    m_nextOffset = offset + 1;
    const std::optional<json::object> record = parseObject(recordText);
    if (!record)
        return false;
    if (textAt(*record, "type") == "snapshot")
        return applySnapshot(offset, recordText);
    if (m_hasBase)
        return applyChange(recordText);
    m_unapplied.emplace(offset, recordText);
    return false;
}

bool Roster::applyChange(std::string_view recordText)
{
    const std::optional<json::object> record = parseObject(recordText);
    const std::optional<EntryMember> named = record ? readMember(*record) : std::nullopt;
    if (!named)
        return false;
    const std::string type = textAt(*record, "type");
    const auto member = m_members.find(named->id.name);
    if (type == "join") {
        uint64_t &newest = m_newestIncarnation[named->id.name];
        if (named->id.incarnation <= newest)
            return false;
        newest = named->id.incarnation;
        m_members[named->id.name] = *named;
    } else if (type == "leave" && member != m_members.end() && member->second.id == named->id) {
        m_members.erase(member);
    } else {
        return false;
    }
    ++m_view;
    return true;
}

bool Roster::applySnapshot(uint64_t offset, std::string_view recordText)
{
    if (m_hasBase)
        return false;
    const std::optional<json::object> record = parseObject(recordText);
    const std::optional<uint64_t> upTo = countAt(*record, "upTo");
    const std::optional<uint64_t> view = countAt(*record, "view");
    // If `upTo` is before the first readable record, a change between them may have expired.
    if (!upTo || !view || *upTo > offset || *upTo < m_firstOffset || *view < m_view)
        return false;
    if (!loadState(recordText))
        return false;
    for (const auto &[position, change] : m_unapplied) {
        if (position >= *upTo)
            applyChange(change);
    }
    m_unapplied.clear();
    return true;
}

bool Roster::adopt(std::string_view stateText)
{
    const std::optional<json::object> state = parseObject(stateText);
    const std::optional<uint64_t> nextOffset = state ? countAt(*state, "upTo") : std::nullopt;
    const std::optional<uint64_t> view = state ? countAt(*state, "view") : std::nullopt;
    if (!nextOffset || !view || *view < m_view || *nextOffset < m_nextOffset
        || (m_hasBase && *view == m_view))
        return false;
    if (!loadState(stateText))
        return false;
    m_nextOffset = *nextOffset;
    m_unapplied.clear();
    return true;
}

// Replaces the members and the view with those of the text. Returns false if the text is malformed.
bool Roster::loadState(std::string_view text)
{
    const std::optional<json::object> state = parseObject(text);
    const std::optional<uint64_t> view = state ? countAt(*state, "view") : std::nullopt;
    const json::value *list = state ? state->if_contains("members") : nullptr;
    const json::value *newest = state ? state->if_contains("newest") : nullptr;
    if (!view || !list || !list->is_array() || !newest || !newest->is_object())
        return false;
    std::map<std::string, EntryMember, std::less<>> members;
    for (const json::value &item : list->get_array()) {
        const std::optional<EntryMember> member =
            item.is_object() ? readMember(item.get_object()) : std::nullopt;
        if (!member)
            return false;
        members[member->id.name] = *member;
    }
    m_members = std::move(members);
    for (const auto &[name, value] : newest->get_object())
        m_newestIncarnation[std::string(name)] = countAt(newest->get_object(), name).value_or(0);
    m_view = *view;
    m_hasBase = true;
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

static std::string stateRecord(uint64_t view, uint64_t upTo, const std::vector<EntryMember> &members,
                               const std::map<std::string, uint64_t, std::less<>> &newestIncarnations)
{
    json::array list;
    for (const EntryMember &member : members)
        list.push_back(json::object{{"entry", member.id.name},
                                    {"incarnation", member.id.incarnation},
                                    {"address", member.address},
                                    {"zone", member.zone}});
    json::object newest;
    for (const auto &[name, incarnation] : newestIncarnations)
        newest[name] = incarnation;
    return json::serialize(json::object{{"type", "snapshot"},
                                        {"view", view},
                                        {"upTo", upTo},
                                        {"members", std::move(list)},
                                        {"newest", std::move(newest)}});
}

std::string Roster::stateText() const
{
    return m_hasBase ? stateRecord(m_view, m_nextOffset, members(), m_newestIncarnation) : std::string();
}

std::string Roster::snapshotRecord() const
{
    return stateText();
}

std::string Roster::firstSnapshotRecord() const
{
    return stateRecord(m_nextOffset, m_nextOffset, {}, m_newestIncarnation);
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
