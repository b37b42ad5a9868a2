// Writes the report; the keys are part of the operator interface (docs/operators.md).
#include "entry/statusreport.h"

#include <boost/json.hpp>

namespace turmericwell {

namespace json = boost::json;

static json::array membersJson(const StatusReport &report)
{
    json::array result;
    for (const EntryMember &member : report.members) {
        json::object object{{"entry", member.id.name}, {"address", member.address}, {"zone", member.zone}};
        const auto heard = report.peerVersions.find(member.id.name);
        if (member.id == report.self.id)
            object["version"] = report.config->version;
        else if (heard != report.peerVersions.end())
            object["version"] = heard->second;
        result.push_back(std::move(object));
    }
    return result;
}

static json::array agentsJson(const StatusReport &report)
{
    json::array result;
    for (const AgentState &agent : report.agents)
        result.push_back(json::object{{"agent", agent.name},
                                      {"target", agent.target},
                                      {"zone", agent.zone},
                                      {"version", agent.configVersion},
                                      {"running", agent.running},
                                      {"queued", agent.queued},
                                      {"leaving", agent.leaving}});
    return result;
}

std::string toJsonText(const StatusReport &report)
{
    return json::serialize(json::object{{"entry", report.self.id.name},
                                        {"incarnation", report.self.id.incarnation},
                                        {"zone", report.self.zone},
                                        {"version", report.config->version},
                                        {"changeId", report.config->changeId},
                                        {"author", report.config->author},
                                        {"view", report.view},
                                        {"current", report.current},
                                        {"logReadable", report.logReadable},
                                        {"positionKnown", report.positionKnown},
                                        {"agents", report.agents.size()},
                                        {"agentVersions", agentsJson(report)},
                                        {"entries", membersJson(report)},
                                        {"declarations", toJson(report.config->declarations)}});
}

} // namespace turmericwell
