// Formats what is in force, metrics and events.
#include "entry/entryreports.h"

#include <boost/json.hpp>

namespace turmericwell {

namespace json = boost::json;

std::string toJsonText(const EntryReport &report)
{
    json::array members;
    for (const EntryMember &member : report.members)
        members.push_back(
            json::object{{"entry", member.id.name}, {"address", member.address}, {"zone", member.zone}});
    const Config &config = *report.config;
    return json::serialize(json::object{{"entry", report.entry.name},
                                        {"incarnation", report.entry.incarnation},
                                        {"version", config.version},
                                        {"changeId", config.changeId},
                                        {"author", config.author},
                                        {"view", report.view},
                                        {"current", report.current},
                                        {"logReadable", report.logReadable},
                                        {"agents", report.agents},
                                        {"entries", std::move(members)},
                                        {"declarations", toJson(config.declarations)}});
}

std::string metricLines(const std::vector<std::pair<std::string, uint64_t>> &values)
{
    std::string text;
    for (const auto &[name, value] : values)
        text += "turmericwell_" + name + " " + std::to_string(value) + "\n";
    return text;
}

std::string eventLines(const EventLog &events)
{
    std::string text;
    for (const Event &event : events.since(0, SIZE_MAX))
        text += toJsonText(event) + "\n";
    return text;
}

} // namespace turmericwell
