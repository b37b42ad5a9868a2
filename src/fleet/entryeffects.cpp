// The side effects of an entry's JobScheduler: records in the store, and messages to the agents.
#include "fleet/entrynode.h"

namespace turmericwell {

void EntryNode::store(uint32_t partition, JobId job, std::string record, bool mayDrop,
                      std::function<void(StoreOutcome, Millis)> onDone)
{
    m_owner.store(partition, job, std::move(record), mayDrop, std::move(onDone));
}

NodeLinkPtr EntryNode::linkOf(AgentNumber number) const
{
    const auto link = m_agentLinks.find(number);
    return link == m_agentLinks.end() ? nullptr : link->second;
}

void EntryNode::start(const StartRequest &request)
{
    const NodeLinkPtr link = linkOf(request.agent);
    if (!link)
        return;
    fleet::StartOrderT order;
    order.partition = request.partition;
    order.epoch = request.epoch;
    order.run = std::make_unique<fleet::RunRef>(toWire(request.run));
    order.payload = request.spec->payload;
    order.checkpoint = request.checkpoint;
    order.cpu_milli = request.step->cpu_milli;
    order.memory_mb = request.step->memory_mb;
    order.accelerators = request.step->accelerators;
    order.priority = request.spec->priority;
    order.slack_ms = request.slack.count;
    order.best_effort = request.spec->best_effort;
    order.expected_ms = static_cast<uint32_t>(request.expected.count);
    link->send(std::move(order));
}

void EntryNode::stop(AgentNumber number, uint32_t partition, uint64_t epoch, const RunId &run)
{
    const NodeLinkPtr link = linkOf(number);
    if (!link)
        return;
    fleet::StopOrderT order;
    order.partition = partition;
    order.epoch = epoch;
    order.run = std::make_unique<fleet::RunRef>(toWire(run));
    link->send(std::move(order));
}

void EntryNode::endStored(AgentNumber number, const RunId &run)
{
    const NodeLinkPtr link = linkOf(number);
    if (!link)
        return;
    fleet::EndStoredT message;
    message.run = std::make_unique<fleet::RunRef>(toWire(run));
    link->sendLater(std::move(message));
}

void EntryNode::endDisputed(AgentNumber number, const RunId &run)
{
    const NodeLinkPtr link = linkOf(number);
    if (!link)
        return;
    fleet::EndDisputedT message;
    message.run = std::make_unique<fleet::RunRef>(toWire(run));
    link->send(std::move(message));
}

void EntryNode::sendRunSize(AgentNumber number, const RunId &run, const StepSpec &step)
{
    const NodeLinkPtr link = linkOf(number);
    if (!link)
        return;
    fleet::RunSizeT message;
    message.run = std::make_unique<fleet::RunRef>(toWire(run));
    message.cpu_milli = step.cpu_milli;
    message.memory_mb = step.memory_mb;
    message.accelerators = step.accelerators;
    link->send(std::move(message));
}

} // namespace turmericwell
