// Access to fields of JSON objects from the log and from peers, which can be missing or have an unexpected
// type.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwell {

// Returns the string value of the field; empty if the field is missing or not a string.
std::string textAt(const boost::json::object &object, std::string_view key);
// Returns the value of the field; nullopt if the field is missing or not a non-negative integer.
std::optional<uint64_t> countAt(const boost::json::object &object, std::string_view key);
// Returns the value of the field; 0 if the field is missing; nullopt if it is not an integer from 0 to
// `most`.
std::optional<uint64_t> boundedCountAt(const boost::json::object &object, std::string_view key,
                                       uint64_t most);

} // namespace turmericwell
