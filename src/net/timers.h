// Delayed calls on an io context, tied to the lifetime of an owner.
#pragma once

#include "net/framelink.h"
#include "turmericwell/millis.h"

#include <functional>
#include <memory>

namespace turmericwell {

// Schedules delayed calls. Calls still pending when the object is destroyed never run.
class Timers
{
public:
    explicit Timers(IoContext &io)
        : m_io(io)
    { }

    void after(Millis delay, std::function<void()> call);
    // Repeats the call until the object is destroyed.
    void every(Millis interval, std::function<void()> call);
    // Expires when this object is destroyed. Callbacks registered elsewhere hold it to check whether their
    // owner still exists.
    std::weak_ptr<bool> guard() const { return m_alive; }

private:
    IoContext &m_io;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace turmericwell
