// HTTP client that starts and stops tasks on the local target of the agent.
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

    // mayStillStart is called right before the request is sent, because the process may have been paused
    // since the decision to start the task; if it returns false, the request is not sent. The outcome passed
    // to onDone is Complete or Failed if the target responded, NotRun if no part of the request can have
    // reached the target, and Unknown otherwise.
    void run(const TaskStart &start, Millis timeout, std::function<bool()> mayStillStart,
             std::function<void(TaskResult)> onDone);
    void stop(const TaskRef &task);

    const Address &address() const { return m_address; }

private:
    Address m_address;
    HttpClient m_http;
    // Separate connection for stop requests, so that they do not queue behind running tasks.
    HttpClient m_control;
};

} // namespace turmericwell
