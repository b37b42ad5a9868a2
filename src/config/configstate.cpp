// Decides which configuration records are accepted.
#include "config/configstate.h"

#include "core/jsonfields.h"
#include "turmericwell/fingerprint.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace turmericwell {

namespace json = boost::json;

// A change must be found by its id while its record can still be read. 15,000 changes per day and a retention
// of one hour give about 625 such changes.
static constexpr size_t maxHistory = 4'096;

ConfigState::ConfigState()
    : m_current(std::make_shared<Config>())
    , m_replayed(m_current)
{ }

void ConfigState::expiredBefore(uint64_t oldestOffset)
{
    if (oldestOffset <= m_nextOffset)
        return;
    m_replayed = nullptr;
    m_waiting.clear();
    m_firstOffset = oldestOffset;
    m_nextOffset = oldestOffset;
}

static std::shared_ptr<Config> readConfig(const json::object &record, std::string_view idKey)
{
    const json::value *declarations = record.if_contains("declarations");
    if (!declarations)
        return nullptr;
    Problems problems;
    auto config = std::make_shared<Config>();
    config->declarations = declarationsFromJson(*declarations, problems);
    config->changeId = textAt(record, idKey);
    config->author = textAt(record, "author");
    return problems.empty() ? config : nullptr;
}

// Reads a state from a snapshot record or from a peer.
static std::shared_ptr<Config> readVersionedConfig(const json::object &record)
{
    const std::optional<uint64_t> version = countAt(record, "version");
    std::shared_ptr<Config> config = readConfig(record, "changeId");
    if (!config || !version || (*version > 0 && config->changeId.empty()))
        return nullptr;
    config->version = *version;
    return config;
}

RecordEffect ConfigState::apply(uint64_t offset, std::string_view recordText)
{
    if (offset < m_nextOffset)
        return RecordEffect::Ignored;
    m_nextOffset = offset + 1;
    boost::system::error_code error;
    const json::value value = json::parse(recordText, error);
    if (error || !value.is_object())
        return RecordEffect::Invalid;
    const json::object &record = value.get_object();
    const std::string type = textAt(record, "type");
    if (type == "change")
        return applyChange(offset, record);
    if (type == "snapshot")
        return applySnapshot(offset, record);
    return RecordEffect::Invalid;
}

RecordEffect ConfigState::applyChange(uint64_t offset, const json::object &record)
{
    const std::optional<uint64_t> base = countAt(record, "base");
    const std::shared_ptr<Config> config = readConfig(record, "id");
    if (!config || !base || config->changeId.empty())
        return RecordEffect::Invalid;
    config->version = *base + 1;
    const Change change{.offset = offset, .base = *base, .config = config};
    if (m_replayed)
        return replay(change);
    m_waiting.push_back(change);
    return RecordEffect::Ignored;
}

// Acceptance depends on the base only, because a reader that started later does not know all ids and must
// reach the same decision. The id only distinguishes a repeated change from a conflict.
RecordEffect ConfigState::replay(const Change &change)
{
    if (change.base != m_replayed->version)
        return acceptedVersion(change.config->changeId) ? RecordEffect::Repeated : RecordEffect::Conflict;
    m_replayed = change.config;
    remember(*m_replayed);
    putInForce(m_replayed);
    return RecordEffect::Accepted;
}

RecordEffect ConfigState::applySnapshot(uint64_t offset, const json::object &record)
{
    const std::optional<uint64_t> upTo = countAt(record, "upTo");
    const std::shared_ptr<Config> config = readVersionedConfig(record);
    if (!config || !upTo || *upTo > offset)
        return RecordEffect::Invalid;
    // If upTo is below the first offset, an accepted change between the two may have expired unread.
    if (m_replayed || *upTo < m_firstOffset)
        return RecordEffect::Ignored;
    const uint64_t before = version();
    continueFrom(config, *upTo);
    return version() > before ? RecordEffect::Accepted : RecordEffect::Ignored;
}

void ConfigState::continueFrom(const ConfigPtr &config, uint64_t upTo)
{
    m_replayed = config;
    remember(*config);
    putInForce(config);
    const std::vector<Change> waiting = std::exchange(m_waiting, {});
    for (const Change &change : waiting) {
        if (change.offset >= upTo)
            replay(change);
    }
}

void ConfigState::putInForce(const ConfigPtr &config)
{
    if (config->version > m_current->version)
        m_current = config;
}

void ConfigState::remember(const Config &config)
{
    if (config.version == 0 || (!m_history.empty() && m_history.back().version >= config.version))
        return;
    m_history.push_back({.version = config.version, .id = config.changeId, .author = config.author});
    if (m_history.size() > maxHistory)
        m_history.pop_front();
}

std::optional<uint64_t> ConfigState::acceptedVersion(std::string_view id) const
{
    const auto found = std::find_if(m_history.begin(), m_history.end(),
                                    [&](const AcceptedChange &change) { return change.id == id; });
    return found == m_history.end() ? std::nullopt : std::optional(found->version);
}

static json::object stateObject(const Config &config)
{
    return {{"version", config.version},
            {"changeId", config.changeId},
            {"author", config.author},
            {"declarations", toJson(config.declarations)}};
}

std::string ConfigState::stateText() const
{
    json::object state = stateObject(*m_current);
    // A peer may resume the replay from this state only if it equals the replayed state at this offset.
    if (m_replayed && m_replayed->version == m_current->version)
        state["nextOffset"] = m_nextOffset;
    return json::serialize(state);
}

std::string ConfigState::snapshotRecord() const
{
    assert(m_replayed);
    json::object record = stateObject(*m_replayed);
    record["type"] = "snapshot";
    record["upTo"] = m_nextOffset;
    return json::serialize(record);
}

bool ConfigState::adopt(std::string_view stateText)
{
    boost::system::error_code error;
    const json::value value = json::parse(stateText, error);
    if (error || !value.is_object())
        return false;
    const json::object &state = value.get_object();
    const std::shared_ptr<Config> config = readVersionedConfig(state);
    if (!config)
        return false;
    const uint64_t before = version();
    const std::optional<uint64_t> nextOffset = countAt(state, "nextOffset");
    const bool isAhead = nextOffset && *nextOffset > m_nextOffset;
    if (isAhead || (nextOffset && !m_replayed && *nextOffset >= m_firstOffset)) {
        m_nextOffset = std::max(m_nextOffset, *nextOffset);
        continueFrom(config, *nextOffset);
    }
    putInForce(config);
    return version() > before;
}

ChangeRecord makeChangeRecord(uint64_t base, std::string_view author, const Declarations &declarations)
{
    const std::string body = json::serialize(toJson(declarations));
    const std::string id = Fingerprint::ofKey(std::to_string(base) + "/" + std::string(author), body).hex();
    return {.id = id,
            .text = json::serialize(json::object{{"type", "change"},
                                                 {"id", id},
                                                 {"author", author},
                                                 {"base", base},
                                                 {"declarations", json::parse(body)}})};
}

} // namespace turmericwell
