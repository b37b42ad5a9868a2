// 128-bit fingerprint of an idempotency key, which identifies a submission in all messages and tables.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwell {

struct Fingerprint
{
    uint64_t high = 0;
    uint64_t low = 0;

    auto operator<=>(const Fingerprint &) const = default;

    // The service is part of the hashed text, so that equal keys of different services have different
    // fingerprints.
    static Fingerprint ofKey(std::string_view service, std::string_view key);
    static std::optional<Fingerprint> fromHex(std::string_view text);
    std::string hex() const;
};

// 64-bit hash of a request body, which distinguishes a resubmission from a different submission with the same
// key.
uint64_t hashBody(std::string_view body);

} // namespace turmericwell

template <>
struct std::hash<turmericwell::Fingerprint>
{
    size_t operator()(const turmericwell::Fingerprint &fingerprint) const noexcept { return fingerprint.low; }
};
