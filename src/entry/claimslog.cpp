// Batches, appends and reads claims.
#include "entry/claimslog.h"

#include <algorithm>
#include <boost/json.hpp>

namespace turmericwell {

namespace json = boost::json;

static constexpr size_t hexDigits = 32;

std::string claimRecord(const ProcessId &entry, uint64_t sequence, const std::vector<Fingerprint> &keys)
{
    std::string text;
    text.reserve(keys.size() * hexDigits);
    for (const Fingerprint &key : keys)
        text += key.hex();
    return json::serialize(json::object{
        {"entry", entry.name}, {"incarnation", entry.incarnation}, {"seq", sequence}, {"keys", text}});
}

std::optional<ClaimBatch> parseClaimRecord(std::string_view text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    const json::object *object = error ? nullptr : value.if_object();
    const json::value *entry = object ? object->if_contains("entry") : nullptr;
    const json::value *incarnation = object ? object->if_contains("incarnation") : nullptr;
    const json::value *keys = object ? object->if_contains("keys") : nullptr;
    if (!entry || !entry->is_string() || !incarnation || !incarnation->is_number() || !keys
        || !keys->is_string())
        return std::nullopt;
    ClaimBatch batch{.entry = {.name = std::string(std::string_view(entry->get_string())),
                               .incarnation = incarnation->to_number<uint64_t>(error)}};
    const std::string_view digits = keys->get_string();
    for (size_t i = 0; i + hexDigits <= digits.size(); i += hexDigits) {
        if (const std::optional<Fingerprint> key = Fingerprint::fromHex(digits.substr(i, hexDigits)))
            batch.keys.push_back(*key);
    }
    return batch;
}

ClaimsLog::ClaimsLog(std::shared_ptr<LogClient> log, ProcessId self)
    : m_log(std::move(log))
    , m_self(std::move(self))
{ }

void ClaimsLog::add(const Fingerprint &key)
{
    const std::lock_guard lock(m_mutex);
    if (m_keys.size() >= capacity) {
        m_keys.pop_front();
        ++m_dropped;
    }
    m_keys.push_back(key);
}

uint64_t ClaimsLog::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

void ClaimsLog::tick(Millis now)
{
    std::vector<Fingerprint> keys;
    uint64_t sequence = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (m_appending || m_keys.empty() || now - m_appendedAt < interval)
            return;
        const size_t count = std::min(m_keys.size(), batchKeys);
        keys.assign(m_keys.begin(), m_keys.begin() + static_cast<std::ptrdiff_t>(count));
        m_keys.erase(m_keys.begin(), m_keys.begin() + static_cast<std::ptrdiff_t>(count));
        m_appending = true;
        m_appendedAt = now;
        sequence = m_sequence++;
    }
    constexpr Millis timeout = {2'000};
    m_log->append(stream::claims, claimRecord(m_self, sequence, keys), timeout,
                  [this, keys](const AppendResult &result) {
                      const std::lock_guard lock(m_mutex);
                      m_appending = false;
                      // A batch that may be in the log already does no harm twice.
                      if (result.status != AppendStatus::Done)
                          m_keys.insert(m_keys.begin(), keys.begin(), keys.end());
                  });
}

struct ClaimsLog::Reading
{
    Millis since;
    uint64_t next = 0;
    std::vector<ClaimBatch> batches;
    std::function<void(const std::optional<std::vector<ClaimBatch>> &)> onDone;
};

void ClaimsLog::readAll(Millis since,
                        std::function<void(const std::optional<std::vector<ClaimBatch>> &)> onDone)
{
    readNext(std::make_shared<Reading>(Reading{.since = since, .onDone = std::move(onDone)}));
}

void ClaimsLog::readNext(const std::shared_ptr<Reading> &reading)
{
    constexpr size_t most = 500;
    constexpr Millis timeout = {2'000};
    m_log->read(stream::claims, reading->next, most, Millis{0}, timeout,
                [this, reading](const ReadResult &result) {
                    if (result.status == ReadStatus::Failed) {
                        reading->onDone(std::nullopt);
                        return;
                    }
                    if (result.status == ReadStatus::Expired) {
                        reading->next = std::max(reading->next + 1, result.oldest);
                        readNext(reading);
                        return;
                    }
                    for (const LogRecord &record : result.records) {
                        std::optional<ClaimBatch> batch = parseClaimRecord(record.data);
                        if (batch && record.time >= reading->since)
                            reading->batches.push_back(std::move(*batch));
                    }
                    reading->next = std::max(reading->next, result.next);
                    if (result.records.empty())
                        reading->onDone(std::move(reading->batches));
                    else
                        readNext(reading);
                });
}

} // namespace turmericwell
