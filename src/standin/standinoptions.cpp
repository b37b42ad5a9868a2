// Parses options and prints help.
#include "standin/standinoptions.h"

#include <iostream>

namespace turmericwell {

namespace options = boost::program_options;

std::optional<int> parseStandinOptions(int argc, char **argv, const options::options_description &description,
                                       options::variables_map &values)
{
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    return std::nullopt;
}

} // namespace turmericwell
