// Command line parsing that all stand-ins share.
#pragma once

#include <boost/program_options.hpp>
#include <optional>

namespace turmericwell {

// Fills `values`. Returns the exit code if the stand-in ends here: help was printed, or the usage was bad.
std::optional<int> parseStandinOptions(int argc, char **argv,
                                       const boost::program_options::options_description &description,
                                       boost::program_options::variables_map &values);

} // namespace turmericwell
