// Readers for address settings, shared by several process roles.
#pragma once

#include "config/jsonreader.h"
#include "net/address.h"

#include <string_view>
#include <vector>

namespace turmericwell {

Address readAddress(JsonReader &reader, std::string_view key);
std::vector<Address> readAddresses(JsonReader &reader, std::string_view key);

} // namespace turmericwell
