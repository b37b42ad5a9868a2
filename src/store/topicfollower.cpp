// Paged load of the newest records, then long polls for changes.
#include "store/topicfollower.h"

namespace turmericwell {

constexpr Millis currentCheckTimeout = {600};
// Pause after an answer that shows records which are still on their way to this reader, or after a failure.
constexpr Millis currentCheckRetry = {20};

TopicFollower::TopicFollower(TopicFollowerOptions options, StoreApi &store, IoContext &io, StructuredLog &log,
                             Handlers handlers)
    : m_options(std::move(options))
    , m_store(store)
    , m_timers(io)
    , m_log(log)
    , m_handlers(std::move(handlers))
{ }

void TopicFollower::start()
{
    m_loadedKeys.clear();
    m_loadEnd.reset();
    m_isLoaded = false;
    loadPage({});
}

void TopicFollower::loadPage(const std::string &after)
{
    m_store.newest({.topic = m_options.topic, .after = after}, m_options.timeout,
                   [this, guard = m_timers.guard()](const NewestAnswer &answer) {
                       if (!guard.expired())
                           pageLoaded(answer);
                   });
}

void TopicFollower::continueLoading(const std::string &after)
{
    // Without a key to continue from the load is incomplete, and the keys that it lacks would count as
    // deleted.
    if (after.empty()) {
        recordFailure("next page of the newest records");
        m_timers.after(m_backoff.next(), [this] { start(); });
        return;
    }
    loadPage(after);
}

void TopicFollower::pageLoaded(const NewestAnswer &answer)
{
    if (answer.status != StoreStatus::Done) {
        recordFailure("newest records");
        m_timers.after(m_backoff.next(), [this] { start(); });
        return;
    }
    recordSuccess();
    if (!m_loadEnd)
        m_loadEnd = answer.end;
    for (const StoreRecord &record : answer.records) {
        if (!record.key.empty())
            m_loadedKeys.insert(record.key);
        deliver(record);
    }
    if (answer.hasMore) {
        continueLoading(answer.lastKey);
        return;
    }
    for (const std::string &key : m_keys) {
        if (!m_loadedKeys.contains(key))
            m_handlers.onRecord({.key = key});
    }
    m_keys = std::exchange(m_loadedKeys, {});
    m_nextOffset = *m_loadEnd;
    m_isLoaded = true;
    m_handlers.onSynced();
    readChanges();
}

void TopicFollower::readChanges()
{
    m_store.read({.topic = m_options.topic, .from = m_nextOffset, .wait = m_options.readWait},
                 m_options.readWait + m_options.timeout,
                 [this, guard = m_timers.guard()](const ReadAnswer &answer) {
                     if (!guard.expired())
                         changesRead(answer);
                 });
}

void TopicFollower::changesRead(const ReadAnswer &answer)
{
    if (answer.status == StoreStatus::Expired
        || (answer.status == StoreStatus::Done && answer.end < m_nextOffset)) {
        m_log.always(Clock::now(), "topic_read_again", {{"topic", m_options.topic}, {"from", m_nextOffset}});
        start();
        return;
    }
    if (answer.status != StoreStatus::Done) {
        recordFailure("read");
        m_timers.after(m_backoff.next(), [this] { readChanges(); });
        return;
    }
    recordSuccess();
    for (const StoreRecord &record : answer.records) {
        if (record.value.empty())
            m_keys.erase(record.key);
        else
            m_keys.insert(record.key);
        deliver(record);
        m_nextOffset = record.offset + 1;
    }
    m_handlers.onSynced();
    readChanges();
}

void TopicFollower::checkCurrent()
{
    const Millis now = Clock::now();
    if (!m_isLoaded || now < m_nextCheckAt)
        return;
    m_nextCheckAt = now + currentCheckTimeout;
    m_store.read({.topic = m_options.topic, .from = m_nextOffset}, currentCheckTimeout,
                 [this, now, guard = m_timers.guard()](const ReadAnswer &answer) {
                     if (!guard.expired())
                         currentChecked(answer, now);
                 });
}

void TopicFollower::currentChecked(const ReadAnswer &answer, Millis sentAt)
{
    m_nextCheckAt = Clock::now() + currentCheckRetry;
    // Records that are not delivered yet reach this reader by its own read.
    if (answer.status == StoreStatus::Done && m_isLoaded && answer.end <= m_nextOffset)
        m_currentAt = std::max(m_currentAt, sentAt);
}

void TopicFollower::deliver(const StoreRecord &record)
{
    if (record.key.empty()) {
        m_log.write(Clock::now(), "record_unreadable",
                    {{"topic", m_options.topic}, {"offset", record.offset}, {"bytes", record.value.size()}});
        return;
    }
    try {
        m_handlers.onRecord(record);
    } catch (const std::exception &error) {
        m_log.write(Clock::now(), "record_not_applied",
                    {{"topic", m_options.topic},
                     {"key", record.key},
                     {"offset", record.offset},
                     {"error", error.what()}});
    }
}

void TopicFollower::recordFailure(std::string_view what)
{
    if (++m_failures == 1)
        m_log.always(Clock::now(), "topic_unreachable", {{"topic", m_options.topic}, {"call", what}});
}

void TopicFollower::recordSuccess()
{
    m_backoff.reset();
    if (m_failures > 0)
        m_log.always(Clock::now(), "topic_reachable", {{"topic", m_options.topic}, {"failures", m_failures}});
    m_failures = 0;
}

} // namespace turmericwell
