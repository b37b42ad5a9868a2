// Messages between this entry and the agents.
#include "entry/agenthub.h"

#include "observe/log.h"

namespace turmericwell {

static const Logger &logger()
{
    static const Logger instance("entry");
    return instance;
}

AgentHub::AgentHub(ProcessId entry, Dispatcher &dispatcher, Handlers handlers)
    : m_entry(std::move(entry))
    , m_dispatcher(dispatcher)
    , m_handlers(std::move(handlers))
{ }

static std::vector<std::unique_ptr<wire::MemberT>> toWire(const std::vector<EntryMember> &members)
{
    std::vector<std::unique_ptr<wire::MemberT>> result;
    for (const EntryMember &member : members) {
        auto wireMember = std::make_unique<wire::MemberT>();
        wireMember->entry = member.id.name;
        wireMember->incarnation = member.id.incarnation;
        wireMember->address = member.address;
        wireMember->zone = member.zone;
        result.push_back(std::move(wireMember));
    }
    return result;
}

void AgentHub::adopt(const FrameLinkPtr &link, const wire::HelloT &hello)
{
    Agent agent{.id = {.name = hello.agent, .incarnation = hello.incarnation},
                .target = hello.target ? fromWire(*hello.target) : TargetInfo{},
                .leaving = hello.leaving};
    FrameLinkPtr replaced;
    {
        const std::lock_guard lock(m_mutex);
        FrameLinkPtr &known = m_links[hello.agent];
        if (known != link) {
            replaced = known;
            m_agents.erase(known);
        }
        known = link;
        m_agents[link] = agent;
    }
    if (replaced) {
        replaced->close("the agent has connected again");
        m_handlers.perform(m_dispatcher.agentLost(hello.agent, Clock::now()));
    }
    wire::WelcomeT welcome;
    welcome.entry = m_entry.name;
    welcome.incarnation = m_entry.incarnation;
    welcome.entries = toWire(m_handlers.status().members);
    link->send(encodeMessage(std::move(welcome)));
    // The slice depends on the target, which may have been announced or changed since the last one.
    sendSlice(link, agent.target);
    if (agent.target.slots > 0)
        m_handlers.perform(m_dispatcher.agentUp(agent.id, agent.target, hello.leaving, Clock::now()));
}

void AgentHub::closed(const FrameLinkPtr &link)
{
    std::string name;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_agents.find(link);
        if (found == m_agents.end())
            return;
        name = found->second.id.name;
        m_agents.erase(found);
        m_links.erase(name);
    }
    logger().info("agent " + name + " is disconnected");
    m_handlers.onGone(name);
    m_handlers.perform(m_dispatcher.agentLost(name, Clock::now()));
}

FrameLinkPtr AgentHub::linkTo(const std::string &agent) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_links.find(agent);
    return found == m_links.end() ? nullptr : found->second;
}

std::string AgentHub::nameOf(const FrameLinkPtr &link) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_agents.find(link);
    return found == m_agents.end() ? std::string() : found->second.id.name;
}

void AgentHub::handle(const FrameLinkPtr &link, const Message &message)
{
    const std::string agent = nameOf(link);
    if (agent.empty())
        return;
    switch (message.body.type) {
    case wire::Body::Hello:
        adopt(link, *message.body.AsHello());
        break;
    case wire::Body::Ping:
        handlePing(link, agent, *message.body.AsPing());
        break;
    case wire::Body::SliceRequest:
        handleSliceRequest(link, agent);
        break;
    case wire::Body::ResultBatch:
        handleResults(agent, *message.body.AsResultBatch());
        break;
    case wire::Body::RevokeAck:
        handleRevokeAck(agent, *message.body.AsRevokeAck());
        break;
    case wire::Body::CreditGrant: {
        const wire::CreditGrantT &grant = *message.body.AsCreditGrant();
        m_handlers.perform(
            m_dispatcher.creditsGranted(agent, grant.credits, grant.credit_epoch, Clock::now()));
        break;
    }
    case wire::Body::Drain:
        m_handlers.perform(m_dispatcher.agentLeaving(agent, Clock::now()));
        break;
    case wire::Body::RecordReply: {
        // The connection names the agent; the field in the message is not trusted.
        wire::RecordReplyT reply = *message.body.AsRecordReply();
        reply.agent = agent;
        m_handlers.onRecords(reply);
        break;
    }
    case wire::Body::EventBatch:
        m_handlers.onEvents(message.body.AsEventBatch()->events);
        break;
    default:
        logger().warning("agent " + agent + " sent a message that entries do not take");
    }
}

void AgentHub::handlePing(const FrameLinkPtr &link, const std::string &agent, const wire::PingT &ping)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_agents.find(link);
        if (found != m_agents.end()) {
            AgentState &state = found->second.state;
            state.configVersion = ping.slice_version;
            state.running = ping.running;
            state.queued = ping.queued;
            state.leaving = ping.leaving;
        }
    }
    m_handlers.onHeard(agent, ping.config_version, ping.view);
    takeLeaving(link, ping.leaving);
    m_dispatcher.loadReported(agent, ping.running + ping.queued);
    const EntryStatus status = m_handlers.status();
    wire::PongT pong;
    pong.sent_ms = ping.sent_ms;
    pong.current = status.current;
    pong.checked_age_ms = status.checkedAge.count;
    pong.config_version = status.configVersion;
    pong.view = status.view;
    pong.entries = toWire(status.members);
    link->send(encodeMessage(std::move(pong)));
}

// The agent reports in each ping whether its target takes work, also when the announcements of the target
// have lapsed.
void AgentHub::takeLeaving(const FrameLinkPtr &link, bool leaving)
{
    Agent agent;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_agents.find(link);
        if (found == m_agents.end() || found->second.leaving == leaving || found->second.target.slots == 0)
            return;
        found->second.leaving = leaving;
        agent = found->second;
    }
    m_handlers.perform(m_dispatcher.agentUp(agent.id, agent.target, leaving, Clock::now()));
}

void AgentHub::handleSliceRequest(const FrameLinkPtr &link, const std::string &agent)
{
    TargetInfo target;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_agents.find(link);
        if (found == m_agents.end() || found->second.id.name != agent)
            return;
        target = found->second.target;
    }
    sendSlice(link, target);
}

void AgentHub::sendSlice(const FrameLinkPtr &link, const TargetInfo &target) const
{
    const ConfigPtr config = m_dispatcher.config();
    wire::SliceT slice;
    slice.config_version = config->version;
    slice.zone_withdrawn = config->declarations.isZoneWithdrawn(target.zone);
    slice.target_withdrawn = config->declarations.isTargetWithdrawn(target);
    link->send(encodeMessage(std::move(slice)));
}

void AgentHub::sendSlices() const
{
    std::vector<std::pair<FrameLinkPtr, TargetInfo>> agents;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[link, agent] : m_agents)
            agents.emplace_back(link, agent.target);
    }
    for (const auto &[link, target] : agents)
        sendSlice(link, target);
}

void AgentHub::handleResults(const std::string &agent, const wire::ResultBatchT &batch)
{
    AgentReport report{
        .agent = agent, .creditEpoch = batch.credit_epoch, .load = batch.running + batch.queued};
    report.results.reserve(batch.results.size());
    for (const auto &result : batch.results)
        report.results.push_back(fromWire(*result));
    m_handlers.perform(m_dispatcher.report(report, Clock::now()));
}

void AgentHub::handleRevokeAck(const std::string &agent, const wire::RevokeAckT &ack)
{
    if (!ack.task)
        return;
    RevokeAnswer answer{
        .agent = agent, .task = fromWire(*ack.task), .running = ack.state == wire::RevokeState::Running};
    if (!answer.running) {
        // Without a result the answer proves nothing.
        if (!ack.result)
            return;
        answer.result = fromWire(*ack.result);
    }
    m_handlers.perform(m_dispatcher.revokeAnswered(answer, Clock::now()));
}

void AgentHub::send(const SendTasks &action)
{
    const FrameLinkPtr link = linkTo(action.agent);
    if (!link)
        return;
    wire::StartBatchT batch;
    for (const TaskStart &start : action.tasks)
        batch.tasks.push_back(turmericwell::toWire(start));
    link->send(encodeMessage(std::move(batch)));
}

void AgentHub::send(const SendRevoke &action)
{
    const FrameLinkPtr link = linkTo(action.agent);
    if (!link)
        return;
    wire::RevokeT revoke;
    revoke.task = std::make_unique<wire::TaskRef>(turmericwell::toWire(action.task));
    link->send(encodeMessage(std::move(revoke)));
}

void AgentHub::send(const SendStop &action)
{
    const FrameLinkPtr link = linkTo(action.agent);
    if (!link)
        return;
    wire::StopT stop;
    stop.task = std::make_unique<wire::TaskRef>(turmericwell::toWire(action.task));
    link->send(encodeMessage(std::move(stop)));
}

void AgentHub::send(const std::string &agent, std::vector<uint8_t> frame)
{
    if (const FrameLinkPtr link = linkTo(agent))
        link->send(std::move(frame));
}

size_t AgentHub::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_agents.size();
}

std::vector<AgentState> AgentHub::states() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<AgentState> result;
    for (const auto &[link, agent] : m_agents) {
        AgentState state = agent.state;
        state.name = agent.id.name;
        state.target = agent.target.name;
        state.zone = agent.target.zone;
        result.push_back(std::move(state));
    }
    return result;
}

} // namespace turmericwell
