// Delayed calls on an io context, tied to the lifetime of an owner.
#pragma once

#include "net/framelink.h"
#include "turmericwell/millis.h"

#include <functional>
#include <memory>

namespace turmericwell {

// Calls that are pending when the object is destroyed never run.
class Timers
{
public:
    explicit Timers(IoContext &io)
        : m_io(io)
    { }

    void after(Millis delay, std::function<void()> call);
    // The call repeats until the object is destroyed.
    void every(Millis interval, std::function<void()> call);
    // Expires with this object; callbacks of other objects hold it to see whether the owner still lives.
    std::weak_ptr<bool> guard() const { return m_alive; }

private:
    IoContext &m_io;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace turmericwell
