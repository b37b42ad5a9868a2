// Compares the canonical JSON forms, so that every declared value is covered.
#include "config/declarationdiff.h"

#include <array>

namespace turmericwell {

namespace json = boost::json;

namespace {

using Lines = std::vector<std::string>;

struct Kind
{
    std::string_view list;
    std::string_view name;
};

constexpr std::array<Kind, 5> kinds = {{{.list = "zones", .name = "zone"},
                                        {.list = "services", .name = "service"},
                                        {.list = "teams", .name = "team"},
                                        {.list = "targetGroups", .name = "target group"},
                                        {.list = "jobClasses", .name = "job class"}}};

using Items = std::map<std::string, const json::object *>;

Items itemsByName(const json::array &list)
{
    Items items;
    for (const json::value &item : list)
        items[std::string(std::string_view(item.at("name").as_string()))] = &item.as_object();
    return items;
}

// Start of a line, such as "~ zone patan".
std::string heading(char sign, std::string_view kind, std::string_view name)
{
    return std::string(1, sign).append(" ").append(kind).append(" ").append(name);
}

std::string childKey(std::string_view parent, std::string_view name)
{
    return std::string(parent).append(".").append(name);
}

void diffItems(const std::string &kind, const json::array &before, const json::array &after, Lines &lines);

void diffValues(const std::string &item, const std::string &key, const json::value *before,
                const json::value *after, Lines &lines)
{
    if (before && after && *before == *after)
        return;
    if (key == "calls" && before && after) {
        diffItems(item + " call", before->as_array(), after->as_array(), lines);
    } else if (before && after && before->is_object() && after->is_object()) {
        for (const auto &[name, value] : before->get_object())
            diffValues(item, childKey(key, name), &value, after->get_object().if_contains(name), lines);
        for (const auto &[name, value] : after->get_object()) {
            if (!before->get_object().contains(name))
                diffValues(item, childKey(key, name), nullptr, &value, lines);
        }
    } else {
        lines.push_back("~ " + item + ": " + key + " " + (before ? json::serialize(*before) : "(none)")
                        + " -> " + (after ? json::serialize(*after) : "(none)"));
    }
}

void diffItems(const std::string &kind, const json::array &before, const json::array &after, Lines &lines)
{
    const Items old = itemsByName(before);
    const Items fresh = itemsByName(after);
    for (const auto &[name, fields] : old) {
        const auto found = fresh.find(name);
        if (found == fresh.end()) {
            lines.push_back(heading('-', kind, name));
            continue;
        }
        const std::string item = std::string(kind).append(" ").append(name);
        for (const auto &[key, value] : *fields)
            diffValues(item, std::string(key), &value, found->second->if_contains(key), lines);
    }
    for (const auto &[name, fields] : fresh) {
        if (!old.contains(name))
            lines.push_back(heading('+', kind, name));
    }
}

} // namespace

std::vector<std::string> diffDeclarations(const Declarations &before, const Declarations &after)
{
    const json::value old = toJson(before);
    const json::value fresh = toJson(after);
    Lines lines;
    for (const Kind &kind : kinds)
        diffItems(std::string(kind.name), old.at(kind.list).as_array(), fresh.at(kind.list).as_array(),
                  lines);
    return lines;
}

} // namespace turmericwell
