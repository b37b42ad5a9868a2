// Connections from agents to this entry.
#pragma once

#include "dispatch/dispatcher.h"
#include "membership/roster.h"
#include "net/framelink.h"
#include "proto/codec.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>

namespace turmericwell {

// What a ping from an agent is answered with.
struct EntryStatus
{
    bool current = false;
    Millis checkedAge;
    uint64_t configVersion = 0;
    uint64_t view = 0;
    std::vector<EntryMember> members;
};

// What an agent reported last about itself.
struct AgentState
{
    std::string name;
    std::string target;
    std::string zone;
    // Version of the configuration that is in force at the agent.
    uint64_t configVersion = 0;
    uint32_t running = 0;
    uint32_t queued = 0;
    // The target is leaving or is not announced.
    bool leaving = false;
};

// Thread-safe.
class AgentHub
{
public:
    struct Handlers
    {
        std::function<EntryStatus()> status;
        std::function<void(const std::string &agent, uint64_t configVersion, uint64_t view)> onHeard;
        std::function<void(const std::string &agent)> onGone;
        std::function<void(DispatchActions)> perform;
        // Answer to a record query.
        std::function<void(const wire::RecordReplyT &reply)> onRecords;
        // Events of an agent, in their JSON form, for the events stream.
        std::function<void(std::vector<std::string> events)> onEvents;
    };

    AgentHub(ProcessId entry, Dispatcher &dispatcher, Handlers handlers);

    // Takes over a connection whose first message was a Hello.
    void adopt(const FrameLinkPtr &link, const wire::HelloT &hello);
    void handle(const FrameLinkPtr &link, const Message &message);
    void closed(const FrameLinkPtr &link);

    void send(const SendTasks &action);
    void send(const SendRevoke &action);
    void send(const SendStop &action);

    void send(const std::string &agent, std::vector<uint8_t> frame);

    size_t size() const;
    std::vector<AgentState> states() const;
    // Sends each agent its part of a configuration that has come into force, so that it need not wait for its
    // ping.
    void sendSlices() const;

private:
    struct Agent
    {
        ProcessId id;
        TargetInfo target;
        bool leaving = false;
        AgentState state;
    };

    FrameLinkPtr linkTo(const std::string &agent) const;
    std::string nameOf(const FrameLinkPtr &link) const;
    void handlePing(const FrameLinkPtr &link, const std::string &agent, const wire::PingT &ping);
    void takeLeaving(const FrameLinkPtr &link, bool leaving);
    void sendSlice(const FrameLinkPtr &link, const TargetInfo &target) const;
    void handleSliceRequest(const FrameLinkPtr &link, const std::string &agent);
    void handleResults(const std::string &agent, const wire::ResultBatchT &batch);
    void handleRevokeAck(const std::string &agent, const wire::RevokeAckT &ack);

    const ProcessId m_entry;
    Dispatcher &m_dispatcher;
    Handlers m_handlers;
    mutable std::mutex m_mutex;
    std::map<FrameLinkPtr, Agent> m_agents;
    std::map<std::string, FrameLinkPtr> m_links;
};

} // namespace turmericwell
