// Stand-ins for the network and the worker of an agent, for tests that control both.
#pragma once

#include "fleet/agentnode.h"
#include "net/eventqueue.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

// One side of a connection: records what the agent sends, and the test passes it the entry's frames.
class StubLink : public FrameLink
{
public:
    void start(Handlers handlers) override { m_handlers = std::move(handlers); }
    void send(std::vector<uint8_t> frame) override { sent.push_back(std::move(frame)); }
    void sendLater(std::vector<uint8_t>) override { }
    void flush() override { }
    void closeAfterWrites() override { }
    void close(const std::string &reason) override
    {
        if (m_handlers.onClosed)
            std::exchange(m_handlers, {}).onClosed(reason);
        isClosed = true;
    }
    uint64_t bytesSent() const override { return 0; }
    uint64_t bytesReceived() const override { return 0; }
    std::string remoteText() const override { return "test"; }

    template <typename Body>
    void arrives(Body body)
    {
        const std::vector<uint8_t> frame = encodeFleetMessage(std::move(body));
        m_handlers.onFrame(std::span(frame).subspan(frameHeaderBytes));
    }

    // Messages of this kind that the agent has sent.
    size_t sentCount(fleet::Body kind) const
    {
        const auto isOfKind = [&](const std::vector<uint8_t> &frame) {
            const auto envelope = decodeFleetMessage(std::span(frame).subspan(frameHeaderBytes));
            return envelope && envelope->body.type == kind;
        };
        return static_cast<size_t>(std::count_if(sent.begin(), sent.end(), isOfKind));
    }

    std::vector<std::vector<uint8_t>> sent;
    bool isClosed = false;

private:
    Handlers m_handlers;
};

class StubNetwork : public LinkNetwork
{
public:
    std::unique_ptr<LinkListener> listen(const Address &, OnLink onAccept) override
    {
        accept = std::move(onAccept);
        return std::make_unique<LinkListener>();
    }
    void dial(const Address &, Millis, OnLink onDone) override { onDone(nullptr); }

    OnLink accept;
};

// Starts whatever it is told to, lists it, and records when a stop arrives.
class StubWorker : public WorkerApi
{
public:
    void start(const StartCall &call, Millis,
               std::function<void(OrderAnswer, std::optional<Millis>)> onDone) override
    {
        running.push_back({.run = call.run});
        onDone(OrderAnswer::Done, Clock::now());
    }
    void stop(const StopCall &, Millis,
              std::function<void(OrderAnswer, std::optional<Millis>)> onDone) override
    {
        if (!stoppedAt)
            stoppedAt = Clock::now();
        onDone(OrderAnswer::Done, Clock::now());
    }
    void pollLists(const ListPollCall &, Millis,
                   std::function<void(OrderAnswer, const WorkerLists &)> onDone) override
    {
        answers.push_back(std::move(onDone));
    }
    // The polls of a worker that is gone fail.
    void answerPolls()
    {
        if (isGone) {
            for (const auto &answer : std::exchange(answers, {}))
                answer(OrderAnswer::NoAnswer, {});
            return;
        }
        for (const auto &answer : std::exchange(answers, {}))
            answer(OrderAnswer::Done,
                   {.workerClock = Clock::now(), .born = 10, .running = running, .ended = ended});
    }

    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
    std::vector<std::function<void(OrderAnswer, const WorkerLists &)>> answers;
    std::optional<Millis> stoppedAt;
    bool isGone = false;
};

} // namespace turmericwell
