// Runs tasks on the target beside the agent, over HTTP.
#pragma once

#include "net/http.h"
#include "turmericwell/task.h"

#include <functional>
#include <memory>

namespace turmericwell {

class TargetClient
{
public:
    TargetClient(IoContext &io, const Address &address, uint32_t connections);

    // mayStillStart is asked right before the request goes out; the process may have been paused since the
    // decision. The callback gets Complete or Failed if the target answered, NotRun if the request never
    // reached it, Unknown otherwise.
    void run(const TaskStart &start, Millis timeout, std::function<bool()> mayStillStart,
             std::function<void(TaskResult)> onDone);
    void stop(const TaskRef &task);

    const Address &address() const { return m_address; }

private:
    Address m_address;
    HttpClient m_http;
    // Stops do not queue behind running tasks.
    HttpClient m_control;
};

} // namespace turmericwell
