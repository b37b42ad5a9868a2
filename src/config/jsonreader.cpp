// Value checks of the strict JSON object reader.
#include "config/jsonreader.h"

#include <algorithm>

namespace turmericwell {

namespace json = boost::json;

JsonReader::JsonReader(std::string file, std::string path, const json::value &value, Problems &problems)
    : m_file(std::move(file))
    , m_path(std::move(path))
    , m_object(value.if_object())
    , m_problems(&problems)
{
    if (!m_object)
        m_problems->push_back(
            {.file = m_file, .key = m_path.empty() ? "(top)" : m_path, .reason = "must be an object"});
}

std::string JsonReader::keyPath(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

void JsonReader::problem(std::string_view key, std::string reason)
{
    m_problems->push_back({.file = m_file, .key = keyPath(key), .reason = std::move(reason)});
}

bool JsonReader::has(std::string_view key) const
{
    return m_object && m_object->contains(key);
}

const json::value *JsonReader::find(std::string_view key)
{
    m_read.emplace(key);
    return m_object ? m_object->if_contains(key) : nullptr;
}

const json::value *JsonReader::findOfKind(std::string_view key, json::kind kind, std::string_view kindName)
{
    const json::value *value = find(key);
    if (!value || value->kind() == kind)
        return value;
    problem(key, "must be " + std::string(kindName));
    return nullptr;
}

std::string JsonReader::requiredText(std::string_view key)
{
    if (m_object && !m_object->contains(key))
        problem(key, "is required");
    std::string result = text(key, "");
    if (has(key) && (*m_object).at(key).is_string() && result.empty())
        problem(key, "must not be empty");
    return result;
}

std::string JsonReader::text(std::string_view key, std::string_view defaultValue)
{
    const json::value *value = findOfKind(key, json::kind::string, "a string");
    return std::string(value ? std::string_view(value->get_string()) : defaultValue);
}

std::string JsonReader::word(std::string_view key, std::string_view defaultValue,
                             std::span<const std::string_view> allowed)
{
    std::string result = text(key, defaultValue);
    if (std::find(allowed.begin(), allowed.end(), result) != allowed.end())
        return result;
    std::string list;
    for (const std::string_view candidate : allowed)
        list += (list.empty() ? "\"" : ", \"") + std::string(candidate) + "\"";
    problem(key, "must be one of " + list + ", not \"" + result + "\"");
    return std::string(defaultValue);
}

int64_t JsonReader::requiredInteger(std::string_view key, IntegerRange range)
{
    if (m_object && !m_object->contains(key))
        problem(key, "is required");
    return integer(key, range.least, range);
}

int64_t JsonReader::integer(std::string_view key, int64_t defaultValue, IntegerRange range)
{
    const json::value *value = find(key);
    if (!value)
        return defaultValue;
    boost::system::error_code error;
    const auto result = value->is_number() ? value->to_number<int64_t>(error) : 0;
    if (!value->is_number() || error || value->is_double()) {
        problem(key, "must be a whole number");
        return defaultValue;
    }
    if (result < range.least || result > range.most) {
        problem(key,
                "must be between " + std::to_string(range.least) + " and " + std::to_string(range.most)
                    + ", not " + std::to_string(result));
        return defaultValue;
    }
    return result;
}

double JsonReader::number(std::string_view key, double defaultValue, double least, double most)
{
    const json::value *value = find(key);
    if (!value)
        return defaultValue;
    if (!value->is_number()) {
        problem(key, "must be a number");
        return defaultValue;
    }
    const auto result = value->to_number<double>();
    if (result < least || result > most) {
        problem(key, "must be between " + std::to_string(least) + " and " + std::to_string(most));
        return defaultValue;
    }
    return result;
}

bool JsonReader::boolean(std::string_view key, bool defaultValue)
{
    const json::value *value = findOfKind(key, json::kind::bool_, "true or false");
    return value ? value->get_bool() : defaultValue;
}

Millis JsonReader::millis(std::string_view key, Millis defaultValue, IntegerRange range)
{
    return {integer(key, defaultValue.count, range)};
}

std::vector<std::string> JsonReader::texts(std::string_view key)
{
    std::vector<std::string> result;
    const json::value *value = findOfKind(key, json::kind::array, "an array of strings");
    if (!value)
        return result;
    for (const json::value &element : value->get_array()) {
        if (element.is_string())
            result.emplace_back(std::string_view(element.get_string()));
        else
            problem(std::string(key) + "[" + std::to_string(result.size()) + "]", "must be a string");
    }
    return result;
}

std::vector<JsonReader> JsonReader::objects(std::string_view key)
{
    std::vector<JsonReader> result;
    const json::value *value = findOfKind(key, json::kind::array, "an array of objects");
    if (!value)
        return result;
    for (const json::value &element : value->get_array())
        result.emplace_back(m_file, keyPath(key) + "[" + std::to_string(result.size()) + "]", element,
                            *m_problems);
    return result;
}

std::vector<JsonReader> JsonReader::object(std::string_view key)
{
    std::vector<JsonReader> result;
    if (const json::value *value = findOfKind(key, json::kind::object, "an object"))
        result.emplace_back(m_file, keyPath(key), *value, *m_problems);
    return result;
}

std::vector<std::pair<std::string, double>> JsonReader::numberMap(std::string_view key)
{
    std::vector<std::pair<std::string, double>> result;
    const json::value *value = findOfKind(key, json::kind::object, "an object of numbers");
    if (!value)
        return result;
    for (const auto &[name, element] : value->get_object()) {
        if (element.is_number() && element.to_number<double>() >= 0)
            result.emplace_back(std::string(name), element.to_number<double>());
        else
            problem(std::string(key) + "." + std::string(name), "must be a number of zero or more");
    }
    return result;
}

// Suggests a known key for an unknown key with another unit, such as deadlineMs for deadlineSeconds.
static std::string unitHint(const std::set<std::string, std::less<>> &known, std::string_view key)
{
    for (const std::string_view unit : {"Ms", "Gb"}) {
        for (const std::string &candidate : known) {
            const std::string_view stem =
                std::string_view(candidate).substr(0, candidate.size() - unit.size());
            if (candidate.ends_with(unit) && candidate.size() > unit.size() && key.starts_with(stem))
                return "; did you mean " + candidate + "?";
        }
    }
    return "";
}

void JsonReader::finish()
{
    if (!m_object)
        return;
    for (const auto &[key, value] : *m_object) {
        if (!m_read.contains(std::string_view(key)))
            problem(key, "is not a known key" + unitHint(m_read, key));
    }
}

json::value parseJsonText(const std::string &file, std::string_view text, Problems &problems)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (!error)
        return value;
    problems.push_back({.file = file, .key = "(file)", .reason = "is not valid JSON: " + error.message()});
    return nullptr;
}

} // namespace turmericwell
