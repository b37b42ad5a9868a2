// Fingerprints by XXH3, which the agents and entries of one deployment all compute alike.
#include "turmericwell/fingerprint.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <xxhash.h>

namespace turmericwell {

Fingerprint Fingerprint::ofKey(std::string_view service, std::string_view key)
{
    std::string text;
    text.reserve(service.size() + key.size() + 1);
    text.append(service).push_back('\0');
    text.append(key);
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return {.high = hash.high64, .low = hash.low64};
}

std::optional<Fingerprint> Fingerprint::fromHex(std::string_view text)
{
    constexpr size_t hexDigits = 16;
    if (text.size() != 2 * hexDigits)
        return std::nullopt;
    Fingerprint result;
    const auto parse = [](std::string_view part, uint64_t &value) {
        const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), value, 16);
        return error == std::errc() && end == part.data() + part.size();
    };
    if (!parse(text.substr(0, hexDigits), result.high) || !parse(text.substr(hexDigits), result.low))
        return std::nullopt;
    return result;
}

std::string Fingerprint::hex() const
{
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(high),
                  static_cast<unsigned long long>(low));
    return text.data();
}

uint64_t hashBody(std::string_view body)
{
    return XXH3_64bits(body.data(), body.size());
}

} // namespace turmericwell
