// Interface to the platform's store: a log of topics that are divided into partitions. A keyed topic retains
// the newest record of each key. An implementation only translates calls; retries, the choice of timeouts and
// the reaction to failures are up to the callers.
#pragma once

#include "turmericwell/millis.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace turmericwell {

enum class StoreStatus : uint8_t {
    Done,
    // The partition has received an append with a higher epoch.
    Fenced,
    // The sequence number does not follow the last one of this epoch.
    WrongSequence,
    // The records have expired.
    Expired,
    // Rejected because of a rate limit, or unavailable: the call was not carried out.
    Refused,
    // No answer was received. The call may have been carried out, or may be carried out later.
    NoAnswer,
    // The answer is not valid for the call.
    Invalid,
};

struct StoreRecord
{
    // Empty if the record is not a valid keyed record. Such a record is delivered so that a reader can count
    // its offset and go on behind it.
    std::string key;
    // An empty value deletes the key.
    std::string value;
    uint64_t offset = 0;
};

struct AppendCall
{
    std::string topic;
    uint32_t partition = 0;
    // If empty, the append is neither fenced nor deduplicated.
    std::string producer;
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    std::vector<StoreRecord> records;
};

struct AppendAnswer
{
    StoreStatus status = StoreStatus::NoAnswer;
    uint64_t offset = 0;
    uint64_t end = 0;
    // With WrongSequence: the sequence number that the store expects.
    uint64_t expectedSequence = 0;
};

struct ReadCall
{
    std::string topic;
    uint32_t partition = 0;
    uint64_t from = 0;
    Millis wait;
};

struct ReadAnswer
{
    StoreStatus status = StoreStatus::NoAnswer;
    uint64_t end = 0;
    std::vector<StoreRecord> records;
};

struct NewestCall
{
    std::string topic;
    uint32_t partition = 0;
    // Last key of the previous page; empty for the first page.
    std::string after;
};

struct NewestAnswer
{
    StoreStatus status = StoreStatus::NoAnswer;
    std::vector<StoreRecord> records;
    bool hasMore = false;
    // Key of the last record of the page, from which the next page continues.
    std::string lastKey;
    uint64_t end = 0;
};

struct JoinCall
{
    std::string group;
    std::string member;
    std::string topic;
    Millis ttl;
    // The last generation received; 0 before the first join.
    uint64_t generation = 0;
};

struct JoinAnswer
{
    StoreStatus status = StoreStatus::NoAnswer;
    uint64_t generation = 0;
    std::vector<uint32_t> partitions;
};

struct LeaveCall
{
    std::string group;
    std::string member;
};

class StoreApi
{
public:
    virtual ~StoreApi() = default;
    virtual void append(const AppendCall &call, Millis timeout, std::function<void(AppendAnswer)> onDone) = 0;
    virtual void read(const ReadCall &call, Millis timeout, std::function<void(ReadAnswer)> onDone) = 0;
    virtual void newest(const NewestCall &call, Millis timeout, std::function<void(NewestAnswer)> onDone) = 0;
    virtual void join(const JoinCall &call, Millis timeout, std::function<void(JoinAnswer)> onDone) = 0;
    virtual void leave(const LeaveCall &call, Millis timeout, std::function<void(StoreStatus)> onDone) = 0;
};

// Delays between retries: each is drawn at random from the upper half of an interval that doubles up to a
// limit, so that processes that failed at the same time do not retry at the same time.
class Backoff
{
public:
    Backoff(Millis initial, Millis limit)
        : m_initial(initial)
        , m_limit(limit)
        , m_next(initial)
    { }

    Millis next();
    void reset() { m_next = m_initial; }

private:
    Millis m_initial;
    Millis m_limit;
    Millis m_next;
};

} // namespace turmericwell
