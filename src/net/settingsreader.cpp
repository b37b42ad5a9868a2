// Reading of address settings, with a validation problem for each address that does not parse.
#include "net/settingsreader.h"

namespace turmericwell {

static constexpr std::string_view addressRule =
    "must be a numeric IP address and a port, such as 127.0.0.1:7000";

Address readAddress(JsonReader &reader, std::string_view key)
{
    const std::string text = reader.requiredText(key);
    const std::optional<Address> address = Address::parse(text);
    if (!address && !text.empty())
        reader.problem(key, std::string(addressRule));
    return address.value_or(Address{});
}

std::vector<Address> readAddresses(JsonReader &reader, std::string_view key)
{
    std::vector<Address> result;
    size_t index = 0;
    for (const std::string &text : reader.texts(key)) {
        if (const std::optional<Address> address = Address::parse(text))
            result.push_back(*address);
        else
            reader.problem(std::string(key) + "[" + std::to_string(index) + "]", std::string(addressRule));
        ++index;
    }
    return result;
}

} // namespace turmericwell
