// Fields of JSON objects from the log and from peers, which may be missing or of another type.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwell {

// The text of the field; empty if it is missing or not a string.
std::string textAt(const boost::json::object &object, std::string_view key);
// The count of the field; nothing if it is missing or not a whole number of zero or more.
std::optional<uint64_t> countAt(const boost::json::object &object, std::string_view key);

} // namespace turmericwell
