// Fingerprints of accepted submissions in the claims stream: written in batches, read on a takeover.
#pragma once

#include "logservice/logclient.h"
#include "turmericwell/fingerprint.h"
#include "turmericwell/task.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace turmericwell {

struct ClaimBatch
{
    ProcessId entry;
    std::vector<Fingerprint> keys;
};

std::string claimRecord(const ProcessId &entry, uint64_t sequence, const std::vector<Fingerprint> &keys);
std::optional<ClaimBatch> parseClaimRecord(std::string_view text);

// Thread-safe. Claims are not awaited: they only narrow what is lost if an entry and an agent die together.
class ClaimsLog
{
public:
    // At most 5 appends a second for each entry (docs/design.md, section 4.1).
    static constexpr Millis interval = {200};
    static constexpr size_t batchKeys = 4'096;
    // Beyond this, while the log is down, the oldest claims are dropped and counted.
    static constexpr size_t capacity = 100'000;

    ClaimsLog(std::shared_ptr<LogClient> log, ProcessId self);

    void add(const Fingerprint &key);
    void tick(Millis now);
    uint64_t dropped() const;

    // Reads the stream to its end; onDone gets nothing if it cannot be read.
    void readAll(Millis since, std::function<void(const std::optional<std::vector<ClaimBatch>> &)> onDone);

private:
    struct Reading;
    void readNext(const std::shared_ptr<Reading> &reading);

    const std::shared_ptr<LogClient> m_log;
    const ProcessId m_self;
    mutable std::mutex m_mutex;
    std::deque<Fingerprint> m_keys;
    uint64_t m_sequence = 0;
    uint64_t m_dropped = 0;
    Millis m_appendedAt;
    bool m_appending = false;
};

} // namespace turmericwell
