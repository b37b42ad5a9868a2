// Records of submissions that other entries accepted. They come from handovers, from agents, or from claims
// in the log.
#pragma once

#include "turmericwell/millis.h"
#include "turmericwell/task.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericwell {

// State of a submission as sent from one entry to another.
struct SubmissionRecord
{
    Fingerprint key;
    // Zero if not known.
    uint64_t bodyHash = 0;
    SubmissionKind kind = SubmissionKind::Request;
    bool answered = false;
    Answer answer;
    // Entry that runs the submission until it is answered.
    std::string holder;
    Millis firstSeen;
};

// State of a task of a dead entry, as reported by the agent that started it.
struct RecoveredTask
{
    TaskRef task;
    uint32_t taskCount = 1;
    uint64_t bodyHash = 0;
    bool running = false;
    TaskResult result;
};

struct StoredRecord
{
    SubmissionRecord record;
    // An agent still runs a task of the submission; a later query will return the result.
    bool isTaskRunning = false;
};

// Not thread-safe.
class SubmissionRecordStore
{
public:
    explicit SubmissionRecordStore(Millis window);

    void add(const SubmissionRecord &record);
    // Adds a key that a lost entry accepted. Without any other record its outcome remains unknown.
    void addClaim(const Fingerprint &key, Millis now);
    void addStarted(const RecoveredTask &task, Millis now);
    std::optional<StoredRecord> find(const Fingerprint &key) const;
    // Evicts the records that are older than the window and returns their keys. The caller must turn them
    // into tombstones, because these keys must still be rejected.
    std::vector<Fingerprint> evictExpired(Millis now);
    size_t size() const { return m_records.size(); }
    // Calls `visit` for each record, so that records can be handed over when keys move again.
    template <typename Visit>
    void forEach(Visit visit) const
    {
        for (const auto &[key, item] : m_records)
            visit(item.record);
    }

private:
    struct Item
    {
        SubmissionRecord record;
        uint32_t taskCount = 0;
        std::map<uint32_t, RecoveredTask> tasks;
    };

    static bool isRunning(const Item &item);
    static void updateAnswer(Item &item);

    const Millis m_window;
    std::unordered_map<Fingerprint, Item> m_records;
};

} // namespace turmericwell
