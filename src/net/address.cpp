// Parsing of numeric IP addresses with a port.
#include "net/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace turmericwell {

std::optional<Address> Address::parse(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    Address result;
    result.host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), result.port);
    if (error != std::errc() || end != port.data() + port.size() || result.port == 0)
        return std::nullopt;
    boost::system::error_code parseError;
    boost::asio::ip::make_address(result.host, parseError);
    if (parseError)
        return std::nullopt;
    return result;
}

} // namespace turmericwell
