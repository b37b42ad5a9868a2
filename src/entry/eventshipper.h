// Ships the events of an entry, and those that agents hand to it, to the events stream of the log.
#pragma once

#include "logservice/logclient.h"
#include "observe/eventlog.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace turmericwell {

// Appends at most one record a second. A record whose append may have failed is appended again; the timeline
// removes the duplicates. Thread-safe.
class EventShipper
{
public:
    EventShipper(std::string entry, const EventLog &own, std::shared_ptr<LogClient> log);

    // Events of an agent, in their JSON form.
    void take(std::vector<std::string> events);
    // Appends a record if one is due. Call often.
    void tick(Millis now);
    // Appends what is left before the process ends; onDone runs when the append has ended, whatever its
    // result.
    void flush(std::function<void()> onDone);
    // Events that were left out because there were too many.
    uint64_t skipped() const;

private:
    std::string nextRecord();
    void finished(const AppendResult &result);

    const std::string m_entry;
    const EventLog &m_own;
    std::shared_ptr<LogClient> m_log;
    mutable std::mutex m_mutex;
    // Last own event that is in a record.
    uint64_t m_shippedUpTo = 0;
    std::vector<std::string> m_fromAgents;
    // The record that is being appended, or has to be appended again.
    std::string m_record;
    Millis m_lastAppend;
    bool m_appending = false;
    uint64_t m_skipped = 0;
};

} // namespace turmericwell
