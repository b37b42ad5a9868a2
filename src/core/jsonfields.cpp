// Access to fields of JSON objects that tolerates missing fields and unexpected types.
#include "core/jsonfields.h"

#include <boost/json.hpp>

namespace turmericwell {

namespace json = boost::json;

std::string textAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_string() ? std::string(std::string_view(value->get_string())) : std::string();
}

std::optional<uint64_t> countAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    boost::system::error_code error;
    if (!value || !value->is_number())
        return std::nullopt;
    const auto count = value->to_number<uint64_t>(error);
    return error ? std::nullopt : std::optional<uint64_t>(count);
}

std::optional<uint64_t> boundedCountAt(const json::object &object, std::string_view key, uint64_t most)
{
    if (!object.contains(key))
        return 0;
    const std::optional<uint64_t> count = countAt(object, key);
    return count && *count <= most ? count : std::nullopt;
}

} // namespace turmericwell
