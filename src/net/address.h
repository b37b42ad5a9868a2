// Numeric IP address and port on which a process listens.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwell {

struct Address
{
    std::string host;
    uint16_t port = 0;

    bool operator==(const Address &) const = default;

    // Parses text such as "127.0.0.1:8080". The host must be a numeric IP address, because host names are not
    // resolved; the port must not be 0.
    static std::optional<Address> parse(std::string_view text);
    std::string text() const { return host + ":" + std::to_string(port); }
};

} // namespace turmericwell
