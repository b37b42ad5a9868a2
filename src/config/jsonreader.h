// Strict reader for the JSON objects of settings and declarations. Collects all problems of a file in one
// pass, each with file, key and reason.
#pragma once

#include "turmericwell/millis.h"

#include <boost/json.hpp>
#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

// An error in a settings or declaration file.
struct Problem
{
    std::string file;
    // Path of the key, such as "services[0].calls[2].deadlineMs".
    std::string key;
    std::string reason;

    std::string text() const { return file + ": " + key + ": " + reason; }
};

using Problems = std::vector<Problem>;

struct IntegerRange
{
    int64_t least = 0;
    int64_t most = INT32_MAX;
};

// Reads one JSON object. Accessors return the default value if the key is absent; if the value is invalid,
// they also add a problem. finish reports the keys that no accessor has read.
class JsonReader
{
public:
    JsonReader(std::string file, std::string path, const boost::json::value &value, Problems &problems);

    std::string requiredText(std::string_view key);
    std::string text(std::string_view key, std::string_view defaultValue);
    // A string that must be one of the allowed values.
    std::string word(std::string_view key, std::string_view defaultValue,
                     std::span<const std::string_view> allowed);
    int64_t requiredInteger(std::string_view key, IntegerRange range);
    int64_t integer(std::string_view key, int64_t defaultValue, IntegerRange range);
    double number(std::string_view key, double defaultValue, double least, double most);
    bool boolean(std::string_view key, bool defaultValue);
    Millis millis(std::string_view key, Millis defaultValue, IntegerRange range);
    std::vector<std::string> texts(std::string_view key);
    // Readers for the elements of an array of objects, or for a single object; empty if the key is absent.
    std::vector<JsonReader> objects(std::string_view key);
    std::vector<JsonReader> object(std::string_view key);
    // Map of names to non-negative numbers.
    std::vector<std::pair<std::string, double>> numberMap(std::string_view key);

    bool has(std::string_view key) const;
    void problem(std::string_view key, std::string reason);
    // Reports the keys that no accessor has read. Call after the last accessor.
    void finish();

    const std::string &file() const { return m_file; }
    std::string keyPath(std::string_view key) const;

private:
    const boost::json::value *find(std::string_view key);
    const boost::json::value *findOfKind(std::string_view key, boost::json::kind kind,
                                         std::string_view kindName);

    std::string m_file;
    std::string m_path;
    // Null if the value was not an object.
    const boost::json::object *m_object = nullptr;
    Problems *m_problems;
    std::set<std::string, std::less<>> m_read;
};

// Parses the text of a file; adds a problem and returns null if it is not valid JSON.
boost::json::value parseJsonText(const std::string &file, std::string_view text, Problems &problems);

} // namespace turmericwell
