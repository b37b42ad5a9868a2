// Acceptance rule for configuration records.
#include "config/configstate.h"

#include "turmericwell/fingerprint.h"

namespace turmericwell {

namespace json = boost::json;

ConfigState::ConfigState()
    : m_current(std::make_shared<Config>())
{ }

void ConfigState::startReadingAt(uint64_t firstOffset)
{
    m_firstOffset = firstOffset;
    m_nextOffset = std::max(m_nextOffset, firstOffset);
    if (firstOffset > 0 && m_current->version == 0)
        m_hasBase = false;
}

static std::string textAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_string() ? std::string(std::string_view(value->get_string())) : std::string();
}

static std::optional<uint64_t> countAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    boost::system::error_code error;
    if (!value || !value->is_number())
        return std::nullopt;
    const auto count = value->to_number<uint64_t>(error);
    return error ? std::nullopt : std::optional<uint64_t>(count);
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
    return problems.empty() && !config->changeId.empty() ? config : nullptr;
}

RecordEffect ConfigState::apply(uint64_t offset, std::string_view recordText)
{
    m_nextOffset = offset + 1;
    boost::system::error_code error;
    const json::value value = json::parse(recordText, error);
    if (error || !value.is_object())
        return RecordEffect::Invalid;
    const json::object &record = value.get_object();
    const std::string type = textAt(record, "type");
    if (type == "change")
        return applyChange(record);
    if (type == "snapshot")
        return applySnapshot(offset, record);
    return RecordEffect::Invalid;
}

RecordEffect ConfigState::applyChange(const json::object &record)
{
    if (!m_hasBase)
        return RecordEffect::Ignored;
    if (textAt(record, "id") == m_current->changeId)
        return RecordEffect::Repeated;
    const std::optional<uint64_t> base = countAt(record, "base");
    const std::shared_ptr<Config> config = readConfig(record, "id");
    if (!config || !base)
        return RecordEffect::Invalid;
    if (*base != m_current->version)
        return RecordEffect::Conflict;
    config->version = *base + 1;
    m_current = config;
    return RecordEffect::Accepted;
}

RecordEffect ConfigState::applySnapshot(uint64_t offset, const json::object &record)
{
    if (m_hasBase)
        return RecordEffect::Ignored;
    const std::optional<uint64_t> version = countAt(record, "version");
    const std::optional<uint64_t> upTo = countAt(record, "upTo");
    const std::shared_ptr<Config> config = readConfig(record, "changeId");
    if (!config || !version || !upTo || *upTo > offset)
        return RecordEffect::Invalid;
    // A change between upTo and the snapshot may have expired, so the snapshot may be older than the state in
    // force.
    if (*upTo < m_firstOffset)
        return RecordEffect::Ignored;
    config->version = *version;
    m_current = config;
    m_hasBase = true;
    return RecordEffect::Accepted;
}

std::string ConfigState::stateText() const
{
    return json::serialize(json::object{{"version", m_current->version},
                                        {"changeId", m_current->changeId},
                                        {"author", m_current->author},
                                        {"nextOffset", m_nextOffset},
                                        {"declarations", toJson(m_current->declarations)}});
}

std::string ConfigState::snapshotRecord() const
{
    return json::serialize(json::object{{"type", "snapshot"},
                                        {"version", m_current->version},
                                        {"changeId", m_current->changeId},
                                        {"author", m_current->author},
                                        {"upTo", m_nextOffset},
                                        {"declarations", toJson(m_current->declarations)}});
}

bool ConfigState::adopt(std::string_view stateText)
{
    boost::system::error_code error;
    const json::value value = json::parse(stateText, error);
    if (error || !value.is_object())
        return false;
    const json::object &state = value.get_object();
    const std::optional<uint64_t> version = countAt(state, "version");
    const std::optional<uint64_t> nextOffset = countAt(state, "nextOffset");
    const std::shared_ptr<Config> config = readConfig(state, "changeId");
    if (!config || !version || !nextOffset || *version <= m_current->version)
        return false;
    config->version = *version;
    m_current = config;
    m_hasBase = true;
    m_nextOffset = std::max(m_nextOffset, *nextOffset);
    return true;
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
