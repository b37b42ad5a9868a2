// Records of submissions that other entries accepted: handed over, found at agents, or only claimed in the
// log.
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

// What one entry tells another about a submission.
struct SubmissionRecord
{
    Fingerprint key;
    // Zero if not known.
    uint64_t bodyHash = 0;
    SubmissionKind kind = SubmissionKind::Request;
    bool answered = false;
    Answer answer;
    // Entry that runs it while it is not answered.
    std::string holder;
    Millis firstSeen;
};

// What an agent tells about a task that a dead entry started.
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
    // An agent still runs a task of it; the result will come with a later query.
    bool awaitsAgent = false;
};

// Not thread-safe.
class RecordStore
{
public:
    explicit RecordStore(Millis window);

    void add(const SubmissionRecord &record);
    // A key that a lost entry accepted. Without any other record its outcome stays unknown.
    void addClaim(const Fingerprint &key, Millis now);
    void addStarted(const RecoveredTask &task, Millis now);
    std::optional<StoredRecord> find(const Fingerprint &key) const;
    // Returns the keys that were dropped; they must still be refused, so they become tombstones.
    std::vector<Fingerprint> dropOlderThanWindow(Millis now);
    size_t size() const { return m_records.size(); }
    // Calls visit for each record, so that they are handed on when keys move again.
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
    static void decide(Item &item);

    const Millis m_window;
    std::unordered_map<Fingerprint, Item> m_records;
};

} // namespace turmericwell
