// Who waits for the answer to a submission: caller connections and forwards of other entries.
#pragma once

#include "submission/submissiontable.h"

#include <functional>
#include <mutex>
#include <unordered_map>

namespace turmericwell {

using AnswerDelivery = std::function<void(const Answer &)>;

// Thread-safe. Each waiter gets at most one answer.
class Waiters
{
public:
    WaiterId add(AnswerDelivery deliver)
    {
        const std::lock_guard lock(m_mutex);
        const WaiterId id = m_next++;
        m_waiters[id] = std::move(deliver);
        return id;
    }

    void answer(WaiterId waiter, const Answer &answer)
    {
        AnswerDelivery deliver;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_waiters.find(waiter);
            if (found == m_waiters.end())
                return;
            deliver = std::move(found->second);
            m_waiters.erase(found);
        }
        deliver(answer);
    }

    size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_waiters.size();
    }

private:
    mutable std::mutex m_mutex;
    std::unordered_map<WaiterId, AnswerDelivery> m_waiters;
    WaiterId m_next = 1;
};

} // namespace turmericwell
