// Entry points of the stand-in programs. Each returns the exit code of the process.
#pragma once

namespace turmericwell {

int runLogStandin(int argc, char **argv);
int runTargetStandin(int argc, char **argv);
int runProxyStandin(int argc, char **argv);

} // namespace turmericwell
