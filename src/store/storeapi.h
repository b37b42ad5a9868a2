// Calls to the platform's store: a log of topics with partitions. A keyed topic keeps the newest record of
// each key. An implementation translates; retries, timeouts and decisions belong to the callers.
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
    // A higher epoch has been seen on the partition.
    Fenced,
    // The sequence number does not follow the last one of this epoch.
    WrongSequence,
    // The records have expired.
    Expired,
    // Refused for the rate of calls, or unavailable: nothing was done.
    Refused,
    // The call may have been carried out, or may still be.
    NoAnswer,
    // The store answered something that the call does not allow.
    Invalid,
};

struct StoreRecord
{
    std::string key;
    // An empty value deletes the key.
    std::string value;
    uint64_t offset = 0;
};

struct AppendCall
{
    std::string topic;
    uint32_t partition = 0;
    // Without a producer the append is neither fenced nor deduplicated.
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
    // With WrongSequence: the number that the store expects.
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
    // Continues after this key; empty for the first page.
    std::string after;
};

struct NewestAnswer
{
    StoreStatus status = StoreStatus::NoAnswer;
    std::vector<StoreRecord> records;
    bool hasMore = false;
    uint64_t end = 0;
};

struct JoinCall
{
    std::string group;
    std::string member;
    std::string topic;
    Millis ttl;
    // The last generation received; 0 at first.
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

// Delays of repeated tries: each is a random part of a span that doubles up to a limit, so that processes
// that failed together do not come back together.
class Backoff
{
public:
    Backoff(Millis first, Millis most)
        : m_first(first)
        , m_most(most)
        , m_next(first)
    { }

    Millis next();
    void reset() { m_next = m_first; }

private:
    Millis m_first;
    Millis m_most;
    Millis m_next;
};

} // namespace turmericwell
