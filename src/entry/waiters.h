// Who waits for the answer to a submission: caller connections and forwards of other entries.
#pragma once

#include "submission/submissiontable.h"

#include <functional>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace turmericwell {

using AnswerDelivery = std::function<void(const Answer &)>;

// Thread-safe. Each waiter gets exactly one answer: the one that was found, or at its deadline Unknown with
// reason deadline.
class Waiters
{
public:
    // Time that the owner gets after the caller's deadline to revoke what is in flight and to answer with
    // proof.
    static constexpr Millis answerSlack = {1'500};

    WaiterId add(AnswerDelivery deliver, Millis deadline)
    {
        const std::lock_guard lock(m_mutex);
        const WaiterId id = m_next++;
        m_waiters[id] = {.deliver = std::move(deliver), .deadline = deadline};
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
            deliver = std::move(found->second.deliver);
            m_waiters.erase(found);
        }
        deliver(answer);
    }

    // Used when this process gives up all its submissions.
    void answerAll(const Answer &answer)
    {
        std::unordered_map<WaiterId, Waiter> all;
        {
            const std::lock_guard lock(m_mutex);
            all.swap(m_waiters);
        }
        for (const auto &[id, waiter] : all)
            waiter.deliver(answer);
    }

    // Answers the waiters whose deadline has passed, whatever has become of the owner of their key.
    void expire(Millis now)
    {
        std::vector<AnswerDelivery> expired;
        {
            const std::lock_guard lock(m_mutex);
            for (auto it = m_waiters.begin(); it != m_waiters.end();) {
                if (now < it->second.deadline) {
                    ++it;
                    continue;
                }
                expired.push_back(std::move(it->second.deliver));
                it = m_waiters.erase(it);
            }
        }
        for (const AnswerDelivery &deliver : expired)
            deliver({.outcome = Outcome::Unknown, .reason = std::string(reason::deadline), .status = 504});
    }

    size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_waiters.size();
    }

private:
    struct Waiter
    {
        AnswerDelivery deliver;
        Millis deadline;
    };

    mutable std::mutex m_mutex;
    std::unordered_map<WaiterId, Waiter> m_waiters;
    WaiterId m_next = 1;
};

} // namespace turmericwell
