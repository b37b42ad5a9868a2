// Fingerprints computed with XXH3. All agents and entries of a deployment must compute the same value for a
// key.
#include "turmericwell/fingerprint.h"

#include <charconv>
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
    // Not snprintf, which takes several times as long: every event and every task identifier is formatted
    // here.
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr size_t hexDigits = 16;
    std::string text(2 * hexDigits, '0');
    for (size_t i = 0; i < hexDigits; ++i) {
        const size_t shift = 4 * (hexDigits - 1 - i);
        text[i] = digits[(high >> shift) & 0xfU];
        text[hexDigits + i] = digits[(low >> shift) & 0xfU];
    }
    return text;
}

uint64_t hashBody(std::string_view body)
{
    return XXH3_64bits(body.data(), body.size());
}

} // namespace turmericwell
