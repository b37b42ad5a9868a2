// Paged load of the newest records, then long polls for changes.
#include "store/topicfollower.h"

namespace turmericwell {

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
    m_keysOfLoad.clear();
    m_loadEnd.reset();
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

void TopicFollower::pageLoaded(const NewestAnswer &answer)
{
    if (answer.status != StoreStatus::Done) {
        failed("newest records");
        m_timers.after(m_backoff.next(), [this] { start(); });
        return;
    }
    works();
    if (!m_loadEnd)
        m_loadEnd = answer.end;
    for (const StoreRecord &record : answer.records) {
        m_keysOfLoad.insert(record.key);
        m_handlers.onRecord(record);
    }
    if (answer.hasMore && !answer.records.empty()) {
        loadPage(answer.records.back().key);
        return;
    }
    for (const std::string &key : m_keys) {
        if (!m_keysOfLoad.contains(key))
            m_handlers.onRecord({.key = key});
    }
    m_keys = std::exchange(m_keysOfLoad, {});
    m_next = *m_loadEnd;
    m_handlers.onSynced();
    readOn();
}

void TopicFollower::readOn()
{
    m_store.read({.topic = m_options.topic, .from = m_next, .wait = m_options.readWait},
                 m_options.readWait + m_options.timeout,
                 [this, guard = m_timers.guard()](const ReadAnswer &answer) {
                     if (!guard.expired())
                         readDone(answer);
                 });
}

void TopicFollower::readDone(const ReadAnswer &answer)
{
    if (answer.status == StoreStatus::Expired
        || (answer.status == StoreStatus::Done && answer.end < m_next)) {
        m_log.always(Clock::now(), "topic_read_again", {{"topic", m_options.topic}, {"from", m_next}});
        start();
        return;
    }
    if (answer.status != StoreStatus::Done) {
        failed("read");
        m_timers.after(m_backoff.next(), [this] { readOn(); });
        return;
    }
    works();
    for (const StoreRecord &record : answer.records) {
        if (record.value.empty())
            m_keys.erase(record.key);
        else
            m_keys.insert(record.key);
        m_handlers.onRecord(record);
        m_next = record.offset + 1;
    }
    m_handlers.onSynced();
    readOn();
}

void TopicFollower::failed(std::string_view what)
{
    if (++m_failures == 1)
        m_log.always(Clock::now(), "topic_unreachable", {{"topic", m_options.topic}, {"call", what}});
}

void TopicFollower::works()
{
    m_backoff.reset();
    if (m_failures > 0)
        m_log.always(Clock::now(), "topic_reachable", {{"topic", m_options.topic}, {"failures", m_failures}});
    m_failures = 0;
}

} // namespace turmericwell
