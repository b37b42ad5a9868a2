// Parses the two forms of keys that contain a creation time.
#include "submission/keytime.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace turmericwell {

static std::optional<Millis> parseNumber(std::string_view digits, int base)
{
    int64_t value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, base);
    if (error != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    return Millis{value};
}

// A UUIDv7 starts with 48 bits of Unix time in ms; its version digit is 7 and its variant digit 8 to b.
static std::optional<Millis> timeOfUuid(std::string_view key)
{
    constexpr size_t uuidLength = 36;
    constexpr size_t versionAt = 14;
    constexpr size_t variantAt = 19;
    if (key.size() != uuidLength || key[versionAt] != '7')
        return std::nullopt;
    for (size_t i = 0; i < uuidLength; ++i) {
        const bool isDash = i == 8 || i == 13 || i == 18 || i == 23;
        if (isDash ? key[i] != '-' : std::string_view("0123456789abcdefABCDEF").find(key[i]) == key.npos)
            return std::nullopt;
    }
    if (std::string_view("89abAB").find(key[variantAt]) == key.npos)
        return std::nullopt;
    return parseNumber(std::string(key.substr(0, 8)) + std::string(key.substr(9, 4)), 16);
}

std::optional<Millis> creationTimeOfKey(std::string_view key)
{
    constexpr size_t timeDigits = 13;
    if (key.size() > timeDigits && key[timeDigits] == '-') {
        const std::string_view digits = key.substr(0, timeDigits);
        if (std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; }))
            return parseNumber(digits, 10);
    }
    return timeOfUuid(key);
}

} // namespace turmericwell
